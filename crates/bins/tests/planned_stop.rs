//! Stops by SIGTERM under load. Guards against requests that fail or are truncated by a planned
//! stop.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use common::http::{chat_text, events};
use common::site::Site;
use nutmegbay_fakes::engine::expected_text;

/// Number of concurrent callers. Each sends one request after the other.
const CALLERS: u32 = 12;

/// Tokens of each answer, about 0.25 s of decode, so that many requests are in flight at the stop.
const TOKENS: u32 = 60;

/// Number of requests before the stop, and again after it.
const REQUESTS: u32 = 60;

/// Sends streaming requests until `stop` is set. Uses the next of `gateways` when one refuses
/// connections, as the platform's load balancer does. Adds each complete answer to `done`, and
/// returns an error for the first failed or truncated one.
async fn call_until(
    site: Arc<Site>,
    token: String,
    caller: u32,
    gateways: Vec<usize>,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU32>,
) -> Result<(), String> {
    let mut number = 0;
    let mut at = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let prompt = format!("caller {caller} asks {number}");
        let gateway = gateways[at % gateways.len()];
        let answer = match site.chat(gateway, &token, &prompt, TOKENS, true).await {
            Err(e) if e.contains("Connect") && at + 1 < gateways.len() => {
                at += 1;
                continue;
            }
            other => other?,
        };
        if answer.status != 200 {
            return Err(format!("{prompt}: {} {}", answer.status, answer.text()));
        }
        let (events, is_done) = events(answer.text());
        let expected = expected_text("verse", &format!("user: {prompt}\n"), TOKENS);
        if !is_done || chat_text(&events).len() != expected.len() {
            return Err(format!("{prompt}: truncated answer: {}", answer.text()));
        }
        done.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// Runs callers, calls `stop_process` after [`REQUESTS`] answers and waits for as many again.
/// Panics if a request failed.
async fn under_load(
    site: Site,
    gateways: Vec<usize>,
    stop_process: impl AsyncFnOnce(&Site),
) -> Arc<Site> {
    let (_, token) = site.grant_everywhere("shop").await;
    let site = Arc::new(site);
    let (stop, done) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (site, token, gateways) = (site.clone(), token.clone(), gateways.clone());
            let call = call_until(site, token, caller, gateways, stop.clone(), done.clone());
            tokio::spawn(call)
        })
        .collect();
    let count = || done.load(Ordering::Relaxed);
    let is_failed = || callers.iter().any(tokio::task::JoinHandle::is_finished);
    site.wait_until("answers before the stop", async || {
        count() >= REQUESTS || is_failed()
    })
    .await;
    stop_process(&site).await;
    let before = count();
    site.wait_until("answers after the stop", async || {
        count() >= before + REQUESTS || is_failed()
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        if let Err(text) = caller.await.unwrap() {
            panic!("{text}\n{}", site.logs());
        }
    }
    site
}

#[tokio::test]
async fn sidecar_stop() {
    let site = Site::start(1, 3, 0).await;
    let site = under_load(site, vec![0], async |site| {
        site.engines[0].sidecar.signal("TERM");
    })
    .await;
    let mut site = Arc::into_inner(site).unwrap();
    assert!(
        site.engines[0].sidecar.wait().success(),
        "exit status of a planned stop"
    );
}

#[tokio::test]
async fn gateway_stop() {
    let site = Site::start(2, 2, 0).await;
    let site = under_load(site, vec![0, 1], async |site| {
        site.gateways[0].1.signal("TERM");
    })
    .await;
    let mut site = Arc::into_inner(site).unwrap();
    assert!(
        site.gateways[0].1.wait().success(),
        "exit status of a planned stop"
    );
}
