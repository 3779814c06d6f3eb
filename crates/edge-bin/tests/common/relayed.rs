//! A site whose edges are so many that some of them follow others instead of reading the store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, timeout};

use super::proxy::Proxy;
use super::{Edge, Site, config};

/// Number of edges in addition to the first one. Four of the seven edges read the store, and three
/// follow them.
const ADDITIONAL_EDGES: u8 = 6;

/// The operator's bound for a configuration change and for a draining upstream.
pub const BOUND: Duration = Duration::from_secs(2);

/// Metric with the number of edges that an edge considers running.
const MEMBERS: &str = "nutmegbay_members ";

/// Time after which the roles of edges that know each other are final. Before, an edge that has
/// just started follows a relay even if it is going to be one, and one whose relay is not proven to
/// be up to date reads the store. A read that was waiting when its edge began to follow a relay
/// ends within this time too.
const ROLE_TIME: Duration = Duration::from_secs(3);

/// A site of seven edges. All but the first one reach the store through their own proxy.
pub struct RelayedSite {
    pub site: Site,
    pub edges: Vec<(Edge, Proxy)>,
}

impl RelayedSite {
    /// Starts the site and waits until three edges follow a relay.
    pub async fn start(test: u8) -> Self {
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
    pub async fn by_role(&self) -> (Vec<usize>, Vec<usize>) {
        let follows_relay = join_all(self.edges.iter().map(|(edge, _)| follows_relay(edge))).await;
        (0..self.edges.len()).partition(|n| follows_relay[*n])
    }

    /// Grants a key and asserts that it works at `edges` within the bound.
    pub async fn assert_grant_in_time(&self, version: u64, edges: &[usize]) {
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

/// Returns whether an edge follows a relay.
pub async fn follows_relay(edge: &Edge) -> bool {
    edge.metric("nutmegbay_follows_relay").await == 1
}
