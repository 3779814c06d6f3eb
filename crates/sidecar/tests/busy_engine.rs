//! Guards against streams that are cut because the engine is late with its load report.

mod common;

use std::convert::Infallible;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::routing::{get, post};
use common::{Rig, end, token, work};
use futures::{StreamExt, stream};
use nutmegbay_proto::frame::FrameBody;

#[tokio::test]
async fn late_load() {
    // One token every 10 ms for 500 ms, while no load report comes within 50 ms.
    let generate = || async {
        let tokens = stream::iter((0..50).map(|seq| token(1, seq)).chain([end(1, 50)]));
        Body::from_stream(tokens.then(|line| async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            Ok::<_, Infallible>(line)
        }))
    };
    let router = Router::new()
        .route("/generate", post(generate))
        .route("/load", get(std::future::pending::<()>));
    let mut settings = common::settings("engine", common::serve(router).await);
    settings.probe_timeout_ms = 50;
    let rig = Rig::with(settings);
    let frames = rig.frames(&work(1)).await;
    assert!(
        matches!(frames.last().unwrap().body, FrameBody::End(_)),
        "{:?}",
        frames.last()
    );
    assert_eq!(frames.len(), 51);
}
