//! Guards against duplicated work when a client repeats a request at once, and against sharing
//! between client accounts.

mod support;

use support::sidecar::Sidecar;
use support::{KEY, Site};

#[tokio::test]
async fn identical_requests() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let (mut running, mut first) = sidecar.streaming(&caller).await;
    let mut second = caller.stream(KEY, "verse").await;
    assert_eq!(first.token().await, "a");
    assert_eq!(second.token().await, "a");
    // The run goes on for the second caller.
    drop(first);
    running.token("b").await;
    running.end().await;
    assert_eq!(second.token().await, "b");
    assert_eq!(second.rest().await.len(), 2);
    assert!(!sidecar.has_work().await);
}

#[tokio::test]
async fn other_account() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
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
