//! Guards against configurations that are not in force everywhere within seconds, and against
//! service under an old one.

mod support;

use nutmegbay_core::ids::RecordId;
use nutmegbay_core::record::{Body, DrainRequest, Record, SCHEMA};
use nutmegbay_proto::problem::ProblemKind;
use support::caller::Caller;
use support::{KEY, Site, base, until};

#[tokio::test]
async fn published_model() {
    let site = Site::start(&[]).await;
    let mut changed = base();
    changed["models"][0]["name"] = "prose".into();
    let offset = site.platform.publish_base(&changed);
    let caller = site.caller();
    until(async || {
        let answer = caller.get("/v1/models", Some(KEY)).await;
        answer.json()["data"][0]["id"] == "prose"
    })
    .await;
    assert_eq!(site.status().await.config, Some(offset));
}

#[tokio::test]
async fn rejected_configuration() {
    let site = Site::start(&[]).await;
    let before = site.status().await.config;
    let mut invalid = base();
    invalid["limits"] = serde_json::json!({});
    let offset = site.platform.publish_base(&invalid);
    let admin = Caller::new(site.admin);
    until(async || admin.get("/ready", None).await.status == 503).await;
    let status = site.status().await;
    assert_eq!(status.config, before);
    assert_eq!(status.config_rejected, Some(offset));
    let models = site.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(
        models.problem().kind,
        ProblemKind::StaleState,
        "an old configuration is served"
    );
    site.platform.publish_base(&base());
    site.until_ready().await;
}

#[tokio::test]
async fn newer_record() {
    let site = Site::start(&[]).await;
    site.platform.write_record(&Record {
        id: RecordId(99),
        author: "newer build".into(),
        at_ms: 0,
        schema: SCHEMA + 1,
        body: Body::DrainRequest(DrainRequest {
            instance: "other".into(),
        }),
    });
    let admin = Caller::new(site.admin);
    until(async || admin.get("/ready", None).await.status == 503).await;
    let models = site.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(models.problem().kind, ProblemKind::StaleState);
    until(async || site.status().await.leases.is_empty()).await;
}

#[tokio::test]
async fn requested_drain() {
    let site = Site::start(&[]).await;
    site.platform.drain("gw1");
    let admin = Caller::new(site.admin);
    until(async || admin.get("/ready", None).await.status == 503).await;
}
