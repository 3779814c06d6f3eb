//! Guards against requests that a planned stop cuts off.

mod support;

use support::caller::Caller;
use support::sidecar::Sidecar;
use support::{KEY, STEP, Site, until};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[tokio::test]
async fn stream_in_flight() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let (mut running, mut events) = sidecar.streaming(&caller).await;
    site.stop.cancel();
    let admin = Caller::new(site.admin);
    until(async || admin.get("/ready", None).await.status == 503).await;
    until(async || TcpStream::connect(site.listen).await.is_err()).await;
    running.token("b").await;
    running.end().await;
    assert_eq!(events.token().await, "a");
    assert_eq!(events.token().await, "b");
    assert_eq!(events.rest().await.len(), 2);
    let done = timeout(STEP, site.done).await.expect("stop in time");
    assert!(done.expect("no panic").is_ok());
}

#[tokio::test]
async fn idle_connection() {
    let site = Site::start(&[]).await;
    let caller = site.caller();
    assert_eq!(caller.get("/v1/models", Some(KEY)).await.status, 200);
    site.stop.cancel();
    let done = timeout(STEP, site.done).await.expect("stop in time");
    assert!(done.expect("no panic").is_ok());
}

#[tokio::test]
async fn kept_connection() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let (running, mut events) = sidecar.streaming(&caller).await;
    site.stop.cancel();
    until(async || TcpStream::connect(site.listen).await.is_err()).await;
    running.end().await;
    assert_eq!(events.rest().await.len(), 3);

    // The answer had begun before the stop, so it could not ask the caller to close.
    let next = caller.get("/v1/models", Some(KEY)).await;
    assert_eq!(
        next.status, 200,
        "a request over the kept connection was cut"
    );
    assert_eq!(next.headers["connection"], "close");
}
