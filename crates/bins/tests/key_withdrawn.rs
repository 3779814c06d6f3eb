//! Withdrawn keys. Guards against a withdrawn key that keeps working on open connections.

mod common;

use std::time::{Duration, Instant};

use common::http::Http;
use common::site::Site;
use http::Method;
use http_body_util::BodyExt;

/// Maximum time until a withdrawal takes effect while the log is available.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::test]
async fn open_stream_ends() {
    let slow = r#"{"cost":{"step_us":50000.0}}"#;
    let site = Site::start_with(2, 1, 0, slow).await;
    let (key, token) = site.grant_everywhere("shop").await;
    let (_, other_token) = site.grant_everywhere("studio").await;
    let open = async |gateway: usize, token: &str| {
        let body = serde_json::json!({
            "model": "verse", "max_tokens": 2_000, "stream": true,
            "messages": [{ "role": "user", "content": "a long verse" }],
        });
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", &*bearer)];
        let path = "/v1/chat/completions";
        let addr = site.gateway(gateway);
        let res = Http::new()
            .open(Method::POST, addr, path, &headers, body.to_string())
            .await;
        let mut body = res.unwrap().into_body();
        body.frame().await.unwrap().unwrap();
        body
    };
    let mut streams = vec![open(0, &token).await, open(1, &token).await];
    let mut other = open(0, &other_token).await;
    let started = Instant::now();
    site.ctl_json(&["key", "withdraw", &key, "--wait", "0"]);
    for stream in &mut streams {
        let mut text = String::new();
        let rest = async {
            while let Some(frame) = stream.frame().await {
                text.push_str(&String::from_utf8_lossy(frame.unwrap().data_ref().unwrap()));
            }
        };
        let left = WITHDRAWAL_TIMEOUT.saturating_sub(started.elapsed());
        tokio::time::timeout(left, rest)
            .await
            .expect("the stream continued after its key was withdrawn");
        assert!(text.contains("key-withdrawn"), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
    }
    for gateway in 0..2 {
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", &*bearer)];
        let addr = site.gateway(gateway);
        let answer = site
            .http
            .call(Method::GET, addr, "/v1/models", &headers, "")
            .await
            .unwrap();
        assert_eq!(answer.status, 401, "{}", answer.text());
    }
    let next = tokio::time::timeout(WITHDRAWAL_TIMEOUT, other.frame()).await;
    next.expect("another key's stream stopped")
        .expect("another key's stream ended")
        .unwrap();
}
