//! Guards against streams that are cut off because the engine's load report is late, and against a
//! stalled stream that delays or cancels the next attempt.

mod common;

use std::convert::Infallible;
use std::time::Duration;

use axum::body::Body;
use axum::routing::{get, post};
use axum::{Json, Router};
use common::{TestSidecar, end, token, work};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;
use nutmegbay_proto::engine::{Cancel, Generate};
use nutmegbay_proto::frame::{End, FrameBody};
use nutmegbay_proto::work::Work;
use tokio::sync::mpsc;

#[tokio::test]
async fn late_load_report() {
    // The engine sends a token every 10 ms for 500 ms, but no load report within the 50 ms timeout.
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
    let sidecar = TestSidecar::with_settings(settings);
    let frames = sidecar.frames(&work(1)).await;
    assert!(
        matches!(frames.last().unwrap().body, FrameBody::End(_)),
        "{:?}",
        frames.last()
    );
    assert_eq!(frames.len(), 51);
}

#[tokio::test]
async fn gateway_stops_reading() {
    // The gateway stops reading one connection and resumes on a new one. The old stream is never
    // polled again, but it must neither delay the new attempt nor cancel it later.
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
    let sidecar = TestSidecar::start("engine", router).await;
    let mut unread = sidecar.work(&work(1)).await;
    unread.body_mut().frame().await.unwrap().unwrap();
    let second = Work {
        attempt: 2,
        ..work(1)
    };
    let frames = sidecar.frames(&second).await;
    assert!(matches!(frames[0].body, FrameBody::End(_)), "{frames:?}");
    cancels.recv().await.unwrap();
    drop(unread);
    let second_cancel = tokio::time::timeout(Duration::from_millis(200), cancels.recv()).await;
    assert!(
        second_cancel.is_err(),
        "the old attempt cancelled the request again"
    );
}
