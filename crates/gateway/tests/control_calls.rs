//! Guards against an isolated gateway that peers and operators cannot bring up to date.

mod support;

use nutmegbay_core::ids::Offset;
use nutmegbay_core::replica::Replica;
use nutmegbay_core::snapshot::ReplicaSnapshot;
use nutmegbay_proto::control::{GatewayControlClient, LogTail};
use support::{KEY, TestGateway, base, wait_until};

#[tokio::test]
async fn offered_records() {
    let gateway = TestGateway::start(&[]).await;
    let client = gateway.control();
    let next = gateway.status().await.log.next;
    let tail = GatewayControlClient::tail(&client, Offset(0))
        .await
        .expect("tail");
    assert_eq!(tail.entries.len() as u64, next.0);
    // Offers the records to a gateway whose own log is empty.
    let other = support::platform::InMemoryPlatform::start().await;
    let empty = TestGateway::start_with(other, "gw2").await;
    wait_until(async || empty.status().await.log.fresh_ms.is_some()).await;
    let client = empty.control();
    let log = GatewayControlClient::offer(&client, tail)
        .await
        .expect("offer");
    assert_eq!(log.next, next);
    empty.wait_until_ready().await;
    assert_eq!(
        empty.caller().get("/v1/models", Some(KEY)).await.status,
        200
    );
}

#[tokio::test]
async fn offered_gap() {
    let gateway = TestGateway::start(&[]).await;
    let client = gateway.control();
    let mut tail = GatewayControlClient::tail(&client, Offset(0))
        .await
        .expect("tail");
    let log = tail.log;
    for entry in &mut tail.entries {
        entry.offset = Offset(entry.offset.0 + 100);
    }
    let tail = LogTail { log, ..tail };
    let after = GatewayControlClient::offer(&client, tail)
        .await
        .expect("offer");
    assert_eq!(after.next, log.next);
}

#[tokio::test]
async fn replica_snapshot() {
    let gateway = TestGateway::start(&[]).await;
    let client = gateway.control();
    let snapshot = GatewayControlClient::snapshot(&client)
        .await
        .expect("snapshot");
    let replica: Replica = ReplicaSnapshot::from_text(snapshot.as_of, snapshot.text)
        .load()
        .expect("replica");
    assert!(replica.keys().is_live("k1"));
}

#[tokio::test]
async fn start_without_log() {
    let gateway = TestGateway::start(&[]).await;
    let other = support::platform::InMemoryPlatform::start().await;
    other.publish_base(&base());
    other.list_instance(gateway.instance("gw1"));
    other.set_log_down(true);
    let started = TestGateway::start_with(other, "gw2").await;
    started.wait_until_ready().await;
    let caller = started.caller();
    wait_until(async || caller.get("/v1/models", Some(KEY)).await.status == 200).await;
}
