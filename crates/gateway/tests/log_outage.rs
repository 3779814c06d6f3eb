//! Guards against an instance that accepts keys although it cannot learn of their withdrawal, and
//! against an outage of the log that interrupts service although no instance can miss a record.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::InstanceKind;
use nutmegbay_proto::problem::ProblemKind;
use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway, instance, wait_until};
use tokio::net::TcpListener;

/// Returns an address on which nothing listens, for a peer that is unreachable.
async fn unreachable_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    listener.local_addr().expect("address")
}

#[tokio::test]
async fn outage_for_all() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    gateway.platform.set_down(true);
    wait_until(async || &*gateway.status().await.freshness == "outage").await;
    // Waits for longer than an instance serves keyed requests without proof that it is current.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = gateway.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(answer.status, 200);
    gateway.platform.set_down(false);
    wait_until(async || &*gateway.status().await.freshness == "fresh").await;
}

#[tokio::test]
async fn isolated_instance() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let unreachable = unreachable_addr().await;
    gateway
        .platform
        .list_instance(instance("gw2", InstanceKind::Gateway, "", unreachable));
    let caller = gateway.caller();
    let (mut running, mut events) = sidecar.open_stream(&caller).await;
    assert_eq!(events.token().await, "a");
    // The instance list is read every 250 ms; waits until the gateway has the new peer.
    tokio::time::sleep(Duration::from_millis(600)).await;
    gateway.platform.set_down(true);
    let keep = async {
        loop {
            running.keep_alive().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    };
    let rest = tokio::select! {
        () = keep => unreachable!("the keep-alives do not end"),
        rest = events.rest() => rest,
    };
    assert_eq!(rest.len(), 1);
    assert!(rest[0].contains("stale-state"), "{rest:?}");
    let problem = caller.get("/v1/models", Some(KEY)).await.problem();
    assert_eq!(problem.kind, ProblemKind::StaleState);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(problem.retry_after_s, Some(1));
    gateway.platform.set_down(false);
    wait_until(async || caller.get("/v1/models", Some(KEY)).await.status == 200).await;
}

#[tokio::test]
async fn open_route() {
    let sidecar = ScriptedSidecar::service("s1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let unreachable = unreachable_addr().await;
    gateway
        .platform
        .list_instance(instance("gw2", InstanceKind::Gateway, "", unreachable));
    tokio::time::sleep(Duration::from_millis(600)).await;
    gateway.platform.set_down(true);
    wait_until(async || &*gateway.status().await.freshness == "isolated").await;
    let caller = gateway.caller();
    assert_eq!(caller.get("/orders/1", Some(KEY)).await.status, 503);
    let answer = caller.get("/hours", None).await;
    assert_eq!(&answer.body[..], b"done for nobody");
}

#[tokio::test]
async fn peer_with_log() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    // The second gateway uses another platform, which becomes unavailable after its start.
    let other = support::platform::InMemoryPlatform::start().await;
    for record in gateway.platform.records() {
        other.write_record(&record);
    }
    other.list_instance(gateway.instance("gw1"));
    let isolated = TestGateway::start_with(other, "gw2").await;
    isolated.wait_until_ready().await;
    wait_until(async || isolated.status().await.log.fresh_ms.is_some()).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    isolated.platform.set_down(true);
    gateway.platform.withdraw("k1");
    let caller = isolated.caller();
    wait_until(async || caller.get("/v1/models", Some(KEY)).await.status == 401).await;
    // It stays current with the records of its peer.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = caller.get("/v1/models", Some("nb_k2_s3cret2")).await;
    assert_eq!(answer.status, 200);
}
