//! Guards against streams that are cut because the engine is late with its load report.

mod common;

use std::convert::Infallible;
use std::time::Duration;

use axum::body::Body;
use axum::routing::{get, post};
use axum::{Json, Router};
use common::{Rig, end, token, work};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;
use nutmegbay_proto::engine::{Cancel, Generate};
use nutmegbay_proto::frame::{End, FrameBody};
use nutmegbay_proto::work::Work;
use tokio::sync::mpsc;

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

#[tokio::test]
async fn stuck_reader() {
    // The gateway abandons a connection that it no longer reads, and resumes over a new one. The old
    // stream cannot move, but it must neither hold up the new attempt nor cancel it later.
    let (tx, mut cancels) = mpsc::unbounded_channel();
    let generate = |Json(req): Json<Generate>| async move {
        let token = move |seq| {
            let text = FrameBody::Token("x".repeat(1 << 16).into());
            Ok::<_, Infallible>(common::frame(1, req.attempt, seq, text))
        };
        if req.attempt == 1 {
            return Body::from_stream(stream::iter((0..).map(token)));
        }
        let last = FrameBody::End(End {
            finish: "stop".into(),
            prompt_tokens: 1,
            cached_tokens: 0,
        });
        Body::from(common::frame(1, req.attempt, 0, last))
    };
    let cancel = move |Json(_): Json<Cancel>| async move {
        tx.send(()).unwrap();
    };
    let router = Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(cancel));
    let rig = Rig::start("engine", router).await;
    let mut stuck = rig.work(&work(1)).await;
    stuck.body_mut().frame().await.unwrap().unwrap();
    let second = Work {
        attempt: 2,
        ..work(1)
    };
    let frames = rig.frames(&second).await;
    assert!(matches!(frames[0].body, FrameBody::End(_)), "{frames:?}");
    cancels.recv().await.unwrap();
    drop(stuck);
    let late = tokio::time::timeout(Duration::from_millis(200), cancels.recv()).await;
    assert!(late.is_err(), "the old attempt cancelled the request again");
}
