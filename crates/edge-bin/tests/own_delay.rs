//! Guards against an edge whose own delay does not show, and that takes it for the delay of others.

mod common;

use std::time::Duration;

use common::proxy::{LinkState, Proxy};
use common::worker::{Action, Worker};
use common::{Edge, Site, config};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout};

/// Time for which callers fill the edge's link.
const FULL_TIME: Duration = Duration::from_secs(1);

/// Narrow link of an edge, which a few callers fill.
const NARROW_LINK: &str = "limits.link-mbps=0.1\n";

/// Time that a call to a store behind a slow link takes in each direction. A whole call takes
/// longer than an edge waits for a store that is in order.
const STORE_DELAY: Duration = Duration::from_millis(1_200);

/// Sends a burst of requests, of which several a second fill [`NARROW_LINK`].
async fn send_burst(edge: &Edge) {
    join_all((0..10).map(|_| edge.call("GET", "/unrouted", &[]))).await;
    sleep(Duration::from_millis(20)).await;
}

/// Heads of callers alone fill a link of 100 kbit/s.
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

/// The answer of the only upstream arrives while the edge does not run.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_process() {
    let site = Site::start(127, 1).await;
    for _ in 0..3 {
        site.workers[0].script(&[Action::SlowPrefill]);
        let calls = site.calls();
        let stop = async {
            site.wait_until("the request is sent", async || site.calls() > calls)
                .await;
            site.signal("STOP");
            sleep(Duration::from_millis(1_100)).await;
            site.signal("CONT");
        };
        let (response, ()) = tokio::join!(site.call("GET", "/any/1", &[]), stop);
        assert_eq!(response.status, 200);
        assert_eq!(site.calls(), calls + 1);
    }
}

/// While an edge's own link is full, calls to a store in order take longer than usual.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_store() {
    let site = Site::start(128, 1).await;
    let own_store = site.store_address();
    let listen = std::net::SocketAddr::new(site.address(129), own_store.port());
    let proxy = Proxy::start(listen, own_store).await;
    let mut edge = site.start_edge(130, listen).await;
    // Otherwise the edge learns of changes from the other one.
    site.signal("KILL");
    edge.restart_with(NARROW_LINK);
    site.wait_until("it serves", async || {
        edge.call("GET", "/any/1", &[]).await.status == 200
    })
    .await;
    proxy.set(LinkState::Delayed(STORE_DELAY));
    let failures = async || edge.metric("nutmegbay_store_failures_total").await;

    let before = failures().await;
    site.wait_until("calls fail while the link is not full", async || {
        failures().await > before
    })
    .await;

    let is_applied = async {
        while edge.metric("nutmegbay_config_version").await < 2 {
            send_burst(&edge).await;
        }
    };
    let publish = async {
        for _ in 0..100 {
            send_burst(&edge).await;
        }
        site.store.put("keyed.op", "config", &config(2, &["k1"]));
    };
    let (applied, ()) = tokio::join!(timeout(Duration::from_secs(15), is_applied), publish);
    assert!(applied.is_ok(), "the change is not in force");
}
