//! Guards against a request that crashes one worker after another because its caller retries it at
//! any edge, and against the refusal of other requests that ran when a worker crashed.

mod common;

use std::time::Duration;

use common::Site;
use common::worker::Action;
use tokio::time::sleep;

const POISON: &str = "/once/poison";

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
