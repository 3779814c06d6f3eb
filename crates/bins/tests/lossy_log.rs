//! Log whose answers get lost after appends took effect. Guards against blind repeats, which run a
//! call twice, and against losses taken for refusals, which lose a call.

mod common;

use std::time::Duration;

use common::site::Site;
use serde_json::json;

/// Orders, each sent to both gateways at once.
const ORDERS: usize = 30;

/// Share of the appends whose answer is lost.
const LOST: f64 = 0.3;

/// Longest time in which an order must be answered.
const ANSWER: Duration = Duration::from_secs(25);

#[tokio::test]
async fn executed_once() {
    let site = Site::start(2, 0, 2).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let faults = json!({ "rules": [
        { "interface": "append", "lose_share": LOST, "latency_ms": 20 },
    ] });
    site.http.put(site.platform(), "/faults", &faults).await;
    let orders = (0..2 * ORDERS).map(|index| {
        let (site, token) = (&site, &token);
        async move {
            let key = format!("key-{}", index / 2);
            let body = json!({ "reference": key }).to_string();
            loop {
                let answer = site.order(index % 2, token, &key, &body).await.unwrap();
                if answer.status == 201 {
                    return answer.json();
                }
                // Retries come at once; the pause only keeps the test from spinning.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    });
    let orders = tokio::time::timeout(ANSWER, futures::future::join_all(orders)).await;
    let orders = orders.unwrap_or_else(|_| panic!("an order was lost\n{}", site.logs()));
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
        "no answer was lost: {counts}"
    );
}
