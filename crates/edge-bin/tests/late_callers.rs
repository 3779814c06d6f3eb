//! Guards against streams that go on at another software version because their callers come back
//! after the edges have forgotten with which one they began.

mod common;

use std::time::Duration;

use common::Site;
use common::take_ups::{begin_streams_waiting, check_versions, start, take_up};
use common::versioned::HeldStream;
use futures::future::join_all;
use tokio::time::sleep;

const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// Time for which the callers wait, far longer than the route's timeout of 1.5 s.
const DEADLINE_MS: u32 = 15_000;

/// Time after which no caller would come back if two answers were all it waits for: the drain bound,
/// two timeouts, and two reads of the list.
const TWO_ANSWERS: Duration = Duration::from_secs(2 + 3 + 2);

/// Begins streams, and removes the upstreams of the first version.
async fn begin_and_release(site: &Site) -> Vec<HeldStream> {
    let streams = begin_streams_waiting(site, site.edge(), &VERSIONS, DEADLINE_MS).await;
    for n in [0, 2] {
        site.store.remove("keyed.servers", &format!("i-{n}"));
    }
    streams
}

/// The edges run all the time.
#[tokio::test(flavor = "multi_thread")]
async fn after_timeouts() {
    let site = start(1, &VERSIONS).await;
    let other = site.start_edge(2, site.store_address()).await;
    let mut streams = begin_and_release(&site).await;
    sleep(TWO_ANSWERS).await;
    take_up(&mut streams, &other).await;
    check_versions(&streams);
}

/// All edges are killed meanwhile, and know from the store alone how long callers wait.
#[tokio::test(flavor = "multi_thread")]
async fn after_restart() {
    let mut site = start(3, &VERSIONS).await;
    let mut other = site.start_edge(4, site.store_address()).await;
    let mut streams = begin_and_release(&site).await;
    sleep(TWO_ANSWERS).await;
    site.signal("KILL");
    other.signal("KILL");
    site.edge_mut().restart();
    other.restart();
    site.wait_until("they serve again", async || {
        let calls = [site.edge(), &other].map(|edge| edge.call("GET", "/any/1", &[]));
        let responses = join_all(calls).await;
        responses.iter().all(|response| response.status == 200)
    })
    .await;
    take_up(&mut streams, &other).await;
    check_versions(&streams);
}
