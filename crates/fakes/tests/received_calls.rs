//! Calls that the platform received. Guards against a fake that hides a repeated order or a second
//! report with different figures for the same window.

mod common;

use common::{HttpClient, client};
use nutmegbay_backplane::{Cause, InstanceDirectory, UpstreamOrders, UsageReports};
use nutmegbay_core::ids::{Epoch, RecordId, WindowId};
use nutmegbay_core::record::{OrderCommand, Usage};
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};
use nutmegbay_proto::platform::{InstanceList, UpstreamOrder, UsageReport};
use serde_json::json;

#[tokio::test]
async fn repeated_order_not_effective() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let order = UpstreamOrder {
        order: RecordId(1),
        epoch: Epoch(4),
        command: OrderCommand::RemoveUpstream {
            upstream: "e1".into(),
        },
    };
    client(platform.addr(), "g1").order(&order).await.unwrap();
    client(platform.addr(), "g2").order(&order).await.unwrap();
    let seen: Vec<(Box<str>, Epoch, bool)> = platform
        .orders()
        .into_iter()
        .map(|seen| (seen.client, seen.order.epoch, seen.effective))
        .collect();
    assert_eq!(
        seen,
        [
            ("g1".into(), Epoch(4), true),
            ("g2".into(), Epoch(4), false)
        ]
    );
}

#[tokio::test]
async fn conflicting_report_refused() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let reports = client(platform.addr(), "g1");
    let usage = Usage {
        calls: 1,
        prompt_tokens: 2,
        completion_tokens: 3,
    };
    let mut report = UsageReport {
        window: WindowId(7),
        epoch: Epoch(4),
        accounts: [("a".into(), usage)].into(),
        late: [].into(),
    };
    reports.report(&report).await.unwrap();
    report.epoch = Epoch(5);
    reports.report(&report).await.unwrap();
    report.accounts.insert("b".into(), usage);
    let refused = reports.report(&report).await.unwrap_err();
    assert_eq!(refused.current_context().cause, Cause::Conflict);
    let accepted: Vec<bool> = platform
        .reports()
        .iter()
        .map(|seen| seen.accepted)
        .collect();
    assert_eq!(accepted, [true, true, false]);
}

#[tokio::test]
async fn instance_lag() {
    let cfg = PlatformConfig {
        instance_lag_ms: 3_600_000,
        ..PlatformConfig::default()
    };
    let platform = FakePlatform::start(cfg).await.unwrap();
    let list = json!({"instances": [{
        "name": "g1", "kind": "gateway", "serves": "", "failure_domain": "a",
        "data": "127.0.0.1:1", "control": "127.0.0.1:2", "state": "live",
    }]});
    assert_eq!(
        HttpClient::new()
            .put(platform.addr(), "/instances", &list)
            .await,
        204
    );
    let directory = client(platform.addr(), "g1");
    assert_eq!(
        directory.instances().await.unwrap(),
        InstanceList::default()
    );
    let cfg = PlatformConfig {
        instance_lag_ms: 0,
        ..PlatformConfig::default()
    };
    let platform = FakePlatform::start(cfg).await.unwrap();
    assert_eq!(
        HttpClient::new()
            .put(platform.addr(), "/instances", &list)
            .await,
        204
    );
    let directory = client(platform.addr(), "g1");
    assert_eq!(directory.instances().await.unwrap().instances.len(), 1);
}

#[tokio::test]
async fn unknown_fault_refused() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let faults = json!({"rules": [{"outtage": "cut"}]});
    assert_eq!(
        HttpClient::new()
            .put(platform.addr(), "/faults", &faults)
            .await,
        422
    );
    let faults = json!({"rules": [{"outage": "cut", "interface": "log", "client": "g1"}]});
    assert_eq!(
        HttpClient::new()
            .put(platform.addr(), "/faults", &faults)
            .await,
        204
    );
}
