//! Guards against non-idempotent calls that run twice, receive different answers or receive a wrong
//! verdict.

mod common;

use axum::body::Body;
use axum::http::Response;
use bytes::Bytes;
use common::{TestSidecar, attempt, call_head};
use futures::stream;
use hyper::body::Incoming;
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::service::{FakeService, ServiceConfig, ServiceFaults};
use nutmegbay_proto::control::SidecarControlClient;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{CALL_HEADER, VERDICT_HEADER};

/// Sidecar with a fake service.
struct Fixture {
    sidecar: TestSidecar,
    service: FakeService,
}

impl Fixture {
    async fn start(delay_ms: u64) -> Self {
        let cfg = ServiceConfig {
            delay_ms,
            ..ServiceConfig::default()
        };
        let service = FakeService::start(cfg).await.unwrap();
        let sidecar = TestSidecar::with_settings(common::settings("service", service.addr()));
        Self { sidecar, service }
    }

    fn attempt(&self, number: u32) -> AttemptRef {
        attempt(&self.sidecar, number)
    }

    async fn call(&self, attempt: AttemptRef, query: &str, body: Body) -> Response<Incoming> {
        let req = self
            .sidecar
            .request("POST", &format!("/call/orders{query}"))
            .header(CALL_HEADER, call_head(attempt))
            .header("x-reference", "r1")
            .body(body)
            .unwrap();
        self.sidecar.send(req).await
    }

    /// Returns the number of calls that the service executed.
    fn executions(&self) -> u64 {
        self.service.executions().total
    }
}

/// Parses a refusal, which must carry the verdict header.
async fn problem(res: Response<Incoming>) -> Problem {
    assert!(res.headers().contains_key(VERDICT_HEADER));
    serde_json::from_slice(&common::read_body(res).await).unwrap()
}

#[tokio::test]
async fn repeat_joins() {
    let fixture = Fixture::start(50).await;
    let attempt_ref = fixture.attempt(1);
    let (first, second) = tokio::join!(
        fixture.call(attempt_ref, "", Body::from("x")),
        fixture.call(attempt_ref, "", Body::from("x"))
    );
    assert_eq!(first.status(), 201);
    assert_eq!(second.status(), 201);
    let first = common::read_body(first).await;
    assert_eq!(first, common::read_body(second).await);
    let later = fixture.call(attempt_ref, "", Body::from("x")).await;
    assert_eq!(first, common::read_body(later).await);
    assert_eq!(fixture.executions(), 1);
}

#[tokio::test]
async fn fenced_attempt_refused() {
    let fixture = Fixture::start(0).await;
    let attempt_ref = fixture.attempt(1);
    let control = fixture.sidecar.control();
    assert_eq!(
        control.fence(attempt_ref).await.unwrap(),
        AttemptState::Fenced
    );
    let refused = problem(fixture.call(attempt_ref, "", Body::from("x")).await).await;
    assert_eq!(
        (refused.kind, refused.verdict),
        (ProblemKind::Fenced, Verdict::NotRun)
    );
    assert_eq!(fixture.executions(), 0);
    assert_eq!(
        fixture
            .call(fixture.attempt(2), "", Body::from("x"))
            .await
            .status(),
        201
    );
}

#[tokio::test]
async fn other_incarnation() {
    let fixture = Fixture::start(0).await;
    let attempt_ref = AttemptRef {
        sidecar: Incarnation(1),
        ..fixture.attempt(1)
    };
    let control = fixture.sidecar.control();
    let state = control.fence(attempt_ref).await.unwrap();
    assert_eq!(state, AttemptState::OtherIncarnation);
    let refused = problem(fixture.call(attempt_ref, "", Body::from("x")).await).await;
    assert_eq!(refused.kind, ProblemKind::OtherIncarnation);
    // The attempt was sent only to this incarnation, which refused it. A gateway that did not
    // receive the refusal can learn that with `fence`.
    assert_eq!(
        control.fence(attempt_ref).await.unwrap(),
        AttemptState::Fenced
    );
    assert_eq!(fixture.executions(), 0);
}

#[tokio::test]
async fn dropped_answer() {
    let fixture = Fixture::start(0).await;
    fixture.service.set_faults(ServiceFaults {
        drop_after: 1,
        ..ServiceFaults::default()
    });
    let attempt_ref = fixture.attempt(1);
    for _ in 0..2 {
        let refused = problem(fixture.call(attempt_ref, "", Body::from("x")).await).await;
        assert_eq!(refused.verdict, Verdict::MayHaveRun);
    }
    assert_eq!(fixture.executions(), 1, "the sidecar repeated a call");
    let state = fixture
        .sidecar
        .control()
        .outcome(attempt_ref, 0)
        .await
        .unwrap();
    assert_eq!(state, AttemptState::Unknown);
}

#[tokio::test]
async fn dropped_connection() {
    // The service closes the connection without an answer. An HTTP client that retries by itself
    // would run the call.
    let fixture = Fixture::start(0).await;
    fixture.service.set_faults(ServiceFaults {
        drop_before: 1,
        ..ServiceFaults::default()
    });
    let refused = problem(fixture.call(fixture.attempt(1), "", Body::from("x")).await).await;
    assert_eq!(refused.verdict, Verdict::MayHaveRun);
    assert_eq!(fixture.executions(), 0);
}

#[tokio::test]
async fn unreachable_service() {
    let fixture = Fixture::start(0).await;
    fixture.service.kill();
    let attempt_ref = fixture.attempt(1);
    let refused = problem(fixture.call(attempt_ref, "", Body::from("x")).await).await;
    assert_eq!(refused.verdict, Verdict::NotRun);
    // The verdict remains valid, because the attempt is fenced.
    let state = fixture.sidecar.control().fence(attempt_ref).await.unwrap();
    assert_eq!(state, AttemptState::Fenced);
}

#[tokio::test]
async fn gateway_disconnects() {
    let fixture = Fixture::start(100).await;
    let attempt_ref = fixture.attempt(1);
    // The request is dropped as soon as the sidecar reports it as running.
    let call = fixture.call(attempt_ref, "", Body::from("x"));
    let control = fixture.sidecar.control();
    let running =
        async { while control.outcome(attempt_ref, 5).await.unwrap() != AttemptState::Running {} };
    tokio::select! {
        _ = call => panic!("answered before it was reported as running"),
        () = running => {}
    }
    let state = control.outcome(attempt_ref, 5_000).await.unwrap();
    assert!(matches!(state, AttemptState::Answered(_)), "{state:?}");
    assert_eq!(
        fixture
            .call(attempt_ref, "", Body::from("x"))
            .await
            .status(),
        201
    );
    assert_eq!(fixture.executions(), 1);
}

#[tokio::test]
async fn incomplete_body() {
    let fixture = Fixture::start(0).await;
    let attempt_ref = fixture.attempt(1);
    let chunks = [
        Ok(Bytes::from_static(b"half of ")),
        Err(std::io::Error::other("the caller disconnected")),
    ];
    let req = fixture
        .sidecar
        .request("POST", "/call/orders")
        .header(CALL_HEADER, call_head(attempt_ref))
        .header("content-length", "100")
        .body(Body::from_stream(stream::iter(chunks)))
        .unwrap();
    assert!(fixture.sidecar.client.request(req).await.is_err());
    let control = fixture.sidecar.control();
    // Either the sidecar has fenced the attempt already, or this call does.
    assert_eq!(
        control.fence(attempt_ref).await.unwrap(),
        AttemptState::Fenced
    );
    assert_eq!(
        fixture.executions(),
        0,
        "an incomplete request reached the service"
    );
}

#[tokio::test]
async fn large_answer() {
    let fixture = Fixture::start(0).await;
    let attempt_ref = fixture.attempt(1);
    let first = fixture
        .call(attempt_ref, "?pad=100000", Body::from("x"))
        .await;
    assert_eq!(first.status(), 201);
    assert!(common::read_body(first).await.len() > 100_000);
    let repeat = problem(
        fixture
            .call(attempt_ref, "?pad=100000", Body::from("x"))
            .await,
    )
    .await;
    assert_eq!(
        (repeat.kind, repeat.verdict),
        (ProblemKind::AnswerNotKept, Verdict::Ran)
    );
    assert_eq!(fixture.executions(), 1);
}
