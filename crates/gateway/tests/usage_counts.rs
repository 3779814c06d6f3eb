//! Guards against answers that are billed twice, before they are complete, or not at all.

mod support;

use nutmegbay_core::record::{Body, Usage};
use nutmegbay_proto::platform::UsageReport;
use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway, base, wait_until};

/// Returns the usage of `account` in the log, from the last counts of each gateway incarnation.
fn logged_usage(gateway: &TestGateway, account: &str) -> Usage {
    let mut last = std::collections::BTreeMap::new();
    for record in gateway.platform.records() {
        if let Body::UsageCounts(counts) = record.body {
            for (window, accounts) in counts.windows {
                if let Some(usage) = accounts.get(account) {
                    last.insert((counts.gateway, window), *usage);
                }
            }
        }
    }
    last.into_values()
        .fold(Usage::default(), Usage::saturating_add)
}

async fn serve(sidecar: &ScriptedSidecar, tokens: u32) {
    let mut running = sidecar.next().await;
    running.accept();
    for _ in 0..tokens {
        running.token("x").await;
    }
    running.end().await;
}

#[tokio::test]
async fn flushed_at_stop() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let ((), answer) = tokio::join!(serve(&sidecar, 3), caller.chat(KEY, "one"));
    assert_eq!(answer.status, 200);
    let ((), mut events) = tokio::join!(serve(&sidecar, 2), caller.stream(KEY, "two"));
    events.rest().await;
    // A caller that disconnects before the end is not billed.
    let (running, events) = tokio::join!(
        async {
            let mut running = sidecar.next().await;
            running.accept();
            running.token("x").await;
            running
        },
        caller.stream(KEY, "three")
    );
    drop(events);
    running.wait_until_closed().await;
    let platform = gateway.platform.clone();
    gateway.stop().await;
    let gateway = TestGateway::start_with(platform, "gw2").await;
    let usage = Usage {
        calls: 2,
        prompt_tokens: 14,
        completion_tokens: 5,
    };
    assert_eq!(logged_usage(&gateway, "acme"), usage);
    assert_eq!(logged_usage(&gateway, "other"), Usage::default());
}

#[tokio::test]
async fn shared_run() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (mut running, mut first) = tokio::join!(
        async {
            let mut running = sidecar.next().await;
            running.accept();
            running.token("x").await;
            running
        },
        caller.stream(KEY, "one")
    );
    let mut second = caller.stream(KEY, "one").await;
    running.token("x").await;
    running.end().await;
    first.rest().await;
    second.rest().await;
    let platform = gateway.platform.clone();
    gateway.stop().await;
    let gateway = TestGateway::start_with(platform, "gw2").await;
    assert_eq!(logged_usage(&gateway, "acme").calls, 1);
}

#[tokio::test]
async fn lost_answers() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    gateway.platform.set_loses_answers(true);
    let caller = gateway.caller();
    let ((), answer) = tokio::join!(serve(&sidecar, 3), caller.chat(KEY, "one"));
    assert_eq!(answer.status, 200);
    let platform = gateway.platform.clone();
    gateway.stop().await;
    let gateway = TestGateway::start_with(platform, "gw2").await;
    assert_eq!(logged_usage(&gateway, "acme").completion_tokens, 3);
}

#[tokio::test]
async fn reported_windows() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let mut short = base();
    short["usage"] = serde_json::json!({ "window_s": 1, "grace_s": 1 });
    gateway.platform.publish_base(&short);
    let other = TestGateway::start_with(gateway.platform.clone(), "gw2").await;
    other.wait_until_ready().await;
    for caller in [gateway.caller(), other.caller(), gateway.caller()] {
        let ((), answer) = tokio::join!(serve(&sidecar, 3), caller.chat(KEY, "one"));
        assert_eq!(answer.status, 200);
    }
    let reported = || -> u64 {
        let reports = gateway.platform.reports();
        let usage = |u: Option<&Usage>| u.map_or(0, |u| u.calls);
        let calls = |r: &UsageReport| usage(r.accounts.get("acme")) + usage(r.late.get("acme"));
        reports.iter().map(calls).sum()
    };
    wait_until(async || reported() >= 3).await;
    assert_eq!(reported(), 3);
    let mut windows: Vec<_> = gateway
        .platform
        .reports()
        .iter()
        .map(|r| r.window)
        .collect();
    let count = windows.len();
    windows.sort_unstable();
    windows.dedup();
    assert_eq!(windows.len(), count, "a window was reported twice");
}
