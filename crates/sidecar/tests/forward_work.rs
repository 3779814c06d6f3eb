//! Guards against answers that are cut off, mixed up or delayed, and against work that continues
//! after the gateway has disconnected.

mod common;

use std::convert::Infallible;

use assert_matches::assert_matches;
use axum::Router;
use axum::body::Body;
use axum::routing::post;
use bytes::Bytes;
use common::{TestSidecar, end, frame, token, work};
use futures::stream;
use http_body_util::BodyExt;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use tokio::sync::mpsc;

/// Returns an engine that answers with `lines`.
fn engine(lines: Vec<Bytes>) -> Router {
    let generate = move || {
        let lines = lines.clone();
        async move { Body::from_stream(stream::iter(lines.into_iter().map(Ok::<_, Infallible>))) }
    };
    Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(|| async {}))
}

/// Runs request 1 on an engine that answers with `lines`. Returns the number of frames before the
/// last one and the content of the last one.
async fn run(lines: Vec<Bytes>) -> (usize, FrameBody) {
    let sidecar = TestSidecar::start("engine", engine(lines)).await;
    let mut frames = sidecar.frames(&work(1)).await;
    let last = frames.pop().unwrap().body;
    (frames.len(), last)
}

#[tokio::test]
async fn complete_answer() {
    let (tokens, last) = run(vec![token(1, 0), token(1, 1), end(1, 2)]).await;
    assert_eq!(tokens, 2);
    assert_matches!(last, FrameBody::End(_));
}

#[tokio::test]
async fn split_lines() {
    let answer = [token(1, 0), token(1, 1), end(1, 2)].concat();
    let chunks = answer.chunks(7).map(Bytes::copy_from_slice).collect();
    let (tokens, last) = run(chunks).await;
    assert_eq!(tokens, 2);
    assert_matches!(last, FrameBody::End(_));
}

#[tokio::test]
async fn wrong_frames() {
    let cases = [
        ("repeated", vec![token(1, 0), token(1, 0)]),
        ("skipped", vec![token(1, 0), token(1, 2)]),
        ("other request", vec![token(1, 0), token(2, 1)]),
        (
            "other attempt",
            vec![token(1, 0), frame(1, 2, 1, FrameBody::Token("x".into()))],
        ),
        ("wrong count", vec![token(1, 0), end(1, 5)]),
        ("no frame", vec![token(1, 0), Bytes::from_static(b"{}\n")]),
    ];
    for (case, lines) in cases {
        let (tokens, last) = run(lines).await;
        assert_eq!(tokens, 1, "{case}");
        assert_matches!(last, FrameBody::Failed(p) if p.kind == ProblemKind::Internal, "{case}");
    }
}

#[tokio::test]
async fn missing_end() {
    let (tokens, last) = run(vec![token(1, 0)]).await;
    assert_eq!(tokens, 1);
    assert_matches!(last, FrameBody::Failed(p) if p.kind == ProblemKind::UpstreamLost);
}

#[tokio::test]
async fn unreachable_engine() {
    // After the listener is dropped, nothing listens on its port.
    let addr = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let sidecar = TestSidecar::with_settings(common::settings("engine", addr));
    let frames = sidecar.frames(&work(1)).await;
    assert_matches!(&frames[0].body, FrameBody::Failed(p) if p.verdict == Verdict::NotRun);
}

#[tokio::test]
async fn malformed_work() {
    let sidecar = TestSidecar::start("engine", engine(Vec::new())).await;
    let req = sidecar
        .request("POST", "/work")
        .header("content-type", "application/json")
        .body(Body::from("{"))
        .unwrap();
    let res = sidecar.send(req).await;
    assert_eq!(res.status(), 400);
    let problem: Problem = serde_json::from_slice(&common::read_body(res).await).unwrap();
    assert_eq!(problem.verdict, Verdict::NotRun);
}

#[tokio::test]
async fn unresponsive_engine() {
    // The engine never answers. The sidecar must still send keep-alives.
    let generate = || async {
        std::future::pending::<()>().await;
    };
    let router = Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(|| async {}));
    let sidecar = TestSidecar::start("engine", router).await;
    let mut body = sidecar.work(&work(1)).await.into_body();
    let data = body.frame().await.unwrap().unwrap().into_data().unwrap();
    let frame: nutmegbay_proto::frame::Frame = serde_json::from_slice(&data).unwrap();
    assert_eq!((frame.seq, frame.body), (0, FrameBody::KeepAlive));
}

#[tokio::test]
async fn gateway_disconnects() {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let generate = || async {
        let first = stream::iter([Ok::<_, Infallible>(token(1, 0))]);
        Body::from_stream(futures::StreamExt::chain(first, stream::pending()))
    };
    let cancel = move |body: String| async move {
        tx.send(body).unwrap();
    };
    let router = Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(cancel));
    let sidecar = TestSidecar::start("engine", router).await;
    let mut body = sidecar.work(&work(1)).await.into_body();
    body.frame().await.unwrap().unwrap();
    drop(body);
    let cancelled = rx.recv().await.unwrap();
    assert!(cancelled.contains("00000001"), "{cancelled}");
}
