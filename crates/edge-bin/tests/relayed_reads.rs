//! Guards against edges that follow a relay and read the store as well, and against changes that
//! they miss when the relay stops or can no longer read the store.

mod common;

use std::time::Duration;

use common::proxy::LinkState;
use common::relayed::{BOUND, RelayedSite, follows_relay};
use futures::future::join_all;
use tokio::time::sleep;

const STORE_CALLS: &str = "nutmegbay_store_calls_total{topic=\"";

/// Edges that follow a relay make no store calls of their own. Otherwise the number of calls grows
/// with the number of edges.
#[tokio::test(flavor = "multi_thread")]
async fn few_calls() {
    let relayed = RelayedSite::start(50).await;
    let (following, _) = relayed.by_role().await;
    let calls = async |n: usize| {
        let (edge, _) = &relayed.edges[n];
        let config = edge.metric(&format!("{STORE_CALLS}config")).await;
        config + edge.metric(&format!("{STORE_CALLS}instances")).await
    };
    let before = join_all(following.iter().map(|n| calls(*n))).await;
    sleep(Duration::from_secs(4)).await;
    let after = join_all(following.iter().map(|n| calls(*n))).await;
    assert_eq!(
        before, after,
        "an edge that follows a relay reads the store as well"
    );
    relayed.assert_grant_in_time(2, &following).await;
}

/// All edges that read the store are paused at once, just before a change.
#[tokio::test(flavor = "multi_thread")]
async fn paused_relays() {
    let relayed = RelayedSite::start(65).await;
    let (following, reading) = relayed.by_role().await;
    for n in &reading {
        relayed.edges[*n].0.signal("STOP");
    }
    if !follows_relay(relayed.site.edge()).await {
        relayed.site.signal("STOP");
    }
    relayed.assert_grant_in_time(2, &following).await;
    relayed.site.signal("CONT");
    for n in &reading {
        relayed.edges[*n].0.signal("CONT");
    }
    relayed.assert_grant_in_time(3, &reading).await;
}

/// The links of the relays to the store drop all bytes. Those of the edges that follow them work.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_relays() {
    let relayed = RelayedSite::start(80).await;
    let (following, reading) = relayed.by_role().await;
    for n in &reading {
        relayed.edges[*n].1.set(LinkState::Dropping);
    }
    relayed.assert_grant_in_time(2, &following).await;
    // A removed upstream gets no requests from these edges after the bound either.
    relayed.site.store.remove("keyed.servers", "i-0");
    sleep(BOUND).await;
    relayed.site.workers[0].clear_requests();
    for n in &following {
        let (edge, _) = &relayed.edges[*n];
        for _ in 0..4 {
            assert_eq!(edge.call("GET", "/any/1", &[]).await.status, 200);
        }
    }
    assert!(relayed.site.workers[0].requests().is_empty());
}
