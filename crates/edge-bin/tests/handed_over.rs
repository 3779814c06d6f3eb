//! Guards against streams that no edge can continue after planned stops, because what the edges knew
//! of them has ended with the processes.

mod common;

use std::time::Duration;

use common::take_ups::{begin_streams_waiting, check_versions, list, start, take_up};
use common::{Edge, Site};
use tokio::time::sleep;

/// Time for which the callers wait, longer than two planned stops.
const DEADLINE_MS: u32 = 20_000;

/// Time between two checks for the end of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops an edge as planned and starts it again.
async fn restart(site: &Site, edge: &mut Edge) {
    edge.signal("TERM");
    while !edge.restart_if_ended() {
        sleep(POLL_INTERVAL).await;
    }
    site.wait_until("it serves again", async || {
        edge.call("GET", "/any/1", &[]).await.status == 200
    })
    .await;
}

/// The edges are stopped and started in turn while two versions serve.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_in_turn() {
    let versions = ["v1", "v2", "v1", "v2"];
    let site = start(1, &versions).await;
    let mut edges = Vec::new();
    for n in 2..4 {
        edges.push(site.start_edge(n, site.store_address()).await);
    }
    let mut streams = begin_streams_waiting(&site, &edges[0], &versions, DEADLINE_MS).await;
    site.signal("TERM");
    for edge in &mut edges {
        restart(&site, edge).await;
    }
    let completed = take_up(&mut streams, &edges[1]).await;
    check_versions(&streams);
    assert_eq!(completed, streams.len(), "streams do not go on");
}

/// The only edge that carried the streams is stopped before a second version joins.
#[tokio::test(flavor = "multi_thread")]
async fn later_version() {
    let mut site = start(4, &["v1"; 4]).await;
    let other = site.start_edge(5, site.store_address()).await;
    let mut streams = begin_streams_waiting(&site, site.edge(), &["v1"; 4], DEADLINE_MS).await;
    site.signal("TERM");
    while site.exit_code().is_none() {
        sleep(POLL_INTERVAL).await;
    }
    list(&site, &["v1", "v2", "v1", "v2"]).await;
    let completed = take_up(&mut streams, &other).await;
    check_versions(&streams);
    assert_eq!(completed, streams.len(), "streams do not go on");
}
