//! Requests that crash the engine. Guards against a crash that looks like a complete answer, and
//! against an engine that never comes back or keeps state that a crash loses.

mod common;

use common::{Http, generate, soon, until};
use nutmegbay_fakes::engine::{EngineConfig, EngineFaults, FakeEngine};
use nutmegbay_proto::engine::CacheEvents;

const MARKED: &str = "please crash-this-engine now";

#[tokio::test]
async fn answers_are_cut() {
    let cfg = EngineConfig {
        restart_ms: None,
        ..EngineConfig::default()
    };
    let (http, engine) = (Http::new(), FakeEngine::start(cfg).await.unwrap());
    let mut bystander = http
        .generate(engine.addr(), &generate(1, "why", 100_000))
        .await;
    bystander.next().await.unwrap().unwrap();
    let marked = http
        .post(engine.addr(), "/generate", &generate(2, MARKED, 5))
        .await;
    if let Ok(res) = marked {
        use http_body_util::BodyExt;
        soon(res.into_body().collect()).await.unwrap_err();
    }
    while let Ok(frame) = bystander.next().await {
        assert!(frame.is_some(), "the answer seems to be complete");
    }
    assert_eq!(engine.seen().crash_batches, [2]);
    until(|| engine.server().connections() == 0).await;
    let refused = http
        .post(engine.addr(), "/generate", &generate(3, "why", 5))
        .await;
    assert!(refused.unwrap_err().is_connect());
}

#[tokio::test]
async fn back_on_same_port() {
    let cfg = EngineConfig {
        restart_ms: Some(50),
        cost: EngineConfig::instant().cost,
        ..EngineConfig::default()
    };
    let (http, engine) = (Http::new(), FakeEngine::start(cfg).await.unwrap());
    let long = "x".repeat(20_000);
    http.generate(engine.addr(), &generate(1, &long, 1))
        .await
        .all()
        .await;
    assert!(engine.server().is_up());
    engine.set_faults(EngineFaults {
        crash: true,
        ..EngineFaults::default()
    });
    until(|| engine.server().is_up()).await;
    soon(async {
        while http
            .post(
                engine.addr(),
                "/cancel",
                &serde_json::json!({"id": "0".repeat(32)}),
            )
            .await
            .is_err()
        {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    })
    .await;
    let again = http
        .generate(engine.addr(), &generate(2, &long, 1))
        .await
        .all()
        .await;
    assert_eq!(again.len(), 2);
    assert_eq!(engine.seen().cached, 0, "the cache outlived the crash");
    let events: CacheEvents = http.get(engine.addr(), "/cache/events?from=0").await;
    assert!(events.next <= 2);
}
