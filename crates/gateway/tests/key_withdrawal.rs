//! Guards against keys that still work after their withdrawal, and against keys or withdrawals that
//! affect the requests of another client account.

mod support;

use nutmegbay_proto::problem::ProblemKind;
use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway, wait_until};

#[tokio::test]
async fn open_stream() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (running, mut events) = sidecar.open_stream(&caller).await;
    assert_eq!(events.token().await, "a");
    gateway.platform.withdraw("k1");
    let rest = events.rest().await;
    assert_eq!(rest.len(), 1);
    assert!(rest[0].contains("key-withdrawn"), "{rest:?}");
    running.wait_until_closed().await;
    let answer = caller.chat(KEY, "verse").await;
    assert_eq!(answer.problem().kind, ProblemKind::InvalidKey);
}

#[tokio::test]
async fn other_key() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (mut running, mut events) = tokio::join!(
        async {
            let mut running = sidecar.next().await;
            assert_eq!(&*running.work.account, "other");
            running.accept();
            running.token("a").await;
            running
        },
        caller.stream("nb_k2_s3cret2", "verse")
    );
    assert_eq!(events.token().await, "a");
    gateway.platform.withdraw("k1");
    wait_until(async || caller.get("/v1/models", Some(KEY)).await.status == 401).await;
    running.token("b").await;
    running.end().await;
    assert_eq!(events.token().await, "b");
    assert_eq!(events.rest().await.len(), 2);
}
