//! Guards against a request that crashes one worker after another because its caller retries it at
//! any edge, and against the refusal of other requests that ran when a worker crashed.

mod common;

use std::time::Duration;

use common::store::Fault;
use common::worker::{Action, Worker};
use common::{Edge, Response, Site};
use tokio::time::{sleep, timeout};

const POISON: &str = "/once/poison";

/// Time after an outage of the store from which the operator's bounds hold again.
const CONTACT: Duration = Duration::from_secs(3);

/// Time within which the edge reads the list of instances again.
const LIST_READ: Duration = Duration::from_millis(1_200);

/// Sends a request to `path`. Its worker closes the connection and is then listed with a new start
/// time, as after a crash.
async fn crash_worker(site: &Site, path: &str, started_ms: u64) {
    for worker in &site.workers {
        worker.clear_requests();
        worker.script(&[Action::Close]);
    }
    let response = site.call("POST", path, &[]).await;
    assert_eq!(response.status, 502, "it may have run");
    for (n, worker) in (0..).zip(&site.workers) {
        if !worker.requests().is_empty() {
            site.list_as_started(n, started_ms);
        }
        worker.script(&[]);
    }
    sleep(LIST_READ).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_everywhere() {
    let site = Site::start(26, 3).await;
    let peer = site.start_edge_without_store(126).await;
    site.set_seed(&peer);
    for started_ms in [1_000, 2_000, 3_000] {
        crash_worker(&site, POISON, started_ms).await;
    }
    for worker in &site.workers {
        worker.clear_requests();
    }
    let refused = site.call("POST", POISON, &[]).await;
    assert_eq!(refused.status, 503, "it must not run again");
    let body = String::from_utf8(refused.body.clone()).unwrap();
    assert!(body.contains("crashes_upstreams"), "{body}");
    let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 60.0, "retry-after is only {after} s");
    let at_peer = peer.call("POST", POISON, &[]).await;
    assert_eq!(
        at_peer.status, 503,
        "the peer must have received the crash report"
    );
    assert_eq!(site.runs(), 0);
    let other = site.call("POST", "/once/other", &[]).await;
    assert_eq!(other.status, 200, "another request must be served");
}

/// Broken connections without a restart of the worker do not count as crashes.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connections() {
    let site = Site::start(27, 2).await;
    for _ in 0..5 {
        for worker in &site.workers {
            worker.script(&[Action::Close]);
        }
        let response = site.call("POST", "/once/1", &[]).await;
        assert_eq!(response.status, 502);
        for worker in &site.workers {
            worker.script(&[]);
        }
    }
    assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
}

/// A request that was served between two crashes is not considered their cause.
#[tokio::test(flavor = "multi_thread")]
async fn harmless_request() {
    let site = Site::start(28, 3).await;
    crash_worker(&site, "/once/1", 1_000).await;
    crash_worker(&site, "/once/1", 2_000).await;
    assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    crash_worker(&site, "/once/1", 3_000).await;
    assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
}

/// Prefix block on which the workers crash.
const CRASHING_BLOCK: &str = "f00d";

/// Crashes that requests with one block may cause in all: the operator's limit of three beyond the
/// fifth.
const MAX_CRASHES: usize = 8;

/// Time between two of these requests. A crashed worker listens again after two rounds.
const ROUND_TIME: Duration = Duration::from_millis(200);

/// Sends a prompt whose shared prefix blocks are `a` and `block`. No two prompts are alike.
async fn call_with_block(edge: &Edge, block: &str) -> Response {
    let prefix = format!("a:20,{block}:20,{:x}:20", rand::random::<u64>());
    let headers = [("X-Token-Counts", "60,5"), ("X-Prompt-Prefix", &*prefix)];
    edge.call("POST", "/stream/1", &headers).await
}

/// Starts two prefill engines, and decode engines that crash on [`CRASHING_BLOCK`].
async fn start_crashing_site(test: u8) -> Site {
    let site = Site::start_engines_with(test, 6, true, 1_000).await;
    for worker in site.workers.iter().skip(2) {
        worker.script(&[Action::Stream; 100]);
        worker.crash_on(CRASHING_BLOCK);
    }
    site
}

fn crashes(site: &Site) -> usize {
    site.workers.iter().map(Worker::crashes).sum()
}

/// Waits until each edge serves sound prompts that share the account and the first block with the
/// crashing ones.
async fn assert_sound_served(site: &Site, edges: &[&Edge]) {
    for edge in edges {
        site.wait_until("sound prompts are served", async || {
            call_with_block(edge, "50").await.status == 200
        })
        .await;
        for _ in 0..3 {
            assert_eq!(call_with_block(edge, "50").await.status, 200);
        }
    }
}

/// Requests with one block, no two alike, come at all edges. An edge that starts while the store is
/// down refuses them too.
#[tokio::test(flavor = "multi_thread")]
async fn shared_block() {
    let site = start_crashing_site(38).await;
    let others = [
        site.start_edge(39, site.store_address()).await,
        site.start_edge(40, site.store_address()).await,
    ];
    let edges = [site.edge(), &others[0], &others[1]];
    for round in 0..12 {
        call_with_block(edges[round % 3], CRASHING_BLOCK).await;
        // Sound prompts are in flight at the same time.
        call_with_block(edges[(round + 1) % 3], "50").await;
        sleep(ROUND_TIME).await;
    }
    let crashed = crashes(&site);
    assert!(
        crashed <= MAX_CRASHES,
        "{crashed} crashes by requests with one block"
    );
    assert_sound_served(&site, &edges).await;
    site.store.set_fault(Fault::Refuse);
    let started = site.start_edge_without_store(41).await;
    sleep(LIST_READ).await;
    for edge in edges.into_iter().chain([&started]) {
        let refused = call_with_block(edge, CRASHING_BLOCK).await;
        assert_eq!(refused.status, 503);
        let body = String::from_utf8(refused.body).unwrap();
        assert!(body.contains("crashes_upstreams"), "{body}");
    }
    assert_eq!(crashes(&site), crashed, "a refused request has run");
    assert_sound_served(&site, &[&started]).await;
}

/// The upstreams crash well after they have begun to answer. A run that goes on with a broken stream
/// is complete before its upstream crashes.
#[tokio::test(flavor = "multi_thread")]
async fn late_crashes() {
    let site = start_crashing_site(45).await;
    for worker in site.workers.iter().skip(2) {
        worker.crash_late_on(CRASHING_BLOCK, Duration::from_millis(600));
    }
    for _ in 0..12 {
        call_with_block(site.edge(), CRASHING_BLOCK).await;
        call_with_block(site.edge(), "50").await;
        sleep(ROUND_TIME).await;
    }
    let crashed = crashes(&site);
    assert!(
        crashed <= MAX_CRASHES,
        "{crashed} crashes by requests with one block"
    );
    assert_sound_served(&site, &[site.edge()]).await;
}

/// The store loses the crashed runs, which serve edges that start while no other one runs.
#[tokio::test(flavor = "multi_thread")]
async fn restored_reports() {
    let site = start_crashing_site(42).await;
    let copy = site.store.copy();
    let has_reports = async || !site.store.values("keyed.nutmegbay-crashes").is_empty();
    site.wait_until("crashed runs are in the store", async || {
        call_with_block(site.edge(), CRASHING_BLOCK).await;
        has_reports().await
    })
    .await;
    for _ in 0..2 {
        site.store.restore(&copy);
        assert!(!has_reports().await);
        let rewritten = site.wait_until("they are written again", &has_reports);
        assert!(
            timeout(CONTACT, rewritten).await.is_ok(),
            "crashed runs are not written again"
        );
    }
}
