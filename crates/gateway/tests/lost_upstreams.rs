//! Guards against duplicate, missing or foreign tokens after a connection to an upstream is lost.

mod support;

use nutmegbay_core::ids::RequestId;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use support::caller::Events;
use support::scripted_sidecar::{RunningWork, ScriptedSidecar};
use support::{KEY, TestGateway};

/// Starts a stream on one of two engines and reads its tokens `a` and `b`. Returns the work, the
/// events and the other engine.
async fn start_stream<'a>(
    gateway: &TestGateway,
    e1: &'a ScriptedSidecar,
    e2: &'a ScriptedSidecar,
) -> (RunningWork, Events, &'a ScriptedSidecar) {
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
    let caller = gateway.caller();
    let ((running, other), mut events) = tokio::join!(serve, caller.stream(KEY, "verse"));
    assert_eq!(events.token().await, "a");
    assert_eq!(events.token().await, "b");
    (running, events, other)
}

/// Finishes the stream on the other engine, which must resume after `b`.
async fn finish_stream(other: &ScriptedSidecar, mut events: Events) {
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
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (running, events, other) = start_stream(&gateway, &e1, &e2).await;
    running.break_connection().await;
    finish_stream(other, events).await;
}

#[tokio::test]
async fn unresponsive_connection() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (running, events, other) = start_stream(&gateway, &e1, &e2).await;
    finish_stream(other, events).await;
    running.wait_until_closed().await;
}

#[tokio::test]
async fn missing_end() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (running, events, other) = start_stream(&gateway, &e1, &e2).await;
    drop(running);
    finish_stream(other, events).await;
}

#[tokio::test]
async fn missing_token() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (mut running, events, other) = start_stream(&gateway, &e1, &e2).await;
    let (id, attempt) = (running.work.id, running.work.attempt);
    running
        .frame(id, attempt, 3, FrameBody::Token("d".into()))
        .await;
    finish_stream(other, events).await;
}

#[tokio::test]
async fn wrong_count() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (mut running, events, other) = start_stream(&gateway, &e1, &e2).await;
    running.skip_token();
    running.end().await;
    finish_stream(other, events).await;
}

#[tokio::test]
async fn malformed_frame() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (mut running, events, other) = start_stream(&gateway, &e1, &e2).await;
    running.raw("{\"id\":1}\n").await;
    finish_stream(other, events).await;
}

#[tokio::test]
async fn lost_engine() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
    let (running, events, other) = start_stream(&gateway, &e1, &e2).await;
    let lost = Problem::new(ProblemKind::UpstreamLost, Verdict::MayHaveRun, "crash");
    running.fail(lost).await;
    finish_stream(other, events).await;
}

#[tokio::test]
async fn foreign_frames() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
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
    let caller = gateway.caller();
    let ((), answer) = tokio::join!(serve, caller.chat(KEY, "verse"));
    assert_eq!(answer.json()["choices"][0]["message"]["content"], "ab");
}

#[tokio::test]
async fn draining_sidecar() {
    let (e1, e2) = (
        ScriptedSidecar::engine("e1").await,
        ScriptedSidecar::engine("e2").await,
    );
    let gateway = TestGateway::start(&[&e1, &e2]).await;
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
    let caller = gateway.caller();
    let (other, answer) = tokio::join!(serve, caller.chat(KEY, "verse"));
    assert_eq!(answer.status, 200);
    // The draining upstream receives no new work.
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
    let gateway = TestGateway::start(&[]).await;
    let answer = gateway.caller().chat(KEY, "verse").await;
    let problem = answer.problem();
    assert_eq!(problem.kind, ProblemKind::NoUpstream);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(answer.headers["retry-after"], "1");
}
