//! Guards against doubled, missing or foreign tokens after an upstream is lost.

mod support;

use nutmegbay_core::ids::RequestId;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use support::caller::Events;
use support::sidecar::{Running, Sidecar};
use support::{KEY, Site};

/// Two engines, a stream on one of them with tokens `a` and `b` read, and the other engine.
async fn begin<'a>(
    site: &Site,
    e1: &'a Sidecar,
    e2: &'a Sidecar,
) -> (Running, Events, &'a Sidecar) {
    let serve = async {
        let (mut running, other) = tokio::select! {
            running = e1.next() => (running, e2),
            running = e2.next() => (running, e1),
        };
        running.accept();
        running.token("a").await;
        running.token("b").await;
        (running, other)
    };
    let caller = site.caller();
    let ((running, other), mut events) = tokio::join!(serve, caller.stream(KEY, "verse"));
    assert_eq!(events.token().await, "a");
    assert_eq!(events.token().await, "b");
    (running, events, other)
}

/// Finishes the stream on the other engine, which must go on behind `b`.
async fn finish(other: &Sidecar, mut events: Events) {
    let mut running = other.next().await;
    let delivered: Vec<&str> = running.work.delivered.iter().map(|t| &**t).collect();
    assert_eq!(delivered, ["a", "b"]);
    assert_eq!(running.work.attempt, 2);
    running.accept();
    running.token("c").await;
    running.end().await;
    assert_eq!(events.token().await, "c");
    let rest = events.rest().await;
    assert!(rest[0].contains("\"completion_tokens\":3"), "{rest:?}");
    assert_eq!(rest[1], "[DONE]");
}

#[tokio::test]
async fn broken_connection() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (running, events, other) = begin(&site, &e1, &e2).await;
    running.cut().await;
    finish(other, events).await;
}

#[tokio::test]
async fn silent_connection() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (running, events, other) = begin(&site, &e1, &e2).await;
    finish(other, events).await;
    running.closed().await;
}

#[tokio::test]
async fn missing_end() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (running, events, other) = begin(&site, &e1, &e2).await;
    drop(running);
    finish(other, events).await;
}

#[tokio::test]
async fn missing_token() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (mut running, events, other) = begin(&site, &e1, &e2).await;
    let (id, attempt) = (running.work.id, running.work.attempt);
    running
        .frame(id, attempt, 3, FrameBody::Token("d".into()))
        .await;
    finish(other, events).await;
}

#[tokio::test]
async fn wrong_count() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (mut running, events, other) = begin(&site, &e1, &e2).await;
    running.skip_token();
    running.end().await;
    finish(other, events).await;
}

#[tokio::test]
async fn malformed_frame() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (mut running, events, other) = begin(&site, &e1, &e2).await;
    running.raw("{\"id\":1}\n").await;
    finish(other, events).await;
}

#[tokio::test]
async fn lost_engine() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let (running, events, other) = begin(&site, &e1, &e2).await;
    let lost = Problem::new(ProblemKind::UpstreamLost, Verdict::MayHaveRun, "crash");
    running.fail(lost).await;
    finish(other, events).await;
}

#[tokio::test]
async fn foreign_frames() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let serve = async {
        let mut running = sidecar.next().await;
        let id = running.work.id;
        let other = RequestId(id.0 ^ 1);
        running.accept();
        running.token("a").await;
        running.frame(id, 1, 0, FrameBody::Token("a".into())).await;
        running
            .frame(other, 1, 1, FrameBody::Token("x".into()))
            .await;
        running.frame(id, 9, 1, FrameBody::Token("y".into())).await;
        running.token("b").await;
        running.end().await;
    };
    let caller = site.caller();
    let ((), answer) = tokio::join!(serve, caller.chat(KEY, "verse"));
    assert_eq!(answer.json()["choices"][0]["message"]["content"], "ab");
}

#[tokio::test]
async fn draining_sidecar() {
    let (e1, e2) = (Sidecar::engine("e1").await, Sidecar::engine("e2").await);
    let site = Site::start(&[&e1, &e2]).await;
    let serve = async {
        let (running, other) = tokio::select! {
            running = e1.next() => (running, &e2),
            running = e2.next() => (running, &e1),
        };
        running.refuse(&Problem::new(
            ProblemKind::Draining,
            Verdict::NotRun,
            "stop",
        ));
        let mut running = other.next().await;
        running.accept();
        running.token("a").await;
        running.end().await;
        other
    };
    let caller = site.caller();
    let (other, answer) = tokio::join!(serve, caller.chat(KEY, "verse"));
    assert_eq!(answer.status, 200);
    // The draining upstream gets no new work.
    let serve = async {
        for _ in 0..3 {
            let mut running = other.next().await;
            running.accept();
            running.token("a").await;
            running.end().await;
        }
    };
    let ask = async {
        for _ in 0..3 {
            assert_eq!(caller.chat(KEY, "verse").await.status, 200);
        }
    };
    tokio::join!(serve, ask);
}

#[tokio::test]
async fn no_upstream() {
    let site = Site::start(&[]).await;
    let answer = site.caller().chat(KEY, "verse").await;
    let problem = answer.problem();
    assert_eq!(problem.kind, ProblemKind::NoUpstream);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(answer.headers["retry-after"], "1");
}
