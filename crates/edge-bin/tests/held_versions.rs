//! Guards against streams that no edge continues because a version was listed at which none has begun,
//! and against new streams that do not begin for the sake of that evidence.

mod common;

use std::time::Duration;

use common::store::Fault;
use common::take_ups::{
    LIST_TIME, STREAMS, begin_streams_waiting, check_all_go_on, kill_all, kill_all_and, list,
};
use common::versioned::{HeldStream, Outcome};
use common::{Edge, Site};
use tokio::time::sleep;

const DEADLINE_MS: u32 = 20_000;

/// Time within which origins and versions are written.
const WRITE_TIME: Duration = Duration::from_millis(1_500);

/// Number of the worker whose version is new.
const NEW: u16 = 2;

/// Starts two edges and two workers of the first version, and begins streams.
async fn start(test: u8) -> (Site, Edge, Vec<HeldStream>) {
    let site = Site::start(test, NEW + 1).await;
    site.store.remove("keyed.servers", "i-2");
    let other = site.start_edge(test + 1, site.store_address()).await;
    list(&site, &["v1", "v1"]).await;
    let streams = begin_streams_waiting(&site, site.edge(), &["v1", "v1"], DEADLINE_MS).await;
    (site, other, streams)
}

/// Begins streams at `edge` and returns the number of those that are complete at once.
async fn begin(edge: &Edge) -> usize {
    let mut begun = 0;
    for _ in 0..STREAMS {
        let mut stream = HeldStream::waiting(DEADLINE_MS);
        let outcome = stream.attempt(edge.ingress(), "/stream/1", None).await;
        begun += usize::from(outcome == Outcome::Complete);
    }
    begun
}

/// A release begins while all edges are killed.
#[tokio::test(flavor = "multi_thread")]
async fn release_in_outage() {
    let (mut site, mut other, streams) = start(10).await;
    kill_all_and(&mut site, &mut other, |site| site.list_version(NEW, "v2")).await;
    sleep(LIST_TIME).await;
    assert_eq!(begin(&other).await, STREAMS, "new streams begin");
    check_all_go_on(streams, &other).await;
}

/// A release begins right after all edges were killed, and one of them is killed again.
#[tokio::test(flavor = "multi_thread")]
async fn release_after_start() {
    let (mut site, mut other, streams) = start(12).await;
    kill_all(&mut site, &mut other).await;
    site.list_version(NEW, "v2");
    sleep(LIST_TIME).await;
    site.signal("KILL");
    site.edge_mut().restart();
    site.wait_until_ready().await;
    check_all_go_on(streams, site.edge()).await;
}

/// The upstreams of the version before leave right after the start. Streams begin at the new one, and
/// go on there after another kill of all edges.
#[tokio::test(flavor = "multi_thread")]
async fn release_completed() {
    let (mut site, mut other, _) = start(14).await;
    kill_all_and(&mut site, &mut other, |site| site.list_version(NEW, "v2")).await;
    for old in ["i-0", "i-1"] {
        site.store.remove("keyed.servers", old);
    }
    sleep(LIST_TIME).await;
    assert_eq!(begin(&other).await, STREAMS, "new streams begin");
    list(&site, &["v1", "v1", "v2"]).await;
    let streams = begin_streams_waiting(&site, &other, &["v1", "v1", "v2"], DEADLINE_MS).await;
    sleep(WRITE_TIME).await;
    kill_all(&mut site, &mut other).await;
    check_all_go_on(streams, site.edge()).await;
}

/// The upstreams of the version before leave while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn release_without_store() {
    let (mut site, mut other, _) = start(16).await;
    kill_all_and(&mut site, &mut other, |site| site.list_version(NEW, "v2")).await;
    sleep(LIST_TIME).await;
    site.store.set_fault(Fault::Refuse);
    for old in &site.workers[..2] {
        old.set_leaving(true);
    }
    // The edges learn of it by an answer of each.
    for _ in 0..2 * STREAMS {
        site.call("GET", "/any/1", &[]).await;
    }
    assert_eq!(begin(site.edge()).await, STREAMS, "new streams begin");
}

/// A release in calm times: streams begin at the new version as soon as it is listed.
#[tokio::test(flavor = "multi_thread")]
async fn calm_release() {
    let (site, other, _) = start(18).await;
    site.list_version(NEW, "v2");
    sleep(LIST_TIME).await;
    for old in ["i-0", "i-1"] {
        site.store.remove("keyed.servers", old);
    }
    for edge in [site.edge(), &other] {
        assert_eq!(begin(edge).await, STREAMS, "new streams begin");
    }
}
