//! Non-idempotent calls under faults of the log, the sidecar and the callers, alone and in pairs.
//! Guards against calls that are executed twice, are lost, or get a wrong verdict.

mod common;

use common::http::Answer;
use common::site::Site;
use futures::future::join_all;
use serde_json::{Value, json};

/// Returns the body of an order with `reference`.
fn order_body(reference: &str) -> String {
    json!({ "reference": reference }).to_string()
}

/// Returns how often the services executed the order with `reference`.
async fn execution_count(site: &Site, reference: &str) -> u64 {
    let all = site.executions().await;
    all.iter()
        .map(|e| e["by_reference"][reference].as_u64().unwrap_or(0))
        .sum()
}

/// Retries an order at alternating gateways until it succeeds or may have run, as callers do.
async fn retry_until_answered(site: &Site, token: &str, key: &str, body: &str) -> Answer {
    let mut answer = None;
    let mut gateway = 0;
    site.wait_until("the order is answered", async || {
        gateway = (gateway + 1) % site.gateways.len();
        answer = site.place_order(gateway, token, key, body).await.ok();
        answer
            .as_ref()
            .is_some_and(|a| a.status == 201 || verdict(a) == "may_have_run")
    })
    .await;
    answer.unwrap()
}

fn verdict(answer: &Answer) -> String {
    let json: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    json["verdict"].as_str().unwrap_or("none").to_owned()
}

async fn set_fault_rules(site: &Site, rules: Value) {
    let answer = site
        .http
        .put(site.platform(), "/faults", &json!({ "rules": rules }))
        .await;
    assert!(answer.status.is_success(), "{}", answer.text());
}

#[tokio::test]
async fn impatient_callers() {
    let site = Site::start(2, 0, 2).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let body = order_body("r1");
    let calls = (0..24).map(|i| site.place_order(i % 2, &token, "k1", &body));
    let answers = join_all(calls).await;
    let texts: Vec<_> = answers
        .iter()
        .map(|a| a.as_ref().unwrap().text().to_owned())
        .collect();
    assert!(
        answers.iter().all(|a| a.as_ref().unwrap().status == 201),
        "{texts:?}"
    );
    assert!(
        texts.iter().all(|text| *text == texts[0]),
        "the callers got different answers"
    );
    assert_eq!(execution_count(&site, "r1").await, 1);
}

#[tokio::test]
async fn lost_appends() {
    let site = Site::start(2, 0, 2).await;
    let (_, token) = site.grant_everywhere("shop").await;
    set_fault_rules(&site, json!([{ "interface": "append", "lose_share": 0.5 }])).await;
    for i in 0..10 {
        let (key, reference) = (format!("k{i}"), format!("r{i}"));
        let answer = retry_until_answered(&site, &token, &key, &order_body(&reference)).await;
        assert_eq!(answer.status, 201, "{}\n{}", answer.text(), site.logs());
        assert_eq!(execution_count(&site, &reference).await, 1);
    }
}

#[tokio::test]
async fn log_outage() {
    let site = Site::start(1, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let known = site
        .place_order(0, &token, "k0", &order_body("r0"))
        .await
        .unwrap();
    assert_eq!(known.status, 201, "{}", known.text());
    set_fault_rules(&site, json!([{ "interface": "log", "refuse": true }])).await;

    let repeated = site
        .place_order(0, &token, "k0", &order_body("r0"))
        .await
        .unwrap();
    assert_eq!(
        (repeated.status, repeated.text()),
        (known.status, known.text())
    );
    let refused = site
        .place_order(0, &token, "k1", &order_body("r1"))
        .await
        .unwrap();
    assert_eq!(verdict(&refused), "not_run", "{}", refused.text());
    assert_eq!(execution_count(&site, "r1").await, 0);

    set_fault_rules(&site, json!([])).await;
    let answer = retry_until_answered(&site, &token, "k1", &order_body("r1")).await;
    assert_eq!(answer.status, 201, "{}", answer.text());
    assert_eq!(
        (
            execution_count(&site, "r0").await,
            execution_count(&site, "r1").await
        ),
        (1, 1)
    );
}

#[tokio::test]
async fn killed_sidecar() {
    let site = Site::start(2, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let service = site.services[0].backend.addr("addr");
    site.http
        .put(service, "/faults", &json!({ "slow_answer_ms": 3000 }))
        .await;
    let body = order_body("r1");
    let call = site.place_order(0, &token, "k1", &body);
    let kill = async {
        site.wait_until("the order is executed", async || {
            execution_count(&site, "r1").await == 1
        })
        .await;
        site.services[0].sidecar.signal("KILL");
    };
    let (answer, ()) = tokio::join!(call, kill);
    let answer = answer.unwrap();
    assert_eq!(verdict(&answer), "may_have_run", "{}", answer.text());

    // A new sidecar at the same address has no record of the order and must not execute it again.
    let (instance, backend) = (&site.services[0].instance, service);
    let _sidecar = site.start_sidecar("orders-0", instance.kind, 0, instance.data, backend);
    site.http.put(service, "/faults", &json!({})).await;
    let again = retry_until_answered(&site, &token, "k1", &body).await;
    assert_eq!(verdict(&again), "may_have_run", "{}", again.text());
    assert_eq!(execution_count(&site, "r1").await, 1);
}

#[tokio::test]
async fn dropped_connection() {
    let site = Site::start(2, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let service = site.services[0].backend.addr("addr");
    for (key, fault, count) in [("k1", "drop_after", 1), ("k2", "drop_before", 0)] {
        site.http
            .put(service, "/faults", &json!({ fault: 1 }))
            .await;
        let first = site
            .place_order(0, &token, key, &order_body(key))
            .await
            .unwrap();
        assert_eq!(verdict(&first), "may_have_run", "{}", first.text());
        let again = site
            .place_order(1, &token, key, &order_body(key))
            .await
            .unwrap();
        assert_eq!(verdict(&again), "may_have_run", "{}", again.text());
        assert_eq!(execution_count(&site, key).await, count, "{fault}");
    }
}

#[tokio::test]
async fn paused_gateway_outage() {
    let site = Site::start(2, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let service = site.services[0].backend.addr("addr");
    site.http
        .put(service, "/faults", &json!({ "slow_ms": 300 }))
        .await;
    let body = order_body("r1");
    let paused = async {
        let first = site.place_order(0, &token, "k1", &body);
        let stop = async {
            site.gateways[0].1.signal("STOP");
            set_fault_rules(&site, json!([{ "interface": "append", "lose_share": 0.5 }])).await;
            let answer = retry_at_gateway(&site, 1, &token, &body).await;
            site.gateways[0].1.signal("CONT");
            answer
        };
        tokio::join!(first, stop)
    };
    let (first, second) = paused.await;
    assert!(
        execution_count(&site, "r1").await <= 1,
        "{first:?} {second:?}"
    );
    set_fault_rules(&site, json!([])).await;
    let last = retry_until_answered(&site, &token, "k1", &body).await;
    assert_eq!(execution_count(&site, "r1").await, 1, "{}", last.text());
}

/// Retries an order at one gateway until its verdict is not `not_run`.
async fn retry_at_gateway(site: &Site, gateway: usize, token: &str, body: &str) -> Answer {
    let mut answer = None;
    site.wait_until("the order is answered", async || {
        answer = site.place_order(gateway, token, "k1", body).await.ok();
        answer.as_ref().is_some_and(|a| verdict(a) != "not_run")
    })
    .await;
    answer.unwrap()
}

#[tokio::test]
async fn reused_key() {
    let site = Site::start(2, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let (_, other) = site.grant_everywhere("studio").await;
    assert_eq!(
        site.place_order(0, &token, "k1", &order_body("r1"))
            .await
            .unwrap()
            .status,
        201
    );
    let reused = site
        .place_order(1, &token, "k1", &order_body("r2"))
        .await
        .unwrap();
    assert_eq!(
        (reused.status.as_u16(), &*verdict(&reused)),
        (422, "not_run")
    );
    let mine = site
        .place_order(1, &other, "k1", &order_body("r3"))
        .await
        .unwrap();
    assert_eq!(
        mine.status, 201,
        "idempotency keys of different accounts were confused"
    );
    assert_eq!(execution_count(&site, "r2").await, 0);
}

#[tokio::test]
async fn second_sidecar() {
    let site = Site::start(1, 0, 1).await;
    let (instance, service) = (&site.services[0].instance, &site.services[0]);
    let second = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let addr = service.backend.addr("addr");
        site.start_sidecar("orders-0", instance.kind, 0, instance.data, addr)
    }));
    assert!(
        second.is_err(),
        "a second sidecar started for the same instance"
    );
}
