//! Guards against software versions that the store lacks when all edges have ended.

mod common;

use std::time::Duration;

use common::{Site, config};
use tokio::time::timeout;

const TOPIC: &str = "keyed.nutmegbay-versions";

/// Time within which the versions are written. An edge that has to wait until no earlier stream can
/// be taken up takes 5 s.
const WRITE_TIME: Duration = Duration::from_secs(3);

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
