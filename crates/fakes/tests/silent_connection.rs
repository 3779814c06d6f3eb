//! Connections that go silent. Guards against a fake that closes them, which the side under test
//! would notice without any timeout.

mod common;

use std::time::Duration;

use common::{Http, generate, until};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use serde_json::json;

/// Time for which nothing may arrive; long against the step time of a few milliseconds.
const SILENCE: Duration = Duration::from_millis(300);

#[tokio::test]
async fn open_silent_new_working() {
    let engine = FakeEngine::start(EngineConfig::default()).await.unwrap();
    let mut old = Http::new()
        .generate(engine.addr(), &generate(1, "why", 1_000_000))
        .await;
    old.next().await.unwrap().unwrap();
    let status = Http::new()
        .put(engine.addr(), "/faults", &json!({"silence": true}))
        .await;
    assert_eq!(status, 204);
    let rest = tokio::time::timeout(SILENCE, async {
        while old.next().await.unwrap().is_some() {}
    });
    assert!(rest.await.is_err(), "the silent connection ended");
    // What had arrived before is read; from then on nothing comes.
    assert!(tokio::time::timeout(SILENCE, old.next()).await.is_err());
    let new = Http::new()
        .generate(engine.addr(), &generate(2, "why", 5))
        .await
        .all()
        .await;
    assert_eq!(new.len(), 6);
    engine.kill();
    until(|| engine.server().connections() == 0).await;
}

#[tokio::test]
async fn stops_answering() {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    let http = Http::new();
    assert_eq!(
        http.put(engine.addr(), "/faults", &json!({"stop_answering": true}))
            .await,
        204
    );
    let request = generate(1, "why", 5);
    let answer = http.generate(engine.addr(), &request);
    let mut answer = std::pin::pin!(answer);
    assert!(
        tokio::time::timeout(SILENCE, answer.as_mut())
            .await
            .is_err()
    );
    assert_eq!(
        Http::new().put(engine.addr(), "/faults", &json!({})).await,
        204
    );
    assert_eq!(answer.await.all().await.len(), 6);
}
