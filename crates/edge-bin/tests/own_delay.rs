//! Guards against an edge whose own delay does not show, so that it looks like the delay of others.

mod common;

use std::time::Duration;

use common::Site;
use futures::future::join_all;
use tokio::time::{Instant, sleep};

/// Time for which callers fill the edge's link.
const FULL_TIME: Duration = Duration::from_secs(1);

/// Heads of callers alone fill a link of 50 kbit/s.
#[tokio::test(flavor = "multi_thread")]
async fn full_link() {
    let mut site = Site::start(120, 1).await;
    site.edge_mut().restart_with("limits.link-mbps=0.05\n");
    site.wait_until_ready().await;
    let share = async || site.edge().metric("nutmegbay_link_share_percent").await;
    let began = Instant::now();
    let mut shares = Vec::new();
    while began.elapsed() < FULL_TIME {
        join_all((0..10).map(|_| site.call("GET", "/any/1", &[]))).await;
        shares.push(share().await);
        sleep(Duration::from_millis(20)).await;
    }
    assert!(shares.iter().any(|share| *share >= 80), "{shares:?}");
    assert!(site.edge().metric("nutmegbay_received_bytes_per").await > 0);
    site.wait_until("the link is free", async || share().await < 80)
        .await;
}
