//! Gateways that cannot reach the platform's log. Guards against a gateway that keeps accepting
//! withdrawn keys, and against one that refuses all requests in an outage or executes a call that
//! it cannot record.

mod common;

use std::time::{Duration, Instant};

use common::http::Answer;
use common::site::{BASE, Site};
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};

/// Maximum time until a withdrawal takes effect at a gateway that cannot reach the log.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a gateway that cannot verify that it is up to date certainly refuses requests.
const OUTAGE_DURATION: Duration = Duration::from_secs(5);

/// Returns faults that leave log requests of `client`, or of all clients, without a response.
fn unresponsive_log(client: Option<&str>) -> Value {
    json!({ "rules": [{ "interface": "log", "client": client, "outage": "hang" }] })
}

async fn set_faults(site: &Site, faults: &Value) {
    let answer = site.http.put(site.platform(), "/faults", faults).await;
    assert!(answer.status.is_success(), "{}", answer.text());
}

async fn models(site: &Site, gateway: usize, token: &str) -> Answer {
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer)];
    let addr = site.gateway(gateway);
    site.http
        .call(Method::GET, addr, "/v1/models", &headers, "")
        .await
        .unwrap()
}

#[tokio::test]
async fn withdrawn_key() {
    let site = Site::start_with(2, 1, 0, r#"{"cost":{"step_us":50000.0}}"#).await;
    let (key, token) = site.grant_everywhere("shop").await;
    set_faults(&site, &unresponsive_log(Some("gateway-0"))).await;
    let body = json!({
        "model": "verse", "max_tokens": 2_000, "stream": true,
        "messages": [{ "role": "user", "content": "a long verse" }],
    });
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer)];
    let path = "/v1/chat/completions";
    let addr = site.gateway(0);
    let res = site
        .http
        .open(Method::POST, addr, path, &headers, body.to_string())
        .await
        .unwrap();
    let mut stream = res.into_body();
    stream.frame().await.unwrap().unwrap();
    let started = Instant::now();
    site.ctl_json(&["key", "withdraw", &key, "--wait", "0"]);
    let rest = async { while stream.frame().await.is_some_and(|frame| frame.is_ok()) {} };
    let left = WITHDRAWAL_TIMEOUT.saturating_sub(started.elapsed());
    let ended = tokio::time::timeout(left, rest).await;
    assert!(
        ended.is_ok(),
        "the stream continued after its key was withdrawn\n{}",
        site.logs()
    );
    let answer = models(&site, 0, &token).await;
    assert_ne!(answer.status, 200, "{}", answer.text());
}

#[tokio::test]
async fn isolated_gateway() {
    let site = Site::start(2, 1, 0).await;
    let (_, token) = site.grant_everywhere("shop").await;
    // Without its peer the gateway cannot distinguish an outage of the log from its own isolation.
    site.gateways[1].1.signal("STOP");
    set_faults(&site, &unresponsive_log(Some("gateway-0"))).await;
    let refused = async {
        loop {
            let answer = models(&site, 0, &token).await;
            if answer.status != 200 {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let refused = tokio::time::timeout(WITHDRAWAL_TIMEOUT, refused).await;
    let refused = refused.expect("an isolated gateway keeps accepting keys");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.json()["verdict"], "not_run", "{}", refused.text());
    set_faults(&site, &json!({ "rules": [] })).await;
    site.gateways[1].1.signal("CONT");
    site.wait_until("the gateway accepts keys again", async || {
        models(&site, 0, &token).await.status == 200
    })
    .await;
}

/// Checks the service during and after an outage of the log for all gateways. A call with a new
/// idempotency key may be refused with either verdict, since the gateway may not know whether the
/// key was used elsewhere. If the verdict is `not_run`, the call must never be executed.
async fn check_outage(faults: Value) {
    let site = Site::start(2, 1, 1).await;
    site.publish_base(&BASE.replace(r#""timeout_ms": 10000"#, r#""timeout_ms": 2000"#));
    let (_, token) = site.grant_everywhere("shop").await;
    let (known, new) = (r#"{"reference":"known"}"#, r#"{"reference":"new"}"#);
    assert_eq!(
        site.place_order(0, &token, "known", known)
            .await
            .unwrap()
            .status,
        201
    );
    set_faults(&site, &faults).await;
    let refused = site.place_order(0, &token, "new", new).await.unwrap();
    assert!(refused.status.is_server_error(), "{}", refused.text());
    let verdict = refused.json()["verdict"].as_str().unwrap().to_owned();
    tokio::time::sleep(OUTAGE_DURATION).await;
    for gateway in 0..2 {
        let answer = site
            .chat(gateway, &token, "a verse", 5, false)
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}\n{}", answer.text(), site.logs());
        let joined = site
            .place_order(gateway, &token, "known", known)
            .await
            .unwrap();
        assert_eq!(joined.status, 201, "{}\n{}", joined.text(), site.logs());
    }
    set_faults(&site, &json!({ "rules": [] })).await;
    // Longer than the timeout of the call and than the interval at which gateways retry the log.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let ran = site.executions().await[0]["by_reference"]["new"]
        .as_u64()
        .unwrap_or(0);
    let max_executions = u64::from(verdict != "not_run");
    assert!(
        ran <= max_executions,
        "verdict {verdict}, but executed {ran} times\n{}",
        site.logs()
    );
    site.wait_until("orders are accepted again", async || {
        let answer = site.place_order(1, &token, "new", new).await;
        answer.is_ok_and(|answer| answer.status == 201)
    })
    .await;
    let executions = site.executions().await;
    assert_eq!(
        executions[0]["by_reference"],
        json!({ "known": 1, "new": 1 })
    );
}

#[tokio::test]
async fn refusing_log() {
    check_outage(json!({ "rules": [{ "interface": "log", "refuse": true }] })).await;
}

#[tokio::test]
async fn silent_log() {
    check_outage(unresponsive_log(None)).await;
}
