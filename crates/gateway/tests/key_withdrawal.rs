//! Guards against keys that go on working after their withdrawal, and against keys that reach
//! another client account's requests.

mod support;

use nutmegbay_proto::problem::ProblemKind;
use support::sidecar::Sidecar;
use support::{KEY, Site, until};

#[tokio::test]
async fn open_stream() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
    let (running, mut events) = sidecar.streaming(&caller).await;
    assert_eq!(events.token().await, "a");
    site.platform.withdraw("k1");
    let rest = events.rest().await;
    assert_eq!(rest.len(), 1);
    assert!(rest[0].contains("key-withdrawn"), "{rest:?}");
    running.closed().await;
    let answer = caller.chat(KEY, "verse").await;
    assert_eq!(answer.problem().kind, ProblemKind::InvalidKey);
}

#[tokio::test]
async fn other_key() {
    let sidecar = Sidecar::engine("e1").await;
    let site = Site::start(&[&sidecar]).await;
    let caller = site.caller();
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
    site.platform.withdraw("k1");
    until(async || caller.get("/v1/models", Some(KEY)).await.status == 401).await;
    running.token("b").await;
    running.end().await;
    assert_eq!(events.token().await, "b");
    assert_eq!(events.rest().await.len(), 2);
}
