//! Gateways killed during a non-idempotent call. Guards against a call that is executed twice or
//! lost when its caller retries it at another gateway.

mod common;

use std::time::Duration;

use common::site::Site;
use serde_json::{Value, json};

/// Delay of a call at the service in milliseconds, before or after its execution.
const SLOW_MS: u64 = 1_500;

/// Orders in flight when the gateway is killed.
const ORDERS: usize = 20;

/// Maximum time until a retried call is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Kills gateway 0 once `is_midway` holds for the service's execution counts, retries the call at
/// gateway 1 and checks that it was executed once.
async fn kill_gateway_midway(faults: Value, is_midway: impl Fn(&Value) -> bool) {
    let site = Site::start(2, 0, 1).await;
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
        site.gateways[0].1.signal("KILL");
    };
    let (first, ()) = tokio::join!(first, kill);
    first.expect_err("the killed gateway answered");
    let second = retry_until_answered(&site, &token, "key-1", body).await;
    assert_eq!(second["executions"], 1, "{second}");
    let executions = site.executions().await;
    assert_eq!(executions[0]["total"], 1, "{executions:?}\n{}", site.logs());
}

/// Retries a call at gateway 1 until it succeeds. Panics after [`ANSWER_TIMEOUT`].
async fn retry_until_answered(site: &Site, token: &str, key: &str, body: &str) -> Value {
    let answered = async {
        loop {
            let answer = site.place_order(1, token, key, body).await;
            match answer {
                Ok(answer) if answer.status == 201 => return answer.json(),
                Ok(answer) => eprintln!("{key}: {}", answer.text()),
                Err(error) => eprintln!("{key}: {error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, answered).await;
    answered.unwrap_or_else(|_| panic!("order {key} was not answered\n{}", site.logs()))
}

#[tokio::test]
async fn before_execution() {
    kill_gateway_midway(json!({ "slow_ms": SLOW_MS }), |seen| seen["started"] == 1).await;
}

#[tokio::test]
async fn after_execution() {
    kill_gateway_midway(json!({ "slow_answer_ms": SLOW_MS }), |seen| {
        seen["total"] == 1
    })
    .await;
}

#[tokio::test]
async fn many_orders() {
    let site = Site::start(2, 0, 2).await;
    let (_, token) = site.grant_everywhere("shop").await;
    for service in &site.services {
        let faults = json!({ "slow_ms": 50 });
        site.http
            .put(service.backend.addr("addr"), "/faults", &faults)
            .await;
    }
    let orders = (0..ORDERS).map(|index| {
        let (site, token) = (&site, &token);
        async move {
            let key = format!("key-{index}");
            let body = json!({ "reference": key }).to_string();
            // Spreads the calls over the time before and after the kill.
            tokio::time::sleep(Duration::from_millis(10 * index as u64)).await;
            match site.place_order(0, token, &key, &body).await {
                Ok(answer) if answer.status == 201 => answer.json(),
                _ => retry_until_answered(site, token, &key, &body).await,
            }
        }
    });
    let kill = async {
        tokio::time::sleep(Duration::from_millis(5 * ORDERS as u64)).await;
        site.gateways[0].1.signal("KILL");
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(orders), kill);
    assert!(
        answers.iter().all(|answer| answer["executions"] == 1),
        "{answers:?}"
    );
    let totals = site.executions().await;
    let total: u64 = totals
        .iter()
        .filter_map(|seen| seen["total"].as_u64())
        .sum();
    assert_eq!(total, ORDERS as u64, "{totals:?}");
}
