//! Crashes of the engine. Guards against a crash that looks like a complete answer, an engine that
//! does not restart, and state that survives a crash.

mod common;

use common::{HttpClient, generate, wait_until, within_deadline};
use nutmegbay_fakes::engine::{EngineConfig, EngineFaults, FakeEngine};
use nutmegbay_proto::engine::CacheEvents;

const CRASHING_PROMPT: &str = "please crash-this-engine now";

#[tokio::test]
async fn crash_aborts_answers() {
    let cfg = EngineConfig {
        restart_ms: None,
        ..EngineConfig::default()
    };
    let (http, engine) = (HttpClient::new(), FakeEngine::start(cfg).await.unwrap());
    let mut bystander = http
        .generate(engine.addr(), &generate(1, "why", 100_000))
        .await;
    bystander.next().await.unwrap().unwrap();
    let crashing = http
        .post(engine.addr(), "/generate", &generate(2, CRASHING_PROMPT, 5))
        .await;
    if let Ok(res) = crashing {
        use http_body_util::BodyExt;
        within_deadline(res.into_body().collect())
            .await
            .unwrap_err();
    }
    while let Ok(frame) = bystander.next().await {
        assert!(frame.is_some(), "the answer ended as if it were complete");
    }
    assert_eq!(engine.seen().crash_batches, [2]);
    wait_until(|| engine.server().connections() == 0).await;
    let refused = http
        .post(engine.addr(), "/generate", &generate(3, "why", 5))
        .await;
    assert!(refused.unwrap_err().is_connect());
}

#[tokio::test]
async fn restart_on_same_port() {
    let cfg = EngineConfig {
        restart_ms: Some(50),
        cost: EngineConfig::instant().cost,
        ..EngineConfig::default()
    };
    let (http, engine) = (HttpClient::new(), FakeEngine::start(cfg).await.unwrap());
    let long_prompt = "x".repeat(20_000);
    http.generate(engine.addr(), &generate(1, &long_prompt, 1))
        .await
        .collect_frames()
        .await;
    assert!(engine.server().is_up());
    engine.set_faults(EngineFaults {
        crash: true,
        ..EngineFaults::default()
    });
    wait_until(|| engine.server().is_up()).await;
    within_deadline(async {
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
    let frames = http
        .generate(engine.addr(), &generate(2, &long_prompt, 1))
        .await
        .collect_frames()
        .await;
    assert_eq!(frames.len(), 2);
    assert_eq!(engine.seen().cached, 0, "the cache survived the crash");
    let events: CacheEvents = http.get(engine.addr(), "/cache/events?from=0").await;
    assert!(events.next <= 2);
}
