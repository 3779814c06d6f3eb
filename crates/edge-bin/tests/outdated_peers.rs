//! Guards against an edge that takes its old list of instances for a current one because a peer that
//! has just started answers it.

mod common;

use std::time::Duration;

use common::Site;
use common::store::Fault;
use tokio::time::{Instant, sleep};

/// Metric with the age of the list of instances that an edge knows, in milliseconds.
const LIST_AGE: &str = "nutmegbay_instances_age_ms ";

/// Age of the list at which the peer starts, in milliseconds.
const OLD_LIST_MS: u64 = 4_000;

/// Time in which the edge asks its peer several times.
const ASK_TIME: Duration = Duration::from_secs(3);

/// The peer has read nothing, since the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn unread_list() {
    let site = Site::start(151, 1).await;
    site.store.set_fault(Fault::Refuse);
    site.wait_until("the list is old", async || {
        site.edge().metric(LIST_AGE).await > OLD_LIST_MS
    })
    .await;
    let peer = site.launch_edge(152, site.store_address());
    site.set_seed(&peer);
    let began = Instant::now();
    while began.elapsed() < ASK_TIME {
        let age = site.edge().metric(LIST_AGE).await;
        assert!(age > OLD_LIST_MS, "the list is {age} ms old");
        sleep(Duration::from_millis(20)).await;
    }
}
