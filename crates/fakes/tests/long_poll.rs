//! Long-poll reads. Guards against reads that miss an append, and against a waiting reader that
//! still receives records after an outage began.

mod common;

use std::time::Duration;

use common::{client, record, wait_until, within_deadline};
use nutmegbay_backplane::{Cause, Log};
use nutmegbay_core::ids::Offset;
use nutmegbay_fakes::platform::{
    FakePlatform, FaultRule, Interface, Outage, PlatformConfig, PlatformFaults,
};

#[tokio::test]
async fn append_wakes_reader() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let log = client(platform.addr(), "g1");
    let read = log.read(Offset(0), 10, Duration::from_secs(20));
    let append = async {
        wait_until(|| platform.server().connections() == 1).await;
        platform.append(vec![record("a")]);
    };
    let (read, ()) = within_deadline(async { tokio::join!(read, append) }).await;
    assert_eq!(read.unwrap().records.len(), 1);
}

#[tokio::test]
async fn empty_after_timeout() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let log = client(platform.addr(), "g1");
    let read = log
        .read(Offset(0), 10, Duration::from_millis(20))
        .await
        .unwrap();
    assert!(read.records.is_empty());
    assert_eq!(read.head, Offset(0));
}

#[tokio::test]
async fn outage_ends_wait() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let cut = FaultRule {
        interface: Some(Interface::Log),
        client: Some("g1".into()),
        outage: Some(Outage::Cut),
        ..FaultRule::default()
    };
    let log = client(platform.addr(), "g1");
    let read = log.read(Offset(0), 10, Duration::from_secs(20));
    let outage = async {
        wait_until(|| platform.server().connections() == 1).await;
        platform.set_faults(PlatformFaults::with_rule(cut));
        platform.append(vec![record("a")]);
    };
    let (read, ()) = within_deadline(async { tokio::join!(read, outage) }).await;
    assert_eq!(
        read.unwrap_err().current_context().cause,
        Cause::ConnectionLost
    );
    let other = client(platform.addr(), "g2");
    assert_eq!(
        other
            .read(Offset(0), 10, Duration::ZERO)
            .await
            .unwrap()
            .records
            .len(),
        1
    );
    assert_eq!(
        other.append(vec![record("b")]).await.unwrap().first,
        Offset(1)
    );
}
