//! Guards against a list that is read again from its first page whenever a call fails. If hundreds
//! of processes start at once, calls fail so often that none of them reaches the last page.

mod common;

use common::Site;

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
