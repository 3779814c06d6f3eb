//! Guards against streams that no edge can continue because the one that carried them is gone or
//! stands still when a second version appears.

mod common;

use std::time::Duration;

use common::relayed::RelayedSite;
use common::take_ups::{STREAMS, begin_streams_waiting, check_all_go_on, list, start, take_up};
use common::{Edge, Site};
use tokio::time::sleep;

/// Time for which the callers wait.
const DEADLINE_MS: u32 = 20_000;

/// Time within which all edges know each other.
const MEMBERS_TIME: Duration = Duration::from_secs(3);

const OLD: [&str; 4] = ["v1"; 4];
const BOTH: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// Starts a site of four edges, whose upstreams are of the old version.
async fn start_four(test: u8) -> (Site, Vec<Edge>) {
    let site = start(test, &OLD).await;
    let mut edges = Vec::new();
    for n in 1..4 {
        edges.push(site.start_edge(test + n, site.store_address()).await);
    }
    sleep(MEMBERS_TIME).await;
    (site, edges)
}

/// The carrier stands still.
#[tokio::test(flavor = "multi_thread")]
async fn paused_carrier() {
    let (site, edges) = start_four(68).await;
    let streams = begin_streams_waiting(&site, site.edge(), &OLD, DEADLINE_MS).await;
    site.signal("STOP");
    list(&site, &BOTH).await;
    check_all_go_on(streams, &edges[0]).await;
    site.signal("CONT");
}

/// Two carriers are killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn killed_carriers() {
    let (site, edges) = start_four(72).await;
    let mut streams = begin_streams_waiting(&site, site.edge(), &OLD, DEADLINE_MS).await;
    streams.extend(begin_streams_waiting(&site, &edges[0], &OLD, DEADLINE_MS).await);
    site.signal("KILL");
    edges[0].signal("KILL");
    list(&site, &BOTH).await;
    check_all_go_on(streams, &edges[2]).await;
}

/// An edge takes the streams up and is killed too, before a third one does.
#[tokio::test(flavor = "multi_thread")]
async fn carriers_in_turn() {
    let (site, mut edges) = start_four(76).await;
    let mut streams = begin_streams_waiting(&site, site.edge(), &OLD, DEADLINE_MS).await;
    site.signal("KILL");
    list(&site, &BOTH).await;
    let completed = take_up(&mut streams, &edges[0]).await;
    assert_eq!(completed, STREAMS, "streams do not go on");
    let streams = begin_streams_waiting(&site, &edges[0], &OLD, DEADLINE_MS).await;
    list(&site, &["v3", "v2", "v1", "v2"]).await;
    edges[0].signal("KILL");
    edges[0].restart();
    check_all_go_on(streams, &edges[1]).await;
}

/// An edge that keeps origins of others' streams is started anew before the carrier is killed.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_replicas() {
    let (site, mut edges) = start_four(82).await;
    let streams = begin_streams_waiting(&site, site.edge(), &OLD, DEADLINE_MS).await;
    for edge in &mut edges {
        edge.signal("KILL");
        edge.restart();
        sleep(MEMBERS_TIME).await;
    }
    site.signal("KILL");
    list(&site, &BOTH).await;
    check_all_go_on(streams, &edges[1]).await;
}

/// The carrier and the edge at which the streams are taken up follow relays.
#[tokio::test(flavor = "multi_thread")]
async fn killed_follower() {
    let mut relayed = RelayedSite::start(30).await;
    for n in [0, 1] {
        relayed.site.list_version(n, "v1");
    }
    sleep(MEMBERS_TIME).await;
    let (followers, _) = relayed.by_role().await;
    let (other, carrier) = (followers[0], followers[1]);
    let edge = &relayed.edges[carrier].0;
    let streams = begin_streams_waiting(&relayed.site, edge, &OLD[..2], DEADLINE_MS).await;
    drop(relayed.edges.remove(carrier));
    for (n, version) in [(0, "v1"), (1, "v2")] {
        relayed.site.list_version(n, version);
    }
    sleep(MEMBERS_TIME).await;
    check_all_go_on(streams, &relayed.edges[other].0).await;
}
