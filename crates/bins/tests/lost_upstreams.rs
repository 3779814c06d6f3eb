//! Upstreams that fail while they stream an answer. Guards against answers that are truncated,
//! duplicated or never end.

mod common;

use std::time::Duration;

use common::http::{chat_text, events};
use common::site::Site;
use nutmegbay_fakes::engine::expected_text;
use serde_json::json;

/// Tokens of each answer, about 1.2 s of decode.
const TOKENS: u32 = 300;

/// Streams one answer, calls `inject_fault` while an engine runs it, and checks that the caller
/// gets the complete answer.
async fn assert_complete_despite(site: &Site, inject_fault: impl AsyncFnOnce(&Site, usize)) {
    let (_, token) = site.grant_everywhere("shop").await;
    let prompt = "a long verse";
    let call = site.chat(0, &token, prompt, TOKENS, true);
    let fault = async {
        let mut running = None;
        site.wait_until("an engine runs the request", async || {
            for (i, engine) in site.engines.iter().enumerate() {
                let load = site
                    .http
                    .get(engine.backend.addr("addr"), "/load")
                    .await
                    .json();
                if load["running"].as_u64() > Some(0) {
                    running = Some(i);
                }
            }
            running.is_some()
        })
        .await;
        inject_fault(site, running.unwrap()).await;
    };
    let (answer, ()) = tokio::join!(call, fault);
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200, "{}\n{}", answer.text(), site.logs());
    let (events, is_done) = events(answer.text());
    assert!(is_done, "{}\n{}", answer.text(), site.logs());
    let expected = expected_text("verse", &format!("user: {prompt}\n"), TOKENS);
    assert_eq!(chat_text(&events), expected);
    assert_eq!(events.last().unwrap()["usage"]["completion_tokens"], TOKENS);
}

/// Engine settings without lag in load reports, so that the test sees which engine runs the
/// request.
const ENGINE_CONFIG: &str = r#"{ "load_lag_ms": 0, "restart_ms": null }"#;

#[tokio::test]
async fn killed_sidecar() {
    let site = Site::start_with(1, 2, 0, ENGINE_CONFIG).await;
    assert_complete_despite(&site, async |site, i| {
        site.engines[i].sidecar.signal("KILL");
    })
    .await;
}

#[tokio::test]
async fn crashed_engine() {
    let site = Site::start_with(1, 2, 0, ENGINE_CONFIG).await;
    assert_complete_despite(&site, async |site, i| {
        let addr = site.engines[i].backend.addr("addr");
        site.http
            .put(addr, "/faults", &json!({ "crash": true }))
            .await;
    })
    .await;
}

#[tokio::test]
async fn paused_sidecar() {
    let site = Site::start_with(1, 2, 0, ENGINE_CONFIG).await;
    let started = tokio::time::Instant::now();
    assert_complete_despite(&site, async |site, i| {
        site.engines[i].sidecar.signal("STOP");
    })
    .await;
    assert!(
        started.elapsed() < Duration::from_secs(15),
        "the unresponsive connection delayed the answer"
    );
    for engine in &site.engines {
        engine.sidecar.signal("CONT");
    }
}

#[tokio::test]
async fn silent_engine() {
    let site = Site::start_with(1, 2, 0, ENGINE_CONFIG).await;
    assert_complete_despite(&site, async |site, i| {
        let addr = site.engines[i].backend.addr("addr");
        site.http
            .put(addr, "/faults", &json!({ "silence": true }))
            .await;
    })
    .await;
}

#[tokio::test]
async fn broken_frames() {
    let site = Site::start_with(1, 2, 0, ENGINE_CONFIG).await;
    let faults = [
        json!({ "wrong_id": 1 }),
        json!({ "duplicate": 1 }),
        json!({ "drop_end": 1 }),
        json!({ "crossed": 1 }),
    ];
    for fault in faults {
        assert_complete_despite(&site, async |site, i| {
            let addr = site.engines[i].backend.addr("addr");
            let answer = site.http.put(addr, "/faults", &fault).await;
            assert!(answer.status.is_success(), "{fault}: {}", answer.text());
        })
        .await;
    }
}
