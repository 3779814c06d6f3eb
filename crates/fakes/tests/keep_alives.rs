//! Keep-alives on open answers. Guards against a slow engine that looks like a black-holed
//! connection, and against a hung engine that still sends keep-alives.

mod common;

use std::time::Duration;

use common::{HttpClient, generate};
use nutmegbay_fakes::engine::{CostModel, EngineConfig, EngineFaults, FakeEngine};
use nutmegbay_proto::frame::FrameBody;

/// Time for which no frame may arrive; long compared with the keep-alive interval of 20 ms.
const QUIET_TIME: Duration = Duration::from_millis(300);

#[tokio::test]
async fn sent_between_slow_tokens() {
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
    let frames = HttpClient::new()
        .generate(engine.addr(), &generate(1, "why", 2))
        .await
        .collect_frames()
        .await;
    let count_at = |seq| {
        let keep_alives = frames
            .iter()
            .filter(|frame| frame.body == FrameBody::KeepAlive);
        keep_alives.filter(|frame| frame.seq == seq).count()
    };
    assert!(count_at(0) > 0 && count_at(1) > 0, "{frames:?}");
    assert!(matches!(frames.last().unwrap().body, FrameBody::End(_)));
}

#[tokio::test]
async fn not_sent_while_hung() {
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
    let mut answer = HttpClient::new()
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
    assert!(tokio::time::timeout(QUIET_TIME, rest).await.is_err());
    assert!(
        tokio::time::timeout(QUIET_TIME, answer.next())
            .await
            .is_err()
    );
}
