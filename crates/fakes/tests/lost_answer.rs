//! Answers lost after the call took effect. Guards against a fake that loses the call as well,
//! with which no test could catch a blind repeat.

mod common;

use std::time::Duration;

use common::{client, record};
use nutmegbay_backplane::{Cause, ClientSettings, Log, PlatformClient};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::platform::{
    FakePlatform, FaultRule, Interface, Outage, PlatformConfig, PlatformFaults,
};

fn losing(rule: FaultRule) -> PlatformFaults {
    PlatformFaults::one(FaultRule {
        interface: Some(Interface::Append),
        ..rule
    })
}

#[tokio::test]
async fn append_took_effect() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let log = client(platform.addr(), "g1");
    platform.set_faults(losing(FaultRule {
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
async fn silent_loss() {
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
    platform.set_faults(losing(rule));
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
    platform.set_faults(losing(FaultRule {
        outage: Some(Outage::Cut),
        ..FaultRule::default()
    }));
    let lost = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(lost.current_context().verdict, Verdict::MayHaveRun);
    platform.set_faults(losing(FaultRule {
        refuse: true,
        ..FaultRule::default()
    }));
    let refused = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(refused.current_context().verdict, Verdict::NotRun);
    assert_eq!(platform.read(Offset(0), 10).head, Offset(0));
}
