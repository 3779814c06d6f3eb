//! Guards against peers and operators that cannot bring a cut-off gateway up to date.

mod support;

use nutmegbay_core::ids::Offset;
use nutmegbay_core::replica::Replica;
use nutmegbay_core::snapshot::ReplicaSnapshot;
use nutmegbay_proto::control::{GatewayControlClient, LogTail};
use support::{KEY, Site, base, until};

#[tokio::test]
async fn offered_records() {
    let site = Site::start(&[]).await;
    let client = site.control();
    let next = site.status().await.log.next;
    let tail = GatewayControlClient::tail(&client, Offset(0))
        .await
        .expect("tail");
    assert_eq!(tail.entries.len() as u64, next.0);
    // A gateway that reads an empty log is given the records.
    let other = support::platform::Platform::start().await;
    let empty = Site::start_with(other, "gw2").await;
    until(async || empty.status().await.log.fresh_ms.is_some()).await;
    let client = empty.control();
    let log = GatewayControlClient::offer(&client, tail)
        .await
        .expect("offer");
    assert_eq!(log.next, next);
    empty.until_ready().await;
    assert_eq!(
        empty.caller().get("/v1/models", Some(KEY)).await.status,
        200
    );
}

#[tokio::test]
async fn offered_gap() {
    let site = Site::start(&[]).await;
    let client = site.control();
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
async fn whole_state() {
    let site = Site::start(&[]).await;
    let client = site.control();
    let image = GatewayControlClient::snapshot(&client)
        .await
        .expect("image");
    let replica: Replica = ReplicaSnapshot::from_text(image.as_of, image.text)
        .load()
        .expect("replica");
    assert!(replica.keys().is_live("k1"));
}

#[tokio::test]
async fn start_without_log() {
    let site = Site::start(&[]).await;
    let other = support::platform::Platform::start().await;
    other.publish_base(&base());
    other.list(site.instance("gw1"));
    other.set_log_down(true);
    let started = Site::start_with(other, "gw2").await;
    started.until_ready().await;
    let caller = started.caller();
    until(async || caller.get("/v1/models", Some(KEY)).await.status == 200).await;
}
