//! Guards against a list of which a part is not read: because it is read again from its first page
//! whenever a call fails, or because it ends at a page on which nothing can be decoded. If hundreds
//! of processes start at once, calls fail so often that none of them reaches the last page.

mod common;

use std::time::Duration;

use common::Site;
use serde_json::json;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn refused_pages() {
    let site = Site::start(36, 3).await;
    site.store.paginate_lists(3);
    let edge = site.start_edge(37, site.store_address()).await;
    let served = async || edge.call("POST", "/once/1", &[]).await.status == 200;
    site.wait_until("the first page is used", &served).await;
    site.list_as_draining(0);
    site.list_as_draining(1);
    site.wait_until("the last page is used", async || {
        served().await && !site.workers[2].requests().is_empty()
    })
    .await;
    assert_eq!(site.store.first_page_calls("keyed.servers"), 1);
}

/// The list ended at a page without a readable item, and the entries after it were unknown.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_page() {
    for (test, item) in [
        (
            130,
            json!({"key": "i-1", "value": "not base64", "offset": 1}),
        ),
        (132, json!({"key": "i-1", "value": 7, "offset": -1})),
    ] {
        let site = Site::start(test, 3).await;
        site.store.paginate_lists(0);
        site.store.replace_item("i-1", &item);
        let edge = site.start_edge(test + 1, site.store_address()).await;
        site.list_as_draining(0);
        site.wait_until("the last page is used", async || {
            edge.call("POST", "/once/1", &[]).await;
            !site.workers[2].requests().is_empty()
        })
        .await;
    }
}

/// A page that names no key to continue after must not be asked for without end.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_key() {
    let site = Site::start(134, 3).await;
    site.store.paginate_lists(0);
    site.store
        .replace_item("i-1", &json!({"key": 7, "value": "e30=", "offset": 1}));
    let edge = site.start_edge(135, site.store_address()).await;
    let calls = async || {
        edge.metric("nutmegbay_store_calls_total{topic=\"instances\"}")
            .await
    };
    sleep(Duration::from_secs(2)).await;
    assert!(calls().await < 20, "{} calls", calls().await);
    assert_eq!(edge.call("GET", "/any/1", &[]).await.status, 200);
    // Changes after the read of the list are followed.
    site.list_as_draining(0);
    site.list_as_started(2, 5);
    site.wait_until("a later change is used", async || {
        edge.call("POST", "/once/1", &[]).await;
        !site.workers[2].requests().is_empty()
    })
    .await;
}
