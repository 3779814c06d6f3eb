//! Guards against workers that send bytes without end, or single bytes with pauses. The request
//! must end at its timeout, and the memory of the edge must not grow with the bytes that it reads.

mod common;

use std::time::{Duration, Instant};

use common::Site;
use common::worker::{Action, EVENTS, EndlessPart, events};

/// Timeout of the routes of the test site.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum time from the route's timeout to the end of the response.
const SLACK: Duration = Duration::from_millis(500);

/// Maximum memory of an edge in KiB, which is that of the smallest instance in a deployment.
const MAX_MEMORY_KIB: u64 = 160 * 1024;

/// Asserts that a request with an endless response ends in time, and that the next one is served.
async fn assert_ends(test: u8, path: &str, part: EndlessPart) {
    let site = Site::start(test, 1).await;
    site.workers[0].script(&[Action::Endless(part)]);
    let started = Instant::now();
    let response = site.call("POST", path, &[]).await;
    let elapsed = started.elapsed();
    assert!(
        elapsed < ROUTE_TIMEOUT + SLACK,
        "{part:?} ended after {elapsed:?}"
    );
    assert_ne!(response.status, 503, "it may have run");
    let peak = site.edge().peak_memory();
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB");
    site.wait_until("the next request is served", async || {
        site.call("POST", "/once/2", &[]).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head() {
    assert_ends(41, "/once/1", EndlessPart::Head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body() {
    assert_ends(42, "/once/1", EndlessPart::Body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_extension() {
    assert_ends(43, "/once/1", EndlessPart::ChunkExtension).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn event() {
    assert_ends(44, "/stream/1", EndlessPart::Event).await;
}

/// A stream that sends only single bytes of an event counts as stalled and continues at the other
/// worker.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream() {
    let site = Site::start(45, 2).await;
    site.workers[0].script(&[Action::Trickle]);
    site.workers[1].script(&[Action::Trickle]);
    // The worker that gets the request stalls. The other one streams the rest.
    let stalled = async {
        loop {
            let used = site
                .workers
                .iter()
                .position(|worker| !worker.requests().is_empty());
            if let Some(used) = used {
                site.workers[1 - used].script(&[Action::Stream]);
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let (response, ()) = tokio::join!(site.call("POST", "/stream/1", &[]), stalled);
    assert_eq!(response.status, 200);
    let text = String::from_utf8_lossy(&response.body);
    for n in 1..=EVENTS {
        assert!(text.contains(&events(n, n)), "event {n} is missing: {text}");
    }
}
