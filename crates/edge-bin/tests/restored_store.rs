//! Guards against edges that act on what the store has lost when it was restored from a copy.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::relayed::RelayedSite;
use common::store::UsageReport;
use common::{Edge, Site, config};
use futures::future::join_all;
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

/// Time after an outage of the store from which the operator's bounds hold again.
const CONTACT: Duration = Duration::from_secs(3);

/// The operator's bound for a configuration change and for a leaving upstream.
const BOUND: Duration = Duration::from_secs(2);

/// Settings with a short term for the duties.
const SHORT_TERM: &str = "bounds.lease-ms=1000\n";

const CONFIG_VERSION: &str = "nutmegbay_config_version ";

/// Publishes versions of the configuration up to `last` and waits until all edges have it.
async fn publish_versions(site: &Site, edges: &[&Edge], last: u64) {
    for version in 2..=last {
        let config = config(version, &["k1"]);
        site.store.put("keyed.op", "config", &config);
    }
    site.wait_until("the last version is in force", async || {
        let versions = edges.iter().map(|edge| edge.metric(CONFIG_VERSION));
        let versions = join_all(versions).await;
        versions.iter().all(|version| *version == last)
    })
    .await;
}

/// Edges that follow a relay ask it for changes after the offset that they know, which is higher
/// than the offsets of the new records.
#[tokio::test(flavor = "multi_thread")]
async fn later_changes() {
    let relayed = RelayedSite::start(1).await;
    let copy = relayed.site.store.copy();
    let edges: Vec<_> = relayed.edges.iter().map(|(edge, _)| edge).collect();
    publish_versions(&relayed.site, &edges, 8).await;
    relayed.site.store.restore(&copy);
    let rewritten = config(8, &["k1"]);
    relayed.site.store.put("keyed.op", "config", &rewritten);
    sleep(CONTACT).await;
    let all: Vec<_> = (0..edges.len()).collect();
    relayed.assert_grant_in_time(9, &all).await;
    relayed.assert_grant_in_time(10, &all).await;
}

/// New records have taken the offsets that an edge has already read.
#[tokio::test(flavor = "multi_thread")]
async fn reused_offsets() {
    let site = Site::start(20, 1).await;
    let copy = site.store.copy();
    publish_versions(&site, &[site.edge()], 4).await;
    site.store.restore(&copy);
    site.store.put("keyed.op", "config", &config(4, &["k1"]));
    site.store
        .put("keyed.op", "config", &config(5, &["k1", "k5"]));
    for n in 0..4 {
        site.store.put("keyed.op", "other", &Value::from(n));
    }
    let granted = site.wait_until("the key is granted", async || {
        let with_key = [("X-Api-Key", "k5")];
        site.call("GET", "/any/1", &with_key).await.status == 200
    });
    assert!(
        timeout(CONTACT + BOUND, granted).await.is_ok(),
        "the change is not in force in time"
    );
}

/// The copy is older than the configuration in force, which must not go back.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key() {
    let site = Site::start(21, 1).await;
    let copy = site.store.copy();
    site.store.put("keyed.op", "config", &config(2, &["k2"]));
    let with_key = [("X-Api-Key", "k2")];
    site.wait_until("the new key is accepted", async || {
        site.call("GET", "/any/1", &with_key).await.status == 200
    })
    .await;
    site.store.restore(&copy);
    for _ in 0..20 {
        assert_eq!(site.call("GET", "/any/1", &[]).await.status, 401);
        assert_eq!(site.call("GET", "/any/1", &with_key).await.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
}

/// An upstream was leaving, or gone, when the store was restored to a copy in which it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn left_upstreams() {
    let site = Site::start(22, 3).await;
    for n in 0..3 {
        site.list_heartbeat(n, "ready", 5);
    }
    let copy = site.store.copy();
    sleep(BOUND).await;
    assert_eq!(used_upstreams(&site).await, [0, 1, 2]);
    site.list_heartbeat(0, "draining", 9);
    site.store.remove("keyed.servers", "i-1");
    sleep(BOUND).await;
    assert_eq!(used_upstreams(&site).await, [2]);
    site.store.restore(&copy);
    assert_eq!(
        used_upstreams(&site).await,
        [2],
        "a leaving upstream is used"
    );
    // An upstream that still runs writes its entry again.
    site.list_heartbeat(1, "ready", 10);
    sleep(BOUND).await;
    assert_eq!(used_upstreams(&site).await, [1, 2]);
}

/// Returns the upstreams that get requests within [`CONTACT`].
async fn used_upstreams(site: &Site) -> Vec<usize> {
    for worker in &site.workers {
        worker.clear_requests();
    }
    let end = Instant::now() + CONTACT;
    while Instant::now() < end {
        // Requests at the same time are spread over the upstreams.
        let calls = (0..9).map(|_| site.call("GET", "/any/1", &[]));
        for response in join_all(calls).await {
            assert_eq!(response.status, 200);
        }
        sleep(Duration::from_millis(100)).await;
    }
    let workers = site.workers.iter().enumerate();
    let used = workers.filter(|(_, worker)| !worker.requests().is_empty());
    used.map(|(n, _)| n).collect()
}

/// A holder and the next one report usage, and both end. The register is restored to the state
/// before the next one claimed the duties.
#[tokio::test(flavor = "multi_thread")]
async fn lost_holders() {
    let mut site = Site::start(23, 2).await;
    site.edge_mut().restart_with(SHORT_TERM);
    wait_for_report(&site, 0, "front-1").await;
    let mut next = site.launch_edge(24, site.store_address());
    next.restart_with(SHORT_TERM);
    let copy = site.store.copy();
    site.signal("KILL");
    serve_until_reported(&site, &next, "front-24").await;
    next.signal("KILL");
    let before = site.store.reports().len();
    site.store.restore(&copy);
    site.edge_mut().restart();
    wait_for_report(&site, before, "front-1").await;
    sleep(BOUND).await;
    check_reports(&site.store.reports());
}

/// The holder keeps running while the store is restored.
#[tokio::test(flavor = "multi_thread")]
async fn lasting_holder() {
    let mut site = Site::start(25, 2).await;
    site.edge_mut().restart_with(SHORT_TERM);
    wait_for_report(&site, 0, "front-1").await;
    let copy = site.store.copy();
    for _ in 0..2 {
        serve_until_reported(&site, site.edge(), "front-1").await;
        let before = site.store.reports();
        site.store.restore(&copy);
        serve_until_reported(&site, site.edge(), "front-1").await;
        let after = site.store.reports();
        check_reports(&after);
        let newest = before.iter().map(|report| report.window).max().unwrap();
        let windows: Vec<_> = after.iter().map(|report| report.window).collect();
        assert!(
            windows.contains(&(newest + 1)),
            "the window after the restore is missing: {newest}, {windows:?}"
        );
    }
}

/// Waits for a report of `holder` after the first `before` ones.
async fn wait_for_report(site: &Site, before: usize, holder: &str) {
    site.wait_until("a holder reports", async || {
        let reports = site.store.reports();
        reports.iter().skip(before).any(|r| r.holder == holder)
    })
    .await;
}

/// Sends requests to `edge` until `holder` has reported three more windows with some of them.
async fn serve_until_reported(site: &Site, edge: &Edge, holder: &str) {
    let before = site.store.reports().len();
    site.wait_until("requests are reported", async || {
        edge.call("GET", "/any/1", &[]).await;
        let reports = site.store.reports();
        let counted = |r: &&UsageReport| {
            r.holder == holder && r.counts["acme"].as_u64().is_some_and(|n| n > 0)
        };
        reports.iter().skip(before).filter(counted).count() >= 3
    })
    .await;
}

/// Checks that no two holders use one fencing number, and that all reports of a window are equal.
fn check_reports(reports: &[UsageReport]) {
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut windows: HashMap<u64, &Value> = HashMap::new();
    for report in reports {
        let UsageReport {
            holder,
            fencing,
            window,
            counts,
        } = report;
        let first = holders.entry(*fencing).or_insert(holder);
        assert_eq!(
            first, holder,
            "two holders use fencing number {fencing}: {reports:#?}"
        );
        let first = windows.entry(*window).or_insert(counts);
        assert_eq!(
            first, &counts,
            "window {window} has two different reports: {reports:#?}"
        );
    }
}
