//! End-to-end requests through separate processes. Guards against components that work only in
//! isolation.

mod common;

use std::time::Duration;

use common::http::{chat_text, events};
use common::site::{BASE, Site};
use http::Method;
use nutmegbay_fakes::engine::expected_text;

#[tokio::test]
async fn streamed_chat() {
    let site = Site::start(1, 1, 0).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let answer = site
        .chat(0, &token, "a verse about thyme", 40, true)
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let (events, is_done) = events(answer.text());
    assert!(is_done, "the stream has no end marker");
    let usage = &events.last().unwrap()["usage"];
    assert_eq!(usage["completion_tokens"], 40);
    let whole = site
        .chat(0, &token, "a verse about thyme", 40, false)
        .await
        .unwrap()
        .json();
    assert_eq!(
        whole["choices"][0]["message"]["content"],
        chat_text(&events)
    );
}

#[tokio::test]
async fn status_call() {
    let site = Site::start(1, 0, 1).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer), ("x-trace", "7")];
    let service = site.services[0].backend.addr("addr");
    let placed = [("x-reference", "r1")];
    site.http
        .call(Method::POST, service, "/status", &placed, "")
        .await
        .unwrap();
    let path = "/status/r1?echo=headers";
    let answer = site
        .http
        .call(Method::GET, site.gateway(0), path, &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.text().contains("x-trace"), "{}", answer.text());
    assert!(
        !answer.text().contains(&token),
        "the service received the caller's key"
    );
}

#[tokio::test]
async fn order_call() {
    let site = Site::start(2, 0, 2).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let body = r#"{"reference":"r1","cards":12}"#;
    let first = site.place_order(0, &token, "key-1", body).await.unwrap();
    assert_eq!(first.status, 201, "{}", first.text());
    let second = site.place_order(1, &token, "key-1", body).await.unwrap();
    assert_eq!((second.status, second.text()), (first.status, first.text()));
    let totals = site.executions().await;
    let total: u64 = totals
        .iter()
        .filter_map(|seen| seen["total"].as_u64())
        .sum();
    assert_eq!(total, 1, "{totals:?}");
}

#[tokio::test]
async fn published_setting_applied() {
    let site = Site::start(1, 1, 0).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer)];
    site.publish_base(&BASE.replace("\"verse\"", "\"sonnet\""));
    tokio::time::timeout(Duration::from_secs(4), async {
        site.wait_until("the new model is listed", async || {
            let models = site
                .http
                .call(Method::GET, site.gateway(0), "/v1/models", &headers, "")
                .await;
            models.is_ok_and(|a| a.text().contains("sonnet"))
        })
        .await;
    })
    .await
    .expect("the published setting was not applied within 4 s");
}

#[tokio::test]
async fn expected_tokens() {
    let site = Site::start(1, 2, 0).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let body = serde_json::json!({ "model": "verse", "prompt": "thyme", "max_tokens": 12 });
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer)];
    let addr = site.gateway(0);
    let answer = site
        .http
        .call(
            Method::POST,
            addr,
            "/v1/completions",
            &headers,
            body.to_string(),
        )
        .await
        .unwrap();
    let text = answer.json()["choices"][0]["text"]
        .as_str()
        .unwrap()
        .to_owned();
    assert_eq!(text, expected_text("verse", "thyme", 12));
}
