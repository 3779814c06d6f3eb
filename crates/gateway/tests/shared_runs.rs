//! Guards against duplicate work when a caller repeats a request that is still running, and against
//! a run that is shared between client accounts.

mod support;

use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway};

#[tokio::test]
async fn identical_requests() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (mut running, mut first) = sidecar.open_stream(&caller).await;
    let mut second = caller.stream(KEY, "verse").await;
    assert_eq!(first.token().await, "a");
    assert_eq!(second.token().await, "a");
    // The run continues for the second caller.
    drop(first);
    running.token("b").await;
    running.end().await;
    assert_eq!(second.token().await, "b");
    assert_eq!(second.rest().await.len(), 2);
    assert!(!sidecar.has_work().await);
}

#[tokio::test]
async fn other_account() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let serve = async {
        for text in ["a", "b"] {
            let mut running = sidecar.next().await;
            running.accept();
            running.token(text).await;
            running.end().await;
        }
    };
    let ask = async {
        tokio::join!(
            caller.chat(KEY, "verse"),
            caller.chat("nb_k2_s3cret2", "verse")
        )
    };
    let ((), (first, second)) = tokio::join!(serve, ask);
    assert_ne!(first.body, second.body);
}
