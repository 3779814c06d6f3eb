//! Sidecars killed and restarted in the middle of a non-idempotent call. Guards against a new life
//! of a sidecar that runs what the old one may have run, and against an untrue "not run".

mod common;

use std::time::Duration;

use common::http::Answer;
use common::site::Site;
use nutmegbay_proto::platform::InstanceKind;
use serde_json::{Value, json};

/// Time of one call at the service, before or after it executes.
const SLOW_MS: u64 = 1_000;

/// Kills the sidecar once `is_midway` holds for what the service saw, starts another one on the
/// same address and repeats the call at both gateways.
async fn restarted_midway(faults: Value, is_midway: impl Fn(&Value) -> bool) {
    let mut site = Site::start(2, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let service = site.services[0].backend.addr("addr");
    site.http.put(service, "/faults", &faults).await;
    let body = r#"{"reference":"r1"}"#;
    let first = site.order(0, &token, "key-1", body);
    let kill = async {
        site.until("the call is under way", async || {
            is_midway(&site.http.get(service, "/executions").await.json())
        })
        .await;
        site.services[0].sidecar.signal("KILL");
    };
    let (first, ()) = tokio::join!(first, kill);
    check(&site, &first.unwrap()).await;
    site.services[0].sidecar.wait();
    let listen = site.services[0].instance.data;
    let kind = InstanceKind::Service;
    site.services[0].sidecar = site.start_sidecar("orders-0", kind, 0, listen, service);
    site.until("the new sidecar is used", async || {
        let body = r#"{"reference":"r2"}"#;
        let answer = site.order(1, &token, "key-2", body).await;
        answer.is_ok_and(|answer| answer.status == 201)
    })
    .await;
    for gateway in [1, 0, 1] {
        let answer = site.order(gateway, &token, "key-1", body).await.unwrap();
        check(&site, &answer).await;
    }
}

/// Compares an answer with what the service executed.
async fn check(site: &Site, answer: &Answer) {
    // The service may still be at the call.
    tokio::time::sleep(Duration::from_millis(SLOW_MS)).await;
    let seen = site.executions().await;
    let ran = seen[0]["by_reference"]["r1"].as_u64().unwrap_or(0);
    assert!(ran <= 1, "it ran {ran} times: {}", answer.text());
    if answer.status == 201 {
        assert_eq!(ran, 1, "{}", answer.text());
    } else {
        assert!(
            ran == 0 || answer.json()["verdict"] != "not_run",
            "{}",
            answer.text()
        );
    }
}

#[tokio::test]
async fn before_execution() {
    restarted_midway(json!({ "slow_ms": SLOW_MS }), |seen| seen["started"] == 1).await;
}

#[tokio::test]
async fn after_execution() {
    restarted_midway(json!({ "slow_answer_ms": SLOW_MS }), |seen| {
        seen["total"] == 1
    })
    .await;
}
