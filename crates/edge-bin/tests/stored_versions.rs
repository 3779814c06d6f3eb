//! Guards against software versions that the store lacks when all edges have ended,
//! and against taking the known versions for all there are.

mod common;

use std::time::Duration;

use common::store::Fault;
use common::{Site, config};
use tokio::time::{sleep, timeout};

const TOPIC: &str = "keyed.nutmegbay-versions";

/// Time within which the versions are written. An edge that has to wait until no earlier stream can
/// be taken up takes 5 s.
const WRITE_TIME: Duration = Duration::from_secs(3);

/// Age from which a list of instances is out of date.
const MAX_LIST_AGE: Duration = Duration::from_secs(4);

/// Waits until the newest set was written in `era`.
async fn wait_for_set(site: &Site, era: u64) {
    let written = site.wait_until("the versions are written", async || {
        let newest = site.store.values(TOPIC).pop();
        newest.is_some_and(|set| set["era"] == era)
    });
    let written = timeout(WRITE_TIME, written).await;
    assert!(
        written.is_ok(),
        "not written in time: {:?}",
        site.store.values(TOPIC)
    );
}

/// The store is new, or was restored before anything was written.
#[tokio::test(flavor = "multi_thread")]
async fn unwritten_topic() {
    let site = Site::start_without_config(132, 1).await;
    site.store.restore(&site.store.copy());
    site.store.put("keyed.op", "config", &config(1, &["k1"]));
    site.wait_until_ready().await;
    wait_for_set(&site, 1).await;
}

/// The store was restored from a copy without what had been written.
#[tokio::test(flavor = "multi_thread")]
async fn lost_set() {
    let site = Site::start_without_config(133, 1).await;
    let copy = site.store.copy();
    site.store.put("keyed.op", "config", &config(1, &["k1"]));
    site.wait_until_ready().await;
    wait_for_set(&site, 0).await;
    site.store.restore_and_rewrite(&copy);
    assert!(site.store.values(TOPIC).is_empty());
    wait_for_set(&site, 1).await;
}

/// All edges see a version at about the same time. One of them writes it.
#[tokio::test(flavor = "multi_thread")]
async fn several_writers() {
    let site = Site::start(136, 2).await;
    let others = [137, 138, 139].map(|n| site.launch_edge(n, site.store_address()));
    for edge in &others {
        site.wait_until("it serves", async || {
            edge.call("GET", "/any/1", &[]).await.status == 200
        })
        .await;
    }
    sleep(WRITE_TIME).await;
    assert_eq!(site.store.values(TOPIC).len(), 1);
    site.list_version(1, "v2");
    sleep(WRITE_TIME).await;
    assert_eq!(site.store.values(TOPIC).len(), 2);
}

/// While the list is out of date, other edges may use versions that it lacks.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_list() {
    let site = Site::start(154, 2).await;
    site.list_version(0, "v1");
    site.list_version(1, "v1");
    wait_for_set(&site, 0).await;
    let take_up = async || {
        let unknown = [("Last-Event-Id", "1"), ("Resumes", "unknown-1")];
        site.call("POST", "/stream/1", &unknown).await.status
    };
    assert_eq!(take_up().await, 200, "one version alone is in use");
    site.store.set_fault(Fault::Refuse);
    sleep(MAX_LIST_AGE + WRITE_TIME).await;
    assert_eq!(take_up().await, 503);
    site.store.set_fault(Fault::None);
    site.wait_until("the list is read again", async || take_up().await == 200)
        .await;
}

/// A set that cannot be read may name other versions.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_set() {
    let site = Site::start_without_config(134, 1).await;
    site.store.put_bytes(TOPIC, "desk", b"{");
    site.store.put("keyed.op", "config", &config(1, &["k1"]));
    site.list_version(0, "v1");
    site.wait_until_ready().await;
    let taken_up = [("Last-Event-Id", "1"), ("Resumes", "unknown-1")];
    let response = site.call("POST", "/stream/1", &taken_up).await;
    assert_eq!(response.status, 503);
}
