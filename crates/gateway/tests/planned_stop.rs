//! Guards against a planned stop that interrupts requests.

mod support;

use support::caller::Caller;
use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, STEP_TIMEOUT, TestGateway, wait_until};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[tokio::test]
async fn stream_in_flight() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (mut running, mut events) = sidecar.open_stream(&caller).await;
    gateway.stop.cancel();
    let admin = Caller::new(gateway.admin);
    wait_until(async || admin.get("/ready", None).await.status == 503).await;
    wait_until(async || TcpStream::connect(gateway.listen).await.is_err()).await;
    running.token("b").await;
    running.end().await;
    assert_eq!(events.token().await, "a");
    assert_eq!(events.token().await, "b");
    assert_eq!(events.rest().await.len(), 2);
    let done = timeout(STEP_TIMEOUT, gateway.done)
        .await
        .expect("the gateway did not stop in time");
    assert!(done.expect("the gateway panicked").is_ok());
}

#[tokio::test]
async fn idle_connection() {
    let gateway = TestGateway::start(&[]).await;
    let caller = gateway.caller();
    assert_eq!(caller.get("/v1/models", Some(KEY)).await.status, 200);
    gateway.stop.cancel();
    let done = timeout(STEP_TIMEOUT, gateway.done)
        .await
        .expect("the gateway did not stop in time");
    assert!(done.expect("the gateway panicked").is_ok());
}

#[tokio::test]
async fn kept_alive_connection() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (running, mut events) = sidecar.open_stream(&caller).await;
    gateway.stop.cancel();
    wait_until(async || TcpStream::connect(gateway.listen).await.is_err()).await;
    running.end().await;
    assert_eq!(events.rest().await.len(), 3);

    // The answer began before the stop, so it did not carry `connection: close`.
    let next = caller.get("/v1/models", Some(KEY)).await;
    assert_eq!(
        next.status, 200,
        "a request over a kept-alive connection was interrupted"
    );
    assert_eq!(next.headers["connection"], "close");
}
