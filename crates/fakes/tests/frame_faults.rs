//! Faults of single frames. Guards against faults without an effect: tests of the checks on answers
//! would then pass without testing them.

mod common;

use common::{HttpClient, generate, tokens, wait_until};
use nutmegbay_core::ids::RequestId;
use nutmegbay_fakes::engine::{CostModel, EngineConfig, EngineFaults, FakeEngine, expected_tokens};
use nutmegbay_proto::engine::Cancel;
use nutmegbay_proto::frame::{Frame, FrameBody};

/// Returns the frames of a complete answer of four tokens under `faults`.
async fn answer(faults: EngineFaults) -> Vec<Frame> {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    engine.set_faults(faults);
    HttpClient::new()
        .generate(engine.addr(), &generate(1, "why", 4))
        .await
        .collect_frames()
        .await
}

#[tokio::test]
async fn wrong_id() {
    let frames = answer(EngineFaults {
        wrong_id: 1,
        ..EngineFaults::default()
    })
    .await;
    assert_ne!(frames[0].id, RequestId(1));
    assert!(frames[1..].iter().all(|frame| frame.id == RequestId(1)));
}

#[tokio::test]
async fn duplicated_frame() {
    let frames = answer(EngineFaults {
        duplicate: 1,
        ..EngineFaults::default()
    })
    .await;
    let seqs: Vec<u32> = frames.iter().map(|frame| frame.seq).collect();
    assert_eq!(seqs, [0, 0, 1, 2, 3, 4]);
}

#[tokio::test]
async fn dropped_end() {
    let frames = answer(EngineFaults {
        drop_end: 1,
        ..EngineFaults::default()
    })
    .await;
    assert_eq!(tokens(&frames), expected_tokens("m", "why", 4));
    assert!(
        !frames
            .iter()
            .any(|frame| matches!(frame.body, FrameBody::End(_)))
    );
}

#[tokio::test]
async fn token_on_other_answer() {
    let cfg = EngineConfig {
        cost: CostModel {
            step_us: 5_000.0,
            ..CostModel::ZERO
        },
        ..EngineConfig::default()
    };
    let (http, engine) = (HttpClient::new(), FakeEngine::start(cfg).await.unwrap());
    let mut first = http
        .generate(engine.addr(), &generate(1, "why", 1_000_000))
        .await;
    let mut second = http
        .generate(engine.addr(), &generate(2, "how", 1_000_000))
        .await;
    first.next().await.unwrap().unwrap();
    second.next().await.unwrap().unwrap();
    engine.set_faults(EngineFaults {
        crossed: 1,
        ..EngineFaults::default()
    });
    let wrong_frame = async {
        loop {
            let (own, other) = tokio::join!(first.next(), second.next());
            if own.unwrap().unwrap().id != RequestId(1)
                || other.unwrap().unwrap().id != RequestId(2)
            {
                return;
            }
        }
    };
    common::within_deadline(wrong_frame).await;
}

#[tokio::test]
async fn cancel_and_ignored_cancel() {
    let (http, engine) = (
        HttpClient::new(),
        FakeEngine::start(EngineConfig::default()).await.unwrap(),
    );
    let long_request = generate(1, "why", 1_000_000);
    let mut answer = http.generate(engine.addr(), &long_request).await;
    answer.next().await.unwrap().unwrap();
    engine.set_faults(EngineFaults {
        ignore_cancel: true,
        ..EngineFaults::default()
    });
    let cancel = Cancel { id: RequestId(1) };
    assert_eq!(
        http.post(engine.addr(), "/cancel", &cancel)
            .await
            .unwrap()
            .status(),
        204
    );
    assert_eq!(engine.requests_in_flight(), 1);
    engine.set_faults(EngineFaults::default());
    http.post(engine.addr(), "/cancel", &cancel).await.unwrap();
    assert_eq!(engine.requests_in_flight(), 0);
    let frames = answer.collect_frames().await;
    assert!(
        !frames
            .iter()
            .any(|frame| matches!(frame.body, FrameBody::End(_)))
    );

    let answer = http.generate(engine.addr(), &long_request).await;
    assert_eq!(engine.requests_in_flight(), 1);
    drop(answer);
    wait_until(|| engine.requests_in_flight() == 0).await;
    assert_eq!(engine.seen().cancelled, 2);
}

#[tokio::test]
async fn unknown_fault_refused() {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    let faults = serde_json::json!({"slowly": 2.0});
    assert_eq!(
        HttpClient::new()
            .put(engine.addr(), "/faults", &faults)
            .await,
        422
    );
}
