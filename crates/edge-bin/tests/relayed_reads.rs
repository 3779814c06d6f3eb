//! Guards against edges that follow a relay and read the store as well, and against changes that
//! they miss when the relay stops or can no longer read the store.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use common::proxy::{LinkState, Proxy};
use common::{Edge, Site, config};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout};

/// Number of edges in addition to the first one. Four of the seven edges read the store, and three
/// follow them.
const ADDITIONAL_EDGES: u8 = 6;

/// The operator's bound for a configuration change and for a draining upstream.
const BOUND: Duration = Duration::from_secs(2);

const STORE_CALLS: &str = "nutmegbay_store_calls_total{topic=\"";

/// Metric with the number of edges that an edge considers running.
const MEMBERS: &str = "nutmegbay_members ";

/// Time after which the roles of edges that know each other are final. Before, an edge that has
/// just started follows a relay even if it is going to be one, and one whose relay is not proven to
/// be up to date reads the store. A read that was waiting when its edge began to follow a relay
/// ends within this time too.
const ROLE_TIME: Duration = Duration::from_secs(3);

/// A site of seven edges. All but the first one reach the store through their own proxy.
struct RelayedSite {
    site: Site,
    edges: Vec<(Edge, Proxy)>,
}

impl RelayedSite {
    /// Starts the site and waits until three edges follow a relay.
    async fn start(test: u8) -> Self {
        let site = Site::start(test, 2).await;
        let mut edges = Vec::new();
        for n in 1..=ADDITIONAL_EDGES {
            let at = SocketAddr::new(site.address(test + ADDITIONAL_EDGES + n), 8_408);
            let proxy = Proxy::start(at, site.store_address()).await;
            edges.push((site.start_edge(test + n, at).await, proxy));
        }
        let relayed = Self { site, edges };
        relayed.wait_for_roles().await;
        relayed
    }

    /// Waits until all edges know each other and the same three of them have followed a relay for
    /// [`ROLE_TIME`].
    async fn wait_for_roles(&self) {
        let since = RefCell::new((Vec::new(), Instant::now()));
        self.site
            .wait_until("three edges follow a relay", async || {
                let first = self.site.edge();
                let edges: Vec<_> = self.edges.iter().map(|(edge, _)| edge).collect();
                let all = || edges.iter().copied().chain([first]);
                let members = join_all(all().map(|edge| edge.metric(MEMBERS))).await;
                let roles = join_all(all().map(follows_relay)).await;
                let is_complete = members.iter().all(|known| *known == members.len() as u64);
                let followers = roles.iter().filter(|follows| **follows).count();
                let mut since = since.borrow_mut();
                if !is_complete || followers != 3 || since.0 != roles {
                    *since = (roles, Instant::now());
                }
                since.1.elapsed() >= ROLE_TIME
            })
            .await;
    }

    /// Returns the indices of the edges that follow a relay, and of those that read the store. The
    /// first edge, which reaches the store without a proxy, is not included.
    async fn by_role(&self) -> (Vec<usize>, Vec<usize>) {
        let follows_relay = join_all(self.edges.iter().map(|(edge, _)| follows_relay(edge))).await;
        (0..self.edges.len()).partition(|n| follows_relay[*n])
    }

    /// Grants a key and asserts that it works at `edges` within the bound.
    async fn assert_grant_in_time(&self, version: u64, edges: &[usize]) {
        let key = format!("k{version}");
        self.site
            .store
            .put("keyed.op", "config", &config(version, &["k1", &key]));
        let granted = join_all(edges.iter().map(async |n| {
            let (edge, _) = &self.edges[*n];
            self.site
                .wait_until("the key is granted", async || {
                    let with_key = [("X-Api-Key", &*key)];
                    edge.call("GET", "/any/1", &with_key).await.status == 200
                })
                .await;
        }));
        assert!(
            timeout(BOUND, granted).await.is_ok(),
            "version {version} is not in force in time"
        );
    }
}

async fn follows_relay(edge: &Edge) -> bool {
    edge.metric("nutmegbay_follows_relay").await == 1
}

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
