//! Guards against engines that continue to run the request of a caller that has disconnected.

mod support;

use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway};

#[tokio::test]
async fn closed_stream() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (running, events) = sidecar.open_stream(&caller).await;
    drop(events);
    running.wait_until_closed().await;
}

#[tokio::test]
async fn closed_whole_request() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let mut running = tokio::select! {
        running = sidecar.next() => running,
        _ = caller.chat(KEY, "verse") => panic!("answered before the sidecar accepted the work"),
    };
    drop(caller);
    running.accept();
    running.wait_until_closed().await;
}
