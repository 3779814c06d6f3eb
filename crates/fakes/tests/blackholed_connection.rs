//! Black-holed connections and unresponsive engines. Guards against a fake that closes the
//! connections: the peer under test would then notice the fault without a timeout.

mod common;

use std::time::Duration;

use common::{HttpClient, generate, wait_until};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use serde_json::json;

/// Time for which no frame may arrive; long compared with the step time of a few milliseconds.
const QUIET_TIME: Duration = Duration::from_millis(300);

#[tokio::test]
async fn open_blackholed_new_working() {
    let engine = FakeEngine::start(EngineConfig::default()).await.unwrap();
    let mut old = HttpClient::new()
        .generate(engine.addr(), &generate(1, "why", 1_000_000))
        .await;
    old.next().await.unwrap().unwrap();
    let status = HttpClient::new()
        .put(engine.addr(), "/faults", &json!({"silence": true}))
        .await;
    assert_eq!(status, 204);
    let rest = tokio::time::timeout(QUIET_TIME, async {
        while old.next().await.unwrap().is_some() {}
    });
    assert!(rest.await.is_err(), "the black-holed connection ended");
    // Frames received before the fault have been read by now. No further ones arrive.
    assert!(tokio::time::timeout(QUIET_TIME, old.next()).await.is_err());
    let new = HttpClient::new()
        .generate(engine.addr(), &generate(2, "why", 5))
        .await
        .collect_frames()
        .await;
    assert_eq!(new.len(), 6);
    engine.kill();
    wait_until(|| engine.server().connections() == 0).await;
}

#[tokio::test]
async fn unresponsive_until_cleared() {
    let engine = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    let http = HttpClient::new();
    assert_eq!(
        http.put(engine.addr(), "/faults", &json!({"stop_answering": true}))
            .await,
        204
    );
    let request = generate(1, "why", 5);
    let answer = http.generate(engine.addr(), &request);
    let mut answer = std::pin::pin!(answer);
    assert!(
        tokio::time::timeout(QUIET_TIME, answer.as_mut())
            .await
            .is_err()
    );
    assert_eq!(
        HttpClient::new()
            .put(engine.addr(), "/faults", &json!({}))
            .await,
        204
    );
    assert_eq!(answer.await.collect_frames().await.len(), 6);
}
