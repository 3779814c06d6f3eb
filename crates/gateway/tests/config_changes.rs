//! Guards against a published configuration that does not take effect within seconds, and against
//! an instance that serves requests under an old one.

mod support;

use nutmegbay_core::ids::RecordId;
use nutmegbay_core::record::{Body, DrainRequest, Record, SCHEMA};
use nutmegbay_proto::problem::ProblemKind;
use support::caller::Caller;
use support::{KEY, TestGateway, base, wait_until};

#[tokio::test]
async fn published_model() {
    let gateway = TestGateway::start(&[]).await;
    let mut changed = base();
    changed["models"][0]["name"] = "prose".into();
    let offset = gateway.platform.publish_base(&changed);
    let caller = gateway.caller();
    wait_until(async || {
        let answer = caller.get("/v1/models", Some(KEY)).await;
        answer.json()["data"][0]["id"] == "prose"
    })
    .await;
    assert_eq!(gateway.status().await.config, Some(offset));
}

#[tokio::test]
async fn rejected_configuration() {
    let gateway = TestGateway::start(&[]).await;
    let before = gateway.status().await.config;
    let mut invalid = base();
    invalid["limits"] = serde_json::json!({});
    let offset = gateway.platform.publish_base(&invalid);
    let admin = Caller::new(gateway.admin);
    wait_until(async || admin.get("/ready", None).await.status == 503).await;
    let status = gateway.status().await;
    assert_eq!(status.config, before);
    assert_eq!(status.config_rejected, Some(offset));
    let models = gateway.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(
        models.problem().kind,
        ProblemKind::StaleState,
        "the old configuration is still served"
    );
    gateway.platform.publish_base(&base());
    gateway.wait_until_ready().await;
}

#[tokio::test]
async fn newer_record() {
    let gateway = TestGateway::start(&[]).await;
    gateway.platform.write_record(&Record {
        id: RecordId(99),
        author: "newer build".into(),
        at_ms: 0,
        schema: SCHEMA + 1,
        body: Body::DrainRequest(DrainRequest {
            instance: "other".into(),
        }),
    });
    let admin = Caller::new(gateway.admin);
    wait_until(async || admin.get("/ready", None).await.status == 503).await;
    let models = gateway.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(models.problem().kind, ProblemKind::StaleState);
    wait_until(async || gateway.status().await.leases.is_empty()).await;
}

#[tokio::test]
async fn requested_drain() {
    let gateway = TestGateway::start(&[]).await;
    gateway.platform.request_drain("gw1");
    let admin = Caller::new(gateway.admin);
    wait_until(async || admin.get("/ready", None).await.status == 503).await;
}
