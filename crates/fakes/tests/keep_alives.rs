//! Signs of life on open answers. Guards against an engine that cannot be told from a silent
//! connection while no token is due.

mod common;

use std::time::Duration;

use common::{Http, generate};
use nutmegbay_fakes::engine::{CostModel, EngineConfig, EngineFaults, FakeEngine};
use nutmegbay_proto::frame::FrameBody;

/// Time for which nothing may arrive; long against the interval of 20 ms.
const SILENCE: Duration = Duration::from_millis(300);

#[tokio::test]
async fn slow_answer() {
    let cost = CostModel {
        step_us: 100_000.0,
        ..CostModel::ZERO
    };
    let cfg = EngineConfig {
        cost,
        keep_alive_ms: 20,
        ..EngineConfig::default()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    let frames = Http::new()
        .generate(engine.addr(), &generate(1, "why", 2))
        .await
        .all()
        .await;
    let alive = |seq| {
        let signs = frames
            .iter()
            .filter(|frame| frame.body == FrameBody::KeepAlive);
        signs.filter(|frame| frame.seq == seq).count()
    };
    assert!(alive(0) > 0 && alive(1) > 0, "{frames:?}");
    assert!(matches!(frames.last().unwrap().body, FrameBody::End(_)));
}

#[tokio::test]
async fn none_while_hung() {
    let cost = CostModel {
        step_us: 3.6e9,
        ..CostModel::ZERO
    };
    let cfg = EngineConfig {
        cost,
        keep_alive_ms: 20,
        ..EngineConfig::default()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    let mut answer = Http::new()
        .generate(engine.addr(), &generate(1, "why", 2))
        .await;
    assert_eq!(
        answer.next().await.unwrap().unwrap().body,
        FrameBody::KeepAlive
    );
    engine.set_faults(EngineFaults {
        stop_answering: true,
        ..EngineFaults::default()
    });
    let rest = async { while answer.next().await.unwrap().is_some() {} };
    assert!(tokio::time::timeout(SILENCE, rest).await.is_err());
    assert!(tokio::time::timeout(SILENCE, answer.next()).await.is_err());
}
