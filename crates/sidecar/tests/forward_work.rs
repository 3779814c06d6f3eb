//! Guards against answers that are cut, mixed up, held back or go on after the gateway left.

mod common;

use std::convert::Infallible;

use assert_matches::assert_matches;
use axum::Router;
use axum::body::Body;
use axum::routing::post;
use bytes::Bytes;
use common::{Rig, end, frame, token, work};
use futures::stream;
use http_body_util::BodyExt;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use tokio::sync::mpsc;

/// Engine that sends `lines` and then ends its answer.
fn engine(lines: Vec<Bytes>) -> Router {
    let generate = move || {
        let lines = lines.clone();
        async move { Body::from_stream(stream::iter(lines.into_iter().map(Ok::<_, Infallible>))) }
    };
    Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(|| async {}))
}

/// Runs request 1 on an engine that sends `lines`; returns the tokens and the last content.
async fn run(lines: Vec<Bytes>) -> (usize, FrameBody) {
    let rig = Rig::start("engine", engine(lines)).await;
    let mut frames = rig.frames(&work(1)).await;
    let last = frames.pop().unwrap().body;
    (frames.len(), last)
}

#[tokio::test]
async fn whole_answer() {
    let (tokens, last) = run(vec![token(1, 0), token(1, 1), end(1, 2)]).await;
    assert_eq!(tokens, 2);
    assert_matches!(last, FrameBody::End(_));
}

#[tokio::test]
async fn split_lines() {
    let whole = [token(1, 0), token(1, 1), end(1, 2)].concat();
    let pieces = whole.chunks(7).map(Bytes::copy_from_slice).collect();
    let (tokens, last) = run(pieces).await;
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
    for (what, lines) in cases {
        let (tokens, last) = run(lines).await;
        assert_eq!(tokens, 1, "{what}");
        assert_matches!(last, FrameBody::Failed(p) if p.kind == ProblemKind::Internal, "{what}");
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
    // A listener that is dropped leaves a port on which nothing listens.
    let addr = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let rig = Rig::with(common::settings("engine", addr));
    let frames = rig.frames(&work(1)).await;
    assert_matches!(&frames[0].body, FrameBody::Failed(p) if p.verdict == Verdict::NotRun);
}

#[tokio::test]
async fn malformed_work() {
    let rig = Rig::start("engine", engine(Vec::new())).await;
    let req = rig
        .request("POST", "/work")
        .header("content-type", "application/json")
        .body(Body::from("{"))
        .unwrap();
    let res = rig.send(req).await;
    assert_eq!(res.status(), 400);
    let problem: Problem = serde_json::from_slice(&common::body(res).await).unwrap();
    assert_eq!(problem.verdict, Verdict::NotRun);
}

#[tokio::test]
async fn silent_engine() {
    // The engine never answers: the sidecar must still show signs of life.
    let generate = || async {
        std::future::pending::<()>().await;
    };
    let router = Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(|| async {}));
    let rig = Rig::start("engine", router).await;
    let mut body = rig.work(&work(1)).await.into_body();
    let data = body.frame().await.unwrap().unwrap().into_data().unwrap();
    let frame: nutmegbay_proto::frame::Frame = serde_json::from_slice(&data).unwrap();
    assert_eq!((frame.seq, frame.body), (0, FrameBody::KeepAlive));
}

#[tokio::test]
async fn gateway_leaves() {
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
    let rig = Rig::start("engine", router).await;
    let mut body = rig.work(&work(1)).await.into_body();
    body.frame().await.unwrap().unwrap();
    drop(body);
    let cancelled = rx.recv().await.unwrap();
    assert!(cancelled.contains("00000001"), "{cancelled}");
}
