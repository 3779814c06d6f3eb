//! Guards against crash reports that lack a running request, and against exclusive runs that
//! overlap other runs.

mod common;

use std::time::Duration;

use common::{TestSidecar, work};
use http_body_util::BodyExt;
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_fakes::engine::{CostModel, EngineConfig, EngineFaults, FakeEngine};
use nutmegbay_proto::control::{SidecarControlClient, SidecarQuery, SidecarStatus};
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::problem::ProblemKind;
use nutmegbay_proto::work::Work;

/// Starts an engine that takes 20 ms for a token.
async fn slow_engine() -> FakeEngine {
    let cfg = EngineConfig {
        cost: CostModel {
            step_us: 20_000.0,
            ..CostModel::ZERO
        },
        load_lag_ms: 0,
        ..EngineConfig::default()
    };
    FakeEngine::start(cfg).await.unwrap()
}

fn long_work(id: u128) -> Work {
    Work {
        max_tokens: 10_000,
        deadline_ms: 60_000,
        ..work(id)
    }
}

async fn status(sidecar: &TestSidecar) -> SidecarStatus {
    sidecar
        .control()
        .status(SidecarQuery::default())
        .await
        .unwrap()
}

fn is_crash(body: &FrameBody) -> bool {
    matches!(body, FrameBody::Failed(p) if p.kind == ProblemKind::UpstreamCrashed)
}

#[tokio::test]
async fn report_lists_all_running() {
    let engine = slow_engine().await;
    let sidecar = TestSidecar::with_settings(common::settings("engine", engine.addr()));
    let mut first = sidecar.work(&long_work(1)).await;
    let mut second = sidecar.work(&long_work(2)).await;
    first.body_mut().frame().await.unwrap().unwrap();
    second.body_mut().frame().await.unwrap().unwrap();
    engine.set_faults(EngineFaults {
        crash: true,
        ..EngineFaults::default()
    });
    for res in [first, second] {
        let frames = common::parse_frames(&common::read_body(res).await);
        assert!(is_crash(&frames.last().unwrap().body), "{frames:?}");
    }
    let crashes = status(&sidecar).await.crashes;
    assert_eq!(crashes.len(), 1, "one crash was reported more than once");
    assert_eq!(crashes[0].running, [Fingerprint(1), Fingerprint(2)]);
}

#[tokio::test]
async fn hung_engine() {
    // The engine keeps its connections open but sends nothing. The sidecar's own keep-alives must
    // not hide that.
    let engine = slow_engine().await;
    let mut settings = common::settings("engine", engine.addr());
    settings.probe_timeout_ms = 50;
    let sidecar = TestSidecar::with_settings(settings);
    let mut res = sidecar.work(&long_work(1)).await;
    res.body_mut().frame().await.unwrap().unwrap();
    engine.set_faults(EngineFaults {
        stop_answering: true,
        ..EngineFaults::default()
    });
    let frames = common::parse_frames(&common::read_body(res).await);
    assert!(is_crash(&frames.last().unwrap().body));
    let status = status(&sidecar).await;
    assert!(!status.healthy);
    assert_eq!(status.crashes[0].running, [Fingerprint(1)]);
}

#[tokio::test]
async fn exclusive_waits() {
    let engine = slow_engine().await;
    let sidecar = TestSidecar::with_settings(common::settings("engine", engine.addr()));
    let mut first = sidecar.work(&long_work(1)).await;
    first.body_mut().frame().await.unwrap().unwrap();
    let exclusive = Work {
        exclusive: true,
        ..work(2)
    };
    let (exclusive, shared) = (sidecar.work(&exclusive).await, sidecar.work(&work(3)).await);
    tokio::time::timeout(Duration::from_millis(100), async {
        while engine.requests_in_flight() == 1 {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect_err("a run started while another one was in progress");
    drop(first);
    let exclusive = common::parse_frames(&common::read_body(exclusive).await);
    assert!(matches!(exclusive.last().unwrap().body, FrameBody::End(_)));
    let shared = common::parse_frames(&common::read_body(shared).await);
    assert!(matches!(shared.last().unwrap().body, FrameBody::End(_)));
}

#[tokio::test]
async fn next_attempt() {
    // The engine cancels by request ID: the end of attempt 1 must not cancel attempt 2.
    let engine = slow_engine().await;
    let sidecar = TestSidecar::with_settings(common::settings("engine", engine.addr()));
    let mut first = sidecar.work(&long_work(1)).await;
    first.body_mut().frame().await.unwrap().unwrap();
    let second = Work {
        attempt: 2,
        delivered: vec!["a".into()],
        ..work(1)
    };
    let second = sidecar.work(&second).await;
    drop(first);
    let frames = common::parse_frames(&common::read_body(second).await);
    assert_eq!(frames.len(), 8);
    assert!(frames.iter().all(|frame| frame.attempt == 2));
    assert!(matches!(frames[7].body, FrameBody::End(_)));
}

#[tokio::test]
async fn cache_events_and_load() {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    let sidecar = TestSidecar::with_settings(common::settings("engine", engine.addr()));
    let prompt = Work {
        prompt: "x".repeat(20_000).into(),
        ..work(1)
    };
    sidecar.frames(&prompt).await;
    while status(&sidecar).await.cache.events.is_empty() {
        tokio::task::yield_now().await;
    }
    let load = status(&sidecar).await.load;
    assert!(load.age_ms < 5_000, "{load:?}");
}
