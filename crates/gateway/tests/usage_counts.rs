//! Guards against answers that are billed twice, too early or not at all.

mod support;

use nutmegbay_core::record::{Body, Usage};
use nutmegbay_proto::platform::UsageReport;
use support::sidecar::Sidecar;
use support::{KEY, Site, base, until};

/// Usage of `account` by the last counts of each gateway life in the log.
fn logged(site: &Site, account: &str) -> Usage {
    let mut last = std::collections::BTreeMap::new();
    for record in site.platform.records() {
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

async fn serve(sidecar: &Sidecar, tokens: u32) {
    let mut running = sidecar.next().await;
    running.accept();
    for _ in 0..tokens {
        running.token("x").await;
    }
    running.end().await;
}

#[tokio::test]
async fn flushed_at_stop() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let ((), answer) = tokio::join!(serve(&sidecar, 3), caller.chat(KEY, "one"));
    assert_eq!(answer.status, 200);
    let ((), mut events) = tokio::join!(serve(&sidecar, 2), caller.stream(KEY, "two"));
    events.rest().await;
    // A caller who leaves before the end is not billed.
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
    running.closed().await;
    let platform = site.platform.clone();
    site.stop().await;
    let site = Site::start_with(platform, "gw2").await;
    let usage = Usage {
        calls: 2,
        prompt_tokens: 14,
        completion_tokens: 5,
    };
    assert_eq!(logged(&site, "acme"), usage);
    assert_eq!(logged(&site, "other"), Usage::default());
}

#[tokio::test]
async fn shared_run() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
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
    let platform = site.platform.clone();
    site.stop().await;
    let site = Site::start_with(platform, "gw2").await;
    assert_eq!(logged(&site, "acme").calls, 1);
}

#[tokio::test]
async fn lost_answers() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    site.platform.set_loses_answers(true);
    let caller = site.caller();
    let ((), answer) = tokio::join!(serve(&sidecar, 3), caller.chat(KEY, "one"));
    assert_eq!(answer.status, 200);
    let platform = site.platform.clone();
    site.stop().await;
    let site = Site::start_with(platform, "gw2").await;
    assert_eq!(logged(&site, "acme").completion_tokens, 3);
}

#[tokio::test]
async fn reported_windows() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let mut short = base();
    short["usage"] = serde_json::json!({ "window_s": 1, "grace_s": 1 });
    site.platform.publish_base(&short);
    let other = Site::start_with(site.platform.clone(), "gw2").await;
    other.until_ready().await;
    for caller in [site.caller(), other.caller(), site.caller()] {
        let ((), answer) = tokio::join!(serve(&sidecar, 3), caller.chat(KEY, "one"));
        assert_eq!(answer.status, 200);
    }
    let reported = || -> u64 {
        let reports = site.platform.reports();
        let usage = |u: Option<&Usage>| u.map_or(0, |u| u.calls);
        let calls = |r: &UsageReport| usage(r.accounts.get("acme")) + usage(r.late.get("acme"));
        reports.iter().map(calls).sum()
    };
    until(async || reported() >= 3).await;
    assert_eq!(reported(), 3);
    let mut windows: Vec<_> = site.platform.reports().iter().map(|r| r.window).collect();
    let count = windows.len();
    windows.sort_unstable();
    windows.dedup();
    assert_eq!(windows.len(), count, "a window was reported twice");
}
