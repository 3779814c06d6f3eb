//! Guards against streams that no edge can continue because all edges were killed at once while
//! several versions were in use.

mod common;

use std::time::Duration;

use common::relayed::RelayedSite;
use common::store::Fault;
use common::take_ups::{
    LIST_TIME, SILENCE, STREAMS, begin_streams_waiting, check_all_go_on, check_versions, kill_all,
    start,
};
use common::versioned::HeldStream;
use common::worker::Worker;
use common::{Edge, Site};
use tokio::time::sleep;

const DEADLINE_MS: u32 = 20_000;

const TOPIC: &str = "nutmegbay-origins";

/// Time within which origins are written.
const WRITE_TIME: Duration = Duration::from_millis(1_500);

const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

async fn start_two(test: u8, versions: &[&str]) -> (Site, Edge, Vec<HeldStream>) {
    let site = start(test, versions).await;
    let other = site.start_edge(test + 1, site.store_address()).await;
    sleep(LIST_TIME).await;
    let streams = begin_streams_waiting(&site, site.edge(), versions, DEADLINE_MS).await;
    (site, other, streams)
}

/// Two versions serve.
#[tokio::test(flavor = "multi_thread")]
async fn killed_together() {
    let (mut site, mut other, streams) = start_two(60, &VERSIONS).await;
    sleep(WRITE_TIME).await;
    kill_all(&mut site, &mut other).await;
    check_all_go_on(streams, &other).await;
}

/// Three versions serve, and the edges are killed a second time before the callers come back.
#[tokio::test(flavor = "multi_thread")]
async fn killed_twice() {
    let (mut site, mut other, streams) = start_two(62, &["v1", "v2", "v3"]).await;
    sleep(WRITE_TIME).await;
    kill_all(&mut site, &mut other).await;
    sleep(WRITE_TIME).await;
    kill_all(&mut site, &mut other).await;
    check_all_go_on(streams, site.edge()).await;
}

/// The second version appears while streams of the first one are open.
#[tokio::test(flavor = "multi_thread")]
async fn later_version() {
    let (mut site, mut other, streams) = start_two(64, &["v1"; 4]).await;
    assert!(site.store.values(TOPIC).is_empty());
    site.list_version(1, "v2");
    site.list_version(3, "v2");
    sleep(LIST_TIME + WRITE_TIME).await;
    kill_all(&mut site, &mut other).await;
    check_all_go_on(streams, &other).await;
}

/// The store no longer has the first records, and was restored after the kill.
#[tokio::test(flavor = "multi_thread")]
async fn expired_records() {
    let site = start(66, &VERSIONS).await;
    let mut other = site.start_edge(67, site.store_address()).await;
    sleep(LIST_TIME).await;
    let lost = begin_streams_waiting(&site, site.edge(), &VERSIONS, DEADLINE_MS).await;
    sleep(WRITE_TIME).await;
    assert!(!site.store.values(TOPIC).is_empty());
    site.store.drop_history();
    let streams = begin_streams_waiting(&site, site.edge(), &VERSIONS, DEADLINE_MS).await;
    sleep(WRITE_TIME).await;
    let mut site = site;
    site.signal("KILL");
    other.signal("KILL");
    site.store.restore_and_rewrite(&site.store.copy());
    site.edge_mut().restart();
    other.restart();
    site.wait_until_ready().await;
    check_all_go_on(streams, site.edge()).await;
    check_versions(&lost);
}

/// The store is away when the streams begin, and back before the kill.
#[tokio::test(flavor = "multi_thread")]
async fn late_store() {
    let (mut site, mut other, first) = start_two(68, &VERSIONS).await;
    site.store.set_fault(Fault::Refuse);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut stream = HeldStream::waiting(DEADLINE_MS);
        Worker::share_script(&site.workers, &[SILENCE]);
        stream
            .attempt(site.edge().ingress(), "/stream/1", Some(1))
            .await;
        streams.push(stream);
    }
    sleep(WRITE_TIME).await;
    site.store.set_fault(Fault::None);
    sleep(WRITE_TIME * 2).await;
    kill_all(&mut site, &mut other).await;
    streams.extend(first);
    check_all_go_on(streams, &other).await;
}

/// The carrier and the edge at which the streams are taken up follow relays.
#[tokio::test(flavor = "multi_thread")]
async fn killed_relays() {
    let mut relayed = RelayedSite::start(20).await;
    for (n, version) in [(0, "v1"), (1, "v2")] {
        relayed.site.list_version(n, version);
    }
    sleep(LIST_TIME * 2).await;
    let (followers, _) = relayed.by_role().await;
    let carrier = &relayed.edges[followers[0]].0;
    let versions = ["v1", "v2"];
    let streams = begin_streams_waiting(&relayed.site, carrier, &versions, DEADLINE_MS).await;
    sleep(WRITE_TIME).await;
    relayed.site.signal("KILL");
    for (edge, _) in &mut relayed.edges {
        edge.signal("KILL");
    }
    relayed.site.edge_mut().restart();
    for (edge, _) in &mut relayed.edges {
        edge.restart();
    }
    sleep(WRITE_TIME * 3).await;
    check_all_go_on(streams, &relayed.edges[followers[1]].0).await;
}

/// One version serves: nothing is written.
#[tokio::test(flavor = "multi_thread")]
async fn one_version() {
    let (site, _other, _streams) = start_two(70, &["v1"; 2]).await;
    sleep(WRITE_TIME).await;
    assert!(site.store.values(TOPIC).is_empty());
}
