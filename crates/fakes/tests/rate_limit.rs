//! Rate limits of the platform. Guards against a log without a limit, which would hide a design
//! that needs too many appends.

mod common;

use common::{client, record};
use nutmegbay_backplane::{Cause, Log, WeightStore};
use nutmegbay_core::ids::Offset;
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};

#[tokio::test]
async fn appends_over_rate() {
    let cfg = PlatformConfig {
        appends_per_s: 0.001,
        append_burst: 5.0,
        ..PlatformConfig::default()
    };
    let platform = FakePlatform::start(cfg).await.unwrap();
    let log = client(platform.addr(), "g1");
    for n in 0..5 {
        assert_eq!(
            log.append(vec![record("a")]).await.unwrap().first,
            Offset(n)
        );
    }
    let refused = log.append(vec![record("a")]).await.unwrap_err();
    assert_eq!(refused.current_context().cause, Cause::RateLimited);
    assert_eq!(platform.read(Offset(0), 10).head, Offset(5));
    assert_eq!(platform.counts().limited_appends, 1);
}

#[tokio::test]
async fn fetches_over_rate() {
    let cfg = PlatformConfig {
        fetches_per_s: 0.001,
        fetch_burst: 1.0,
        weight_bytes: 70_000,
        ..PlatformConfig::default()
    };
    let platform = FakePlatform::start(cfg).await.unwrap();
    let store = client(platform.addr(), "g1");
    assert_eq!(store.fetch("m").await.unwrap(), 70_000);
    let refused = store.fetch("m").await.unwrap_err();
    assert_eq!(refused.current_context().cause, Cause::RateLimited);
}
