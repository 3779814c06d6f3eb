//! Guards against non-idempotent calls that run twice, get different answers or untrue verdicts.

mod common;

use axum::body::Body;
use axum::http::Response;
use bytes::Bytes;
use common::{Rig, attempt, head};
use futures::stream;
use hyper::body::Incoming;
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::service::{FakeService, ServiceConfig, ServiceFaults};
use nutmegbay_proto::control::SidecarControlClient;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{CALL_HEADER, VERDICT_HEADER};

struct Site {
    rig: Rig,
    service: FakeService,
}

impl Site {
    async fn start(delay_ms: u64) -> Self {
        let cfg = ServiceConfig {
            delay_ms,
            ..ServiceConfig::default()
        };
        let service = FakeService::start(cfg).await.unwrap();
        let rig = Rig::with(common::settings("service", service.addr()));
        Self { rig, service }
    }

    fn attempt(&self, number: u32) -> AttemptRef {
        attempt(&self.rig, number)
    }

    async fn call(&self, attempt: AttemptRef, query: &str, body: Body) -> Response<Incoming> {
        let req = self
            .rig
            .request("POST", &format!("/call/orders{query}"))
            .header(CALL_HEADER, head(attempt))
            .header("x-reference", "r1")
            .body(body)
            .unwrap();
        self.rig.send(req).await
    }

    fn runs(&self) -> u64 {
        self.service.executions().total
    }
}

async fn problem(res: Response<Incoming>) -> Problem {
    assert!(res.headers().contains_key(VERDICT_HEADER));
    serde_json::from_slice(&common::body(res).await).unwrap()
}

#[tokio::test]
async fn repeat_joins() {
    let site = Site::start(50).await;
    let a = site.attempt(1);
    let (first, second) = tokio::join!(
        site.call(a, "", Body::from("x")),
        site.call(a, "", Body::from("x"))
    );
    assert_eq!(first.status(), 201);
    assert_eq!(second.status(), 201);
    let first = common::body(first).await;
    assert_eq!(first, common::body(second).await);
    let late = site.call(a, "", Body::from("x")).await;
    assert_eq!(first, common::body(late).await);
    assert_eq!(site.runs(), 1);
}

#[tokio::test]
async fn fenced_refused() {
    let site = Site::start(0).await;
    let a = site.attempt(1);
    let control = site.rig.control();
    assert_eq!(control.fence(a).await.unwrap(), AttemptState::Fenced);
    let refused = problem(site.call(a, "", Body::from("x")).await).await;
    assert_eq!(
        (refused.kind, refused.verdict),
        (ProblemKind::Fenced, Verdict::NotRun)
    );
    assert_eq!(site.runs(), 0);
    assert_eq!(
        site.call(site.attempt(2), "", Body::from("x"))
            .await
            .status(),
        201
    );
}

#[tokio::test]
async fn other_life() {
    let site = Site::start(0).await;
    let a = AttemptRef {
        sidecar: Incarnation(1),
        ..site.attempt(1)
    };
    let control = site.rig.control();
    let state = control.fence(a).await.unwrap();
    assert_eq!(state, AttemptState::OtherIncarnation);
    let refused = problem(site.call(a, "", Body::from("x")).await).await;
    assert_eq!(refused.kind, ProblemKind::OtherIncarnation);
    // It was sent here and nowhere else, which a gateway that lost the refusal can learn.
    assert_eq!(control.fence(a).await.unwrap(), AttemptState::Fenced);
    assert_eq!(site.runs(), 0);
}

#[tokio::test]
async fn dropped_answer() {
    let site = Site::start(0).await;
    site.service.set_faults(ServiceFaults {
        drop_after: 1,
        ..ServiceFaults::default()
    });
    let a = site.attempt(1);
    for _ in 0..2 {
        let refused = problem(site.call(a, "", Body::from("x")).await).await;
        assert_eq!(refused.verdict, Verdict::MayHaveRun);
    }
    assert_eq!(site.runs(), 1, "the sidecar repeated a call");
    let state = site.rig.control().outcome(a, 0).await.unwrap();
    assert_eq!(state, AttemptState::Unknown);
}

#[tokio::test]
async fn dropped_connection() {
    // The service closes the connection without an answer: an HTTP client that retries on its own
    // would run the call.
    let site = Site::start(0).await;
    site.service.set_faults(ServiceFaults {
        drop_before: 1,
        ..ServiceFaults::default()
    });
    let refused = problem(site.call(site.attempt(1), "", Body::from("x")).await).await;
    assert_eq!(refused.verdict, Verdict::MayHaveRun);
    assert_eq!(site.runs(), 0);
}

#[tokio::test]
async fn service_down() {
    let site = Site::start(0).await;
    site.service.kill();
    let a = site.attempt(1);
    let refused = problem(site.call(a, "", Body::from("x")).await).await;
    assert_eq!(refused.verdict, Verdict::NotRun);
    // The verdict stays true: the attempt is fenced from now on.
    let state = site.rig.control().fence(a).await.unwrap();
    assert_eq!(state, AttemptState::Fenced);
}

#[tokio::test]
async fn gateway_leaves() {
    let site = Site::start(100).await;
    let a = site.attempt(1);
    // The request is dropped as soon as the sidecar runs it.
    let call = site.call(a, "", Body::from("x"));
    let control = site.rig.control();
    let running = async { while control.outcome(a, 5).await.unwrap() != AttemptState::Running {} };
    tokio::select! {
        _ = call => panic!("answered before it was seen running"),
        () = running => {}
    }
    let state = control.outcome(a, 5_000).await.unwrap();
    assert!(matches!(state, AttemptState::Answered(_)), "{state:?}");
    assert_eq!(site.call(a, "", Body::from("x")).await.status(), 201);
    assert_eq!(site.runs(), 1);
}

#[tokio::test]
async fn cut_body() {
    let site = Site::start(0).await;
    let a = site.attempt(1);
    let pieces = [
        Ok(Bytes::from_static(b"half of ")),
        Err(std::io::Error::other("the caller left")),
    ];
    let req = site
        .rig
        .request("POST", "/call/orders")
        .header(CALL_HEADER, head(a))
        .header("content-length", "100")
        .body(Body::from_stream(stream::iter(pieces)))
        .unwrap();
    assert!(site.rig.client.request(req).await.is_err());
    let control = site.rig.control();
    // Either the sidecar has fenced it already, or this does.
    assert_eq!(control.fence(a).await.unwrap(), AttemptState::Fenced);
    assert_eq!(site.runs(), 0, "a part of a request reached the service");
}

#[tokio::test]
async fn large_answer() {
    let site = Site::start(0).await;
    let a = site.attempt(1);
    let first = site.call(a, "?pad=100000", Body::from("x")).await;
    assert_eq!(first.status(), 201);
    assert!(common::body(first).await.len() > 100_000);
    let repeat = problem(site.call(a, "?pad=100000", Body::from("x")).await).await;
    assert_eq!(
        (repeat.kind, repeat.verdict),
        (ProblemKind::AnswerNotKept, Verdict::Ran)
    );
    assert_eq!(site.runs(), 1);
}
