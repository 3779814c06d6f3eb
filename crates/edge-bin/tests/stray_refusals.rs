//! Guards against an earlier refusal that a worker sends once more on a kept connection, and that is
//! taken for the answer to a request which runs.

mod common;

use common::Site;
use common::worker::Action;

/// Sends of one request at most, if all are refused.
const MAX_SENDS: usize = 4;

/// Refuses a request on each send, so that the caller gets a 503 and a connection is kept.
async fn refuse_request(site: &Site, refusal: Action) {
    site.workers[0].script(&[refusal; MAX_SENDS]);
    let response = site.call("POST", "/once/1", &[]).await;
    assert_eq!((response.status, site.runs()), (503, 0));
}

/// The refusal names the request that it belongs to.
#[tokio::test(flavor = "multi_thread")]
async fn of_another_request() {
    let site = Site::start(1, 1).await;
    refuse_request(&site, Action::NotRun).await;
    site.workers[0].script(&[Action::RepeatRefusal]);
    let response = site.call("POST", "/once/2", &[]).await;
    assert_eq!((response.status, site.runs()), (200, 1));
}

/// The refusal names no request.
#[tokio::test(flavor = "multi_thread")]
async fn without_id() {
    let site = Site::start(2, 1).await;
    // The next request opens a connection, on which a response can belong to no other one.
    site.workers[0].script(&[Action::Close]);
    assert_eq!(site.call("POST", "/once/1", &[]).await.status, 502);
    site.workers[0].clear_requests();
    refuse_request(&site, Action::UnnamedRefusal).await;
    site.workers[0].script(&[Action::RepeatRefusal]);
    let response = site.call("POST", "/once/2", &[]).await;
    assert_ne!(response.status, 503, "the caller may send it again");
    assert_eq!(site.runs(), 1);
}

/// The refusal belongs to an earlier send of the same request, which the route allows to be sent
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn of_the_same_request() {
    let site = Site::start(3, 1).await;
    site.workers[0].script(&[Action::NotRun, Action::RepeatRefusal]);
    let response = site.call("GET", "/any/1", &[]).await;
    assert_eq!((response.status, site.runs()), (200, 1));
}
