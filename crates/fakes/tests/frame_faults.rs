//! Faulty frames. Guards against faults that do not show, with which checks of whole answers would
//! pass untested.

mod common;

use common::{Http, generate, tokens, until};
use nutmegbay_core::ids::RequestId;
use nutmegbay_fakes::engine::{CostModel, EngineConfig, EngineFaults, FakeEngine, expected_tokens};
use nutmegbay_proto::engine::Cancel;
use nutmegbay_proto::frame::{Frame, FrameBody};

async fn answer(faults: EngineFaults) -> Vec<Frame> {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    engine.set_faults(faults);
    Http::new()
        .generate(engine.addr(), &generate(1, "why", 4))
        .await
        .all()
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
async fn crossed_answers() {
    let cfg = EngineConfig {
        cost: CostModel {
            step_us: 5_000.0,
            ..CostModel::ZERO
        },
        ..EngineConfig::default()
    };
    let (http, engine) = (Http::new(), FakeEngine::start(cfg).await.unwrap());
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
    let crossed = async {
        loop {
            let (own, other) = tokio::join!(first.next(), second.next());
            if own.unwrap().unwrap().id != RequestId(1)
                || other.unwrap().unwrap().id != RequestId(2)
            {
                return;
            }
        }
    };
    common::soon(crossed).await;
}

#[tokio::test]
async fn cancel_and_ignore() {
    let (http, engine) = (
        Http::new(),
        FakeEngine::start(EngineConfig::default()).await.unwrap(),
    );
    let long = generate(1, "why", 1_000_000);
    let mut answer = http.generate(engine.addr(), &long).await;
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
    assert_eq!(engine.jobs(), 1);
    engine.set_faults(EngineFaults::default());
    http.post(engine.addr(), "/cancel", &cancel).await.unwrap();
    assert_eq!(engine.jobs(), 0);
    let frames = answer.all().await;
    assert!(
        !frames
            .iter()
            .any(|frame| matches!(frame.body, FrameBody::End(_)))
    );

    let answer = http.generate(engine.addr(), &long).await;
    assert_eq!(engine.jobs(), 1);
    drop(answer);
    until(|| engine.jobs() == 0).await;
    assert_eq!(engine.seen().cancelled, 2);
}

#[tokio::test]
async fn unknown_fault() {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    let faults = serde_json::json!({"slowly": 2.0});
    assert_eq!(
        Http::new().put(engine.addr(), "/faults", &faults).await,
        422
    );
}
