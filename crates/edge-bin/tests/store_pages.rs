//! Guards against a list that is read anew from its first page whenever one call fails: where hundreds
//! of processes start at once, none of them came to its end.

mod common;

use common::Site;

#[tokio::test(flavor = "multi_thread")]
async fn refused_pages() {
    let site = Site::start(36, 3).await;
    site.store.cut_lists(3);
    let edge = site.start_edge(37, site.store_address()).await;
    let served = async || edge.call("POST", "/once/1", &[]).await.status == 200;
    site.until("the first page is used", &served).await;
    site.list_as_leaving(0);
    site.list_as_leaving(1);
    site.until("the last page is used", async || {
        served().await && !site.workers[2].requests().is_empty()
    })
    .await;
    assert_eq!(site.store.first_pages("keyed.servers"), 1);
}
