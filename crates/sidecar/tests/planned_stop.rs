//! Guards against a shutdown that cuts off a request, and against work admitted while draining.

mod common;

use std::net::SocketAddr;

use axum::body::Body;
use common::{TestSidecar, attempt, call_head, work};
use nutmegbay_core::guard::AttemptState;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_fakes::service::{FakeService, ServiceConfig};
use nutmegbay_proto::control::{SidecarControlClient, SidecarQuery};
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::CALL_HEADER;

/// Returns the HTTP status of `/ready`.
async fn ready_status(sidecar: &TestSidecar, admin: SocketAddr) -> u16 {
    let uri = format!("http://{admin}/ready").parse().unwrap();
    sidecar.client.get(uri).await.unwrap().status().as_u16()
}

#[tokio::test]
async fn stream_finishes() {
    let engine = FakeEngine::start(EngineConfig::default()).await.unwrap();
    let sidecar = TestSidecar::with_settings(common::settings("engine", engine.addr()));
    while ready_status(&sidecar, sidecar.admin).await != 200 {}
    let res = sidecar.work(&work(1)).await;
    sidecar.stop.cancel();
    while ready_status(&sidecar, sidecar.admin).await != 503 {}
    // New work is refused while the running stream continues.
    let refused = sidecar.work(&work(2)).await;
    assert_eq!(refused.status(), 503);
    let refused: Problem = serde_json::from_slice(&common::read_body(refused).await).unwrap();
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(refused.kind, ProblemKind::Draining);
    let frames = common::parse_frames(&common::read_body(res).await);
    assert_eq!(frames.len(), 9, "the stream was cut off");
    assert!(matches!(frames[8].body, FrameBody::End(_)));
    sidecar.task.await.unwrap().unwrap();
}

#[tokio::test]
async fn call_finishes() {
    let cfg = ServiceConfig {
        delay_ms: 100,
        ..ServiceConfig::default()
    };
    let service = FakeService::start(cfg).await.unwrap();
    let sidecar = TestSidecar::with_settings(common::settings("service", service.addr()));
    let attempt_ref = attempt(&sidecar, 1);
    let req = sidecar
        .request("POST", "/call/orders")
        .header(CALL_HEADER, call_head(attempt_ref))
        .body(Body::from("x"))
        .unwrap();
    let call = tokio::spawn(sidecar.client.request(req));
    let control = sidecar.control();
    while control.outcome(attempt_ref, 0).await.unwrap() != AttemptState::Running {}
    sidecar.stop.cancel();
    assert_eq!(call.await.unwrap().unwrap().status(), 201);
    sidecar.task.await.unwrap().unwrap();
    assert_eq!(service.executions().total, 1);
}

#[tokio::test]
async fn draining_fences_refused_attempts() {
    // A call that is refused while draining must not run when a late duplicate of it arrives.
    let service = FakeService::start(ServiceConfig::default()).await.unwrap();
    let sidecar = TestSidecar::with_settings(common::settings("service", service.addr()));
    let control = sidecar.control();
    assert_eq!(control.drain().await.unwrap(), 0);
    let attempt_ref = attempt(&sidecar, 1);
    let req = sidecar
        .request("POST", "/call/orders")
        .header(CALL_HEADER, call_head(attempt_ref))
        .body(Body::from("x"))
        .unwrap();
    let refused = sidecar.send(req).await;
    let refused: Problem = serde_json::from_slice(&common::read_body(refused).await).unwrap();
    assert_eq!(
        (refused.kind, refused.verdict),
        (ProblemKind::Draining, Verdict::NotRun)
    );
    assert_eq!(
        control.outcome(attempt_ref, 0).await.unwrap(),
        AttemptState::Fenced
    );
    let status = control.status(SidecarQuery::default()).await.unwrap();
    assert!(status.draining);
}

#[tokio::test]
async fn exclusive_port() {
    // A second sidecar on the instance must not receive some of the connections.
    let service = FakeService::start(ServiceConfig::default()).await.unwrap();
    let sidecar = TestSidecar::with_settings(common::settings("service", service.addr()));
    let mut settings = common::settings("service", service.addr());
    settings.listen = sidecar.data;
    assert!(nutmegbay_sidecar::Sidecar::bind(settings).is_err());
}
