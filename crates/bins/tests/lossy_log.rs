//! Log that loses responses to appends which took effect. Guards against retries without a check,
//! which execute a call twice, and against treating a lost response as a refusal, which loses a
//! call.

mod common;

use std::time::Duration;

use common::site::Site;
use serde_json::json;

/// Number of orders. Each is sent to both gateways concurrently.
const ORDERS: usize = 30;

/// Fraction of the appends whose response is lost.
const LOST_RESPONSE_FRACTION: f64 = 0.3;

/// Maximum time until all orders are answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(25);

#[tokio::test]
async fn executed_once() {
    let site = Site::start(2, 0, 2).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let faults = json!({ "rules": [
        { "interface": "append", "lose_share": LOST_RESPONSE_FRACTION, "latency_ms": 20 },
    ] });
    site.http.put(site.platform(), "/faults", &faults).await;
    let orders = (0..2 * ORDERS).map(|index| {
        let (site, token) = (&site, &token);
        async move {
            let key = format!("key-{}", index / 2);
            let body = json!({ "reference": key }).to_string();
            loop {
                let answer = site
                    .place_order(index % 2, token, &key, &body)
                    .await
                    .unwrap();
                if answer.status == 201 {
                    return answer.json();
                }
                // The pause only prevents a busy loop; the test retries as fast as possible.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    });
    let orders = tokio::time::timeout(ANSWER_TIMEOUT, futures::future::join_all(orders)).await;
    let orders = orders.unwrap_or_else(|_| panic!("an order was not answered\n{}", site.logs()));
    assert!(
        orders.iter().all(|answer| answer["executions"] == 1),
        "{orders:?}"
    );
    let totals = site.executions().await;
    let total: u64 = totals
        .iter()
        .filter_map(|seen| seen["total"].as_u64())
        .sum();
    assert_eq!(total, ORDERS as u64, "{totals:?}");
    let counts = site.http.get(site.platform(), "/counts").await.json();
    assert!(
        counts["lost_answers"].as_u64() > Some(0),
        "no response was lost: {counts}"
    );
}
