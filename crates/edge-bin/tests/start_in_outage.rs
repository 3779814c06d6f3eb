//! Guards against edges that start during an outage of the store and refuse requests for seconds,
//! although a running edge knows the configuration.

mod common;

use std::time::Duration;

use common::Site;
use common::store::Fault;
use tokio::time::{sleep, timeout};

/// Maximum time from the start until a request is served.
const START_TIME: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn known_config() {
    let site = Site::start(87, 1).await;
    site.store.set_fault(Fault::Refuse);
    let edge = site.launch_edge(88, site.store_address());
    let served = async {
        while edge.call("GET", "/any/1", &[]).await.status != 200 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(timeout(START_TIME, served).await.is_ok());
}
