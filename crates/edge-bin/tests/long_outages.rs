//! Guards against edges that take each other for failed while the store is down for long. Each
//! would then use all of what belongs to them together, such as the retry budget.

mod common;

use std::time::Duration;

use common::store::Fault;
use common::{Edge, Site};
use futures::future::join_all;
use tokio::time::sleep;

/// Metric with the number of edges that an edge considers running.
const MEMBERS: &str = "nutmegbay_members ";

/// Time without a new record after which an edge may be considered failed.
const MEMBER_TIME: Duration = Duration::from_secs(20);

/// Returns how many edges each of `edges` considers running.
async fn known_members(edges: &[&Edge]) -> Vec<u64> {
    join_all(edges.iter().map(|edge| edge.metric(MEMBERS))).await
}

/// The edges that run stay known, and one that ends does not.
#[tokio::test(flavor = "multi_thread")]
async fn running_edges() {
    let site = Site::start(47, 1).await;
    let mut others = Vec::new();
    for test in [48, 49, 50, 51, 52] {
        others.push(site.start_edge(test, site.store_address()).await);
    }
    let edges: Vec<_> = others.iter().chain([site.edge()]).collect();
    site.wait_until("the edges know each other", async || {
        known_members(&edges).await == [6; 6]
    })
    .await;
    site.store.set_fault(Fault::Refuse);
    others.pop();
    sleep(MEMBER_TIME + Duration::from_secs(4)).await;
    let edges: Vec<_> = others.iter().chain([site.edge()]).collect();
    assert_eq!(known_members(&edges).await, [5; 5]);
}
