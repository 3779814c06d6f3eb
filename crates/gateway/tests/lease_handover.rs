//! Guards against a planned stop that leaves leases to expire, and against two holders.

mod support;

use std::time::Duration;

use nutmegbay_core::record::LeaseRole;
use support::platform::Platform;
use support::{Site, base, until};
use tokio::time::Instant;

#[tokio::test]
async fn planned_stop() {
    let platform = Platform::start().await;
    platform.publish_base(&base());
    let first = Site::start_with(platform.clone(), "gw1").await;
    first.until_ready().await;
    until(async || first.status().await.leases.len() == 3).await;
    let second = Site::start_with(platform, "gw2").await;
    second.until_ready().await;
    // The second gateway has been waiting for longer than a lease lasts.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(second.status().await.leases.is_empty());
    let epoch = first.status().await.leases[&LeaseRole::Reporter];
    let stopped = Instant::now();
    first.stop().await;
    until(async || second.status().await.leases.len() == 3).await;
    assert!(second.status().await.leases[&LeaseRole::Reporter] > epoch);
    let took = stopped.elapsed();
    assert!(took < Duration::from_secs(2), "hand-over took {took:?}");
}
