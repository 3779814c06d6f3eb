//! Guards against a planned stop that does not release its leases, and against a lease with two
//! holders.

mod support;

use std::time::Duration;

use nutmegbay_core::record::LeaseRole;
use support::platform::InMemoryPlatform;
use support::{TestGateway, base, wait_until};
use tokio::time::Instant;

#[tokio::test]
async fn planned_stop() {
    let platform = InMemoryPlatform::start().await;
    platform.publish_base(&base());
    let first = TestGateway::start_with(platform.clone(), "gw1").await;
    first.wait_until_ready().await;
    wait_until(async || first.status().await.leases.len() == 3).await;
    let second = TestGateway::start_with(platform, "gw2").await;
    second.wait_until_ready().await;
    // Waits for longer than the duration of a lease.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(second.status().await.leases.is_empty());
    let epoch = first.status().await.leases[&LeaseRole::Reporter];
    let stopped = Instant::now();
    first.stop().await;
    wait_until(async || second.status().await.leases.len() == 3).await;
    assert!(second.status().await.leases[&LeaseRole::Reporter] > epoch);
    let took = stopped.elapsed();
    assert!(took < Duration::from_secs(2), "the handover took {took:?}");
}
