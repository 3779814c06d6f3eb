//! Guards against stops that cut off a request, and against work taken while draining.

mod common;

use std::net::SocketAddr;

use axum::body::Body;
use common::{Rig, attempt, head, work};
use nutmegbay_core::guard::AttemptState;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_fakes::service::{FakeService, ServiceConfig};
use nutmegbay_proto::control::{SidecarControlClient, SidecarQuery};
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::CALL_HEADER;

async fn ready(rig: &Rig, admin: SocketAddr) -> u16 {
    let uri = format!("http://{admin}/ready").parse().unwrap();
    rig.client.get(uri).await.unwrap().status().as_u16()
}

#[tokio::test]
async fn stream_finishes() {
    let engine = FakeEngine::start(EngineConfig::default()).await.unwrap();
    let rig = Rig::with(common::settings("engine", engine.addr()));
    while ready(&rig, rig.admin).await != 200 {}
    let res = rig.work(&work(1)).await;
    rig.stop.cancel();
    while ready(&rig, rig.admin).await != 503 {}
    // New work is refused while the old one goes on.
    let refused = rig.work(&work(2)).await;
    assert_eq!(refused.status(), 503);
    let refused: Problem = serde_json::from_slice(&common::body(refused).await).unwrap();
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(refused.kind, ProblemKind::Draining);
    let frames = common::parse_frames(&common::body(res).await);
    assert_eq!(frames.len(), 9, "the stream was cut");
    assert!(matches!(frames[8].body, FrameBody::End(_)));
    rig.done.await.unwrap().unwrap();
}

#[tokio::test]
async fn call_finishes() {
    let cfg = ServiceConfig {
        delay_ms: 100,
        ..ServiceConfig::default()
    };
    let service = FakeService::start(cfg).await.unwrap();
    let rig = Rig::with(common::settings("service", service.addr()));
    let a = attempt(&rig, 1);
    let req = rig
        .request("POST", "/call/orders")
        .header(CALL_HEADER, head(a))
        .body(Body::from("x"))
        .unwrap();
    let call = tokio::spawn(rig.client.request(req));
    let control = rig.control();
    while control.outcome(a, 0).await.unwrap() != AttemptState::Running {}
    rig.stop.cancel();
    assert_eq!(call.await.unwrap().unwrap().status(), 201);
    rig.done.await.unwrap().unwrap();
    assert_eq!(service.executions().total, 1);
}

#[tokio::test]
async fn drain_fences() {
    // A call that is refused while draining must not run from a late duplicate either.
    let service = FakeService::start(ServiceConfig::default()).await.unwrap();
    let rig = Rig::with(common::settings("service", service.addr()));
    let control = rig.control();
    assert_eq!(control.drain().await.unwrap(), 0);
    let a = attempt(&rig, 1);
    let req = rig
        .request("POST", "/call/orders")
        .header(CALL_HEADER, head(a))
        .body(Body::from("x"))
        .unwrap();
    let refused = rig.send(req).await;
    let refused: Problem = serde_json::from_slice(&common::body(refused).await).unwrap();
    assert_eq!(
        (refused.kind, refused.verdict),
        (ProblemKind::Draining, Verdict::NotRun)
    );
    assert_eq!(control.outcome(a, 0).await.unwrap(), AttemptState::Fenced);
    let status = control.status(SidecarQuery::default()).await.unwrap();
    assert!(status.draining);
}

#[tokio::test]
async fn one_port() {
    // A second sidecar on the instance must not be able to take part of the connections.
    let service = FakeService::start(ServiceConfig::default()).await.unwrap();
    let rig = Rig::with(common::settings("service", service.addr()));
    let mut settings = common::settings("service", service.addr());
    settings.listen = rig.data;
    assert!(nutmegbay_sidecar::Sidecar::bind(settings).is_err());
}
