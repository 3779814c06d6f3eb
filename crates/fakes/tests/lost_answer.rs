//! Answers lost after the call took effect. Guards against a fake that drops the call as well: no
//! test could then detect a client that repeats calls blindly.

mod common;

use std::time::Duration;

use common::{client, record};
use nutmegbay_backplane::{Cause, ClientSettings, Log, PlatformClient};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::platform::{
    FakePlatform, FaultRule, Interface, Outage, PlatformConfig, PlatformFaults,
};

/// Returns `rule`, confined to appends, as the only fault.
fn append_faults(rule: FaultRule) -> PlatformFaults {
    PlatformFaults::with_rule(FaultRule {
        interface: Some(Interface::Append),
        ..rule
    })
}

#[tokio::test]
async fn append_takes_effect() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let log = client(platform.addr(), "g1");
    platform.set_faults(append_faults(FaultRule {
        lose_answers: 1,
        ..FaultRule::default()
    }));
    let lost = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(lost.current_context().cause, Cause::ConnectionLost);
    assert_eq!(lost.current_context().verdict, Verdict::MayHaveRun);
    assert_eq!(
        log.read(Offset(0), 10, Duration::ZERO).await.unwrap().head,
        Offset(1)
    );
    assert_eq!(
        log.append(vec![record("b")]).await.unwrap().first,
        Offset(1)
    );
    assert_eq!(platform.counts().lost_answers, 1);
}

#[tokio::test]
async fn lost_without_close() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let mut settings = ClientSettings::new(platform.addr(), "g1");
    settings.timeout = Duration::from_millis(200);
    let log = PlatformClient::new(settings);
    let rule = FaultRule {
        lose_answers: 1,
        lose_silently: true,
        ..FaultRule::default()
    };
    platform.set_faults(append_faults(rule));
    let lost = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(lost.current_context().cause, Cause::Timeout);
    assert_eq!(platform.read(Offset(0), 10).head, Offset(1));
}

#[tokio::test]
async fn outage_has_no_effect() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let log = client(platform.addr(), "g1");
    platform.set_faults(append_faults(FaultRule {
        outage: Some(Outage::Cut),
        ..FaultRule::default()
    }));
    let lost = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(lost.current_context().verdict, Verdict::MayHaveRun);
    platform.set_faults(append_faults(FaultRule {
        refuse: true,
        ..FaultRule::default()
    }));
    let refused = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(refused.current_context().verdict, Verdict::NotRun);
    assert_eq!(platform.read(Offset(0), 10).head, Offset(0));
}
