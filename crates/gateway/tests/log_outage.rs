//! Guards against keys that are served by an instance which cannot know of their withdrawal, and
//! against an outage of the log that stops service without need.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::InstanceKind;
use nutmegbay_proto::problem::ProblemKind;
use support::sidecar::Sidecar;
use support::{KEY, Site, instance, until};
use tokio::net::TcpListener;

/// Address of a peer that never answers: nothing listens there any more.
async fn silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    listener.local_addr().expect("address")
}

#[tokio::test]
async fn outage_for_all() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    site.platform.set_down(true);
    until(async || &*site.status().await.freshness == "outage").await;
    // Longer than an instance that is not sure keeps on serving.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = site.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(answer.status, 200);
    site.platform.set_down(false);
    until(async || &*site.status().await.freshness == "fresh").await;
}

#[tokio::test]
async fn cut_off_instance() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let silent = silent().await;
    site.platform
        .list(instance("gw2", InstanceKind::Gateway, "", silent));
    let caller = site.caller();
    let (mut running, mut events) = sidecar.streaming(&caller).await;
    assert_eq!(events.token().await, "a");
    // The list of instances is read every 250 ms, before the platform goes away.
    tokio::time::sleep(Duration::from_millis(600)).await;
    site.platform.set_down(true);
    let keep = async {
        loop {
            running.keep_alive().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    };
    let rest = tokio::select! {
        () = keep => unreachable!("keep-alives do not end"),
        rest = events.rest() => rest,
    };
    assert_eq!(rest.len(), 1);
    assert!(rest[0].contains("stale-state"), "{rest:?}");
    let problem = caller.get("/v1/models", Some(KEY)).await.problem();
    assert_eq!(problem.kind, ProblemKind::StaleState);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(problem.retry_after_s, Some(1));
    site.platform.set_down(false);
    until(async || caller.get("/v1/models", Some(KEY)).await.status == 200).await;
}

#[tokio::test]
async fn open_route() {
    let sidecar = Sidecar::service("s1").await;
    let site = Site::start(&[&sidecar]).await;
    let silent = silent().await;
    site.platform
        .list(instance("gw2", InstanceKind::Gateway, "", silent));
    tokio::time::sleep(Duration::from_millis(600)).await;
    site.platform.set_down(true);
    until(async || &*site.status().await.freshness == "isolated").await;
    let caller = site.caller();
    assert_eq!(caller.get("/orders/1", Some(KEY)).await.status, 503);
    let answer = caller.get("/hours", None).await;
    assert_eq!(&answer.body[..], b"done for nobody");
}

#[tokio::test]
async fn peer_with_log() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    // The second gateway reads another platform, which goes away after its start.
    let other = support::platform::Platform::start().await;
    for record in site.platform.records() {
        other.write_record(&record);
    }
    other.list(site.instance("gw1"));
    let cut_off = Site::start_with(other, "gw2").await;
    cut_off.until_ready().await;
    until(async || cut_off.status().await.log.fresh_ms.is_some()).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    cut_off.platform.set_down(true);
    site.platform.withdraw("k1");
    let caller = cut_off.caller();
    until(async || caller.get("/v1/models", Some(KEY)).await.status == 401).await;
    // It stays current through its peer.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = caller.get("/v1/models", Some("nb_k2_s3cret2")).await;
    assert_eq!(answer.status, 200);
}
