//! Guards against workers that send bytes without end, or a byte now and then: a request must end with
//! its time, and the memory of the edge must not grow with what it reads.

mod common;

use std::time::{Duration, Instant};

use common::Site;
use common::worker::{Act, EVENTS, Part, events};

/// Time that the routes of the test site give a request.
const ROUTE_TIME: Duration = Duration::from_millis(1_500);

/// Time after it within which an answer has to end.
const SLACK: Duration = Duration::from_millis(500);

/// Most memory of an edge, in KiB: what a deployment's smallest instance has.
const MOST_MEMORY: u64 = 160 * 1024;

/// Sends a request that meets an endless answer, then one that is served.
async fn ends(test: u8, path: &str, part: Part) {
    let site = Site::start(test, 1).await;
    site.workers[0].script(&[Act::Endless(part)]);
    let began = Instant::now();
    let answer = site.call("POST", path, &[]).await;
    let took = began.elapsed();
    assert!(took < ROUTE_TIME + SLACK, "{part:?} ended after {took:?}");
    assert_ne!(answer.status, 503, "it may have run");
    let peak = site.edge().peak_memory();
    assert!(peak < MOST_MEMORY, "{peak} KiB");
    site.until("the next request is served", async || {
        site.call("POST", "/once/2", &[]).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head() {
    ends(41, "/once/1", Part::Head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body() {
    ends(42, "/once/1", Part::Body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_extension() {
    ends(43, "/once/1", Part::ChunkExtension).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn event() {
    ends(44, "/stream/1", Part::Event).await;
}

/// A stalled stream that sends a byte now and then is silent all the same: it goes on at the other
/// worker.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream() {
    let site = Site::start(45, 2).await;
    site.workers[0].script(&[Act::Trickle]);
    site.workers[1].script(&[Act::Trickle]);
    // The first send meets one of them; the second worker streams the rest.
    let stalled = async {
        loop {
            let used = site.workers.iter().position(|w| !w.requests().is_empty());
            if let Some(used) = used {
                site.workers[1 - used].script(&[Act::Stream]);
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let (answer, ()) = tokio::join!(site.call("POST", "/stream/1", &[]), stalled);
    assert_eq!(answer.status, 200);
    let text = String::from_utf8_lossy(&answer.body);
    for n in 1..=EVENTS {
        assert!(text.contains(&events(n, n)), "event {n} is missing: {text}");
    }
}
