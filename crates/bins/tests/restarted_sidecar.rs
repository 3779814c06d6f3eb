//! Sidecars killed and restarted during a non-idempotent call. Guards against a new incarnation
//! that executes a call which the previous one may have executed, and against a wrong verdict
//! `not_run`.

mod common;

use std::time::Duration;

use common::http::Answer;
use common::site::Site;
use nutmegbay_proto::platform::InstanceKind;
use serde_json::{Value, json};

/// Delay of a call at the service in milliseconds, before or after its execution.
const SLOW_MS: u64 = 1_000;

/// Kills the sidecar once `is_midway` holds for the service's execution counts, starts a new one at
/// the same address and retries the call at both gateways.
async fn restart_sidecar_midway(faults: Value, is_midway: impl Fn(&Value) -> bool) {
    let mut site = Site::start(2, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let service = site.services[0].backend.addr("addr");
    site.http.put(service, "/faults", &faults).await;
    let body = r#"{"reference":"r1"}"#;
    let first = site.place_order(0, &token, "key-1", body);
    let kill = async {
        site.wait_until("the call is in flight", async || {
            is_midway(&site.http.get(service, "/executions").await.json())
        })
        .await;
        site.services[0].sidecar.signal("KILL");
    };
    let (first, ()) = tokio::join!(first, kill);
    check_executions(&site, &first.unwrap()).await;
    site.services[0].sidecar.wait();
    let listen = site.services[0].instance.data;
    let kind = InstanceKind::Service;
    site.services[0].sidecar = site.start_sidecar("orders-0", kind, 0, listen, service);
    site.wait_until("the new sidecar receives calls", async || {
        let body = r#"{"reference":"r2"}"#;
        let answer = site.place_order(1, &token, "key-2", body).await;
        answer.is_ok_and(|answer| answer.status == 201)
    })
    .await;
    for gateway in [1, 0, 1] {
        let answer = site
            .place_order(gateway, &token, "key-1", body)
            .await
            .unwrap();
        check_executions(&site, &answer).await;
    }
}

/// Checks that an answer agrees with the service's execution counts.
async fn check_executions(site: &Site, answer: &Answer) {
    // Waits for the service to finish the call.
    tokio::time::sleep(Duration::from_millis(SLOW_MS)).await;
    let seen = site.executions().await;
    let ran = seen[0]["by_reference"]["r1"].as_u64().unwrap_or(0);
    assert!(ran <= 1, "executed {ran} times: {}", answer.text());
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
    restart_sidecar_midway(json!({ "slow_ms": SLOW_MS }), |seen| seen["started"] == 1).await;
}

#[tokio::test]
async fn after_execution() {
    restart_sidecar_midway(json!({ "slow_answer_ms": SLOW_MS }), |seen| {
        seen["total"] == 1
    })
    .await;
}
