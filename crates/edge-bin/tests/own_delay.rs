//! Guards against an edge whose own delay does not show, and that takes it for the delay of others.

mod common;

use std::time::Duration;

use common::worker::{Action, Worker};
use common::{Edge, Site};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

/// Time for which callers fill the edge's link.
const FULL_TIME: Duration = Duration::from_secs(1);

/// Narrow link of an edge, which a few callers fill.
const NARROW_LINK: &str = "limits.link-mbps=0.05\n";

/// Sends a burst of requests, of which several a second fill [`NARROW_LINK`].
async fn send_burst(edge: &Edge) {
    join_all((0..10).map(|_| edge.call("GET", "/unrouted", &[]))).await;
    sleep(Duration::from_millis(20)).await;
}

/// Heads of callers alone fill a link of 50 kbit/s.
#[tokio::test(flavor = "multi_thread")]
async fn full_link() {
    let mut site = Site::start(120, 1).await;
    site.edge_mut().restart_with(NARROW_LINK);
    site.wait_until_ready().await;
    let share = async || site.edge().metric("nutmegbay_link_share_percent").await;
    let began = Instant::now();
    let mut shares = Vec::new();
    while began.elapsed() < FULL_TIME {
        send_burst(site.edge()).await;
        shares.push(share().await);
    }
    assert!(shares.iter().any(|share| *share >= 80), "{shares:?}");
    assert!(site.edge().metric("nutmegbay_received_bytes_per").await > 0);
    site.wait_until("the link is free", async || share().await < 80)
        .await;
}

/// A timeout while the link is full shows nothing about the upstream, which gets requests again.
#[tokio::test(flavor = "multi_thread")]
async fn blamed_upstream() {
    let mut site = Site::start(131, 2).await;
    site.edge_mut().restart_with(NARROW_LINK);
    site.wait_until_ready().await;
    let fill = async {
        loop {
            send_burst(site.edge()).await;
        }
    };
    let calls = |n: usize| site.workers[n].calls();
    let check = async {
        sleep(FULL_TIME).await;
        Worker::share_script(&site.workers, &[Action::Hang]);
        let moved = site.call("GET", "/any/1", &[]).await;
        assert_eq!(moved.status, 200);
        let before = [calls(0), calls(1)];
        join_all((0..10).map(|_| site.call("GET", "/any/1", &[]))).await;
        assert!(calls(0) > before[0] && calls(1) > before[1]);
    };
    tokio::select! {
        () = fill => {}
        () = check => {}
    }
}
