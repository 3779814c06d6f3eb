//! Guards against engines that work for callers who have hung up.

mod support;

use support::sidecar::Sidecar;
use support::{KEY, Site};

#[tokio::test]
async fn closed_stream() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let (running, events) = sidecar.streaming(&caller).await;
    drop(events);
    running.closed().await;
}

#[tokio::test]
async fn closed_whole_request() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let mut running = tokio::select! {
        running = sidecar.next() => running,
        _ = caller.chat(KEY, "verse") => panic!("an answer without work"),
    };
    drop(caller);
    running.accept();
    running.closed().await;
}
