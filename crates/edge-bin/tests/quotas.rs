//! Guards against an account whose requests at several edges add up to more than its quota, and
//! against requests within it that are refused.

mod common;

use std::time::Duration;

use common::{Edge, Site, config};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Quota of the account, in requests per second, and its burst.
const PER_S: usize = 20;
const BURST: usize = 20;

/// Window of the operator's rule, and what it tolerates in addition.
const WINDOW: Duration = Duration::from_secs(3);
const SETTINGS: &str = "bounds.quota-window-s=3\nbounds.quota-excess=0.1\nbounds.quota-slack=8\n";

/// Requests of `per_s` that are allowed in [`WINDOW`].
const fn max_in_window(per_s: usize, burst: usize) -> usize {
    (3 * per_s + burst) * 11 / 10 + 8
}

/// Time until owners grant tokens after a start: they hear of each other, and gain.
const START_TIME: Duration = Duration::from_secs(4);

/// Publishes a configuration with a quota.
fn publish(site: &Site, version: u64, per_s: usize, burst: usize) {
    let mut config = config(version, &["k1"]);
    config["tenants"][0]["per-s"] = json!(per_s);
    config["tenants"][0]["burst"] = json!(burst);
    site.store.put("keyed.op", "config", &config);
}

/// Starts a site with two further edges, whose account has a quota.
async fn start(test: u8) -> (Site, [Edge; 2]) {
    let mut site = Site::start_without_config(test, 2).await;
    publish(&site, 1, PER_S, BURST);
    site.edge_mut().restart_with(SETTINGS);
    site.wait_until_ready().await;
    let mut others = [
        site.start_edge(test + 1, site.store_address()).await,
        site.start_edge(test + 2, site.store_address()).await,
    ];
    for other in &mut others {
        other.restart_with(SETTINGS);
    }
    sleep(START_TIME).await;
    (site, others)
}

/// Sends a request every `pause` to the edges in turn, for `time`. Returns how many were served and
/// how many were refused.
async fn call(edges: &[&Edge], pause: Duration, time: Duration) -> (usize, usize) {
    let end = Instant::now() + time;
    let (mut served, mut refused) = (0, 0);
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let response = edges[n % edges.len()].call("GET", "/any/1", &[]).await;
        match response.status {
            200 => served += 1,
            429 => {
                let after = response.header("retry-after").unwrap();
                assert!(after.parse::<f64>().unwrap() > 0.0);
                let body = String::from_utf8(response.body.clone()).unwrap();
                assert!(
                    body.contains("over_quota") && body.contains("not_run"),
                    "{body}"
                );
                refused += 1;
            }
            status => panic!("status {status}"),
        }
        sleep(pause).await;
    }
    (served, refused)
}

/// Returns the most requests that the workers got within [`WINDOW`], from `start` on.
fn most_in_window(site: &Site, start: Instant) -> usize {
    let workers = site.workers.iter();
    let arrivals: Vec<_> = workers
        .flat_map(common::worker::Worker::arrivals)
        .filter(|at| *at >= start)
        .collect();
    let in_window = |first: &Instant| {
        let window = *first..*first + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// An account sends several times its quota to three edges, of which one is killed. What it may use
/// is used.
#[tokio::test(flavor = "multi_thread")]
async fn hot_account() {
    let (site, mut others) = start(59).await;
    let start = Instant::now();
    let pause = Duration::from_millis(2);
    let edges = [site.edge(), &others[0], &others[1]];
    let (served, refused) = call(&edges, pause, Duration::from_secs(5)).await;
    let metrics = site.edge().metrics().await;
    assert!(refused > 0, "{served} served, none refused");
    assert!(served >= 5 * PER_S * 7 / 10, "only {served} served");
    assert!(metrics.contains("nutmegbay_quota_refused_total{account=\"acme\"}"));
    others[0].signal("KILL");
    others[0].restart();
    let edges = [site.edge(), &others[1]];
    let (served, _) = call(&edges, pause, Duration::from_secs(5)).await;
    assert!(served >= 5 * PER_S / 2, "only {served} served after a kill");
    let most = most_in_window(&site, start);
    assert!(most <= max_in_window(PER_S, BURST), "{most} in a window");
    publish(&site, 2, PER_S / 4, BURST / 4);
    let start = Instant::now() + Duration::from_secs(2);
    call(&edges, pause, Duration::from_secs(7)).await;
    let most = most_in_window(&site, start);
    let max = max_in_window(PER_S / 4, BURST / 4);
    assert!(most <= max, "{most} in a window after it was lowered");
}

/// An account that stays below its quota sends all requests to one edge, then to another.
#[tokio::test(flavor = "multi_thread")]
async fn quiet_account() {
    let (site, others) = start(62).await;
    let edges = [site.edge(), &others[0], &others[1]];
    for edge in edges {
        let pause = Duration::from_millis(1_000 / 14);
        let (served, refused) = call(&[edge], pause, Duration::from_secs(3)).await;
        assert!(refused == 0, "{refused} refused, {served} served");
    }
}

/// Without a quota there are no datagrams about one, and no metrics.
#[tokio::test(flavor = "multi_thread")]
async fn no_quota() {
    let site = Site::start(66, 1).await;
    let other = site.start_edge(67, site.store_address()).await;
    let edges = [site.edge(), &other];
    let (served, refused) = call(&edges, Duration::from_millis(2), Duration::from_secs(2)).await;
    assert!(served > 100 && refused == 0, "{served} served");
    for edge in edges {
        assert!(!edge.metrics().await.contains("quota"));
    }
}
