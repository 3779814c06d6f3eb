//! Guards against using upstreams for too long after they have left, and against removing upstreams
//! whose entries only expired during an outage of the store.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::expiry_grace::ExpiryGrace;

const OUTAGE: Duration = Duration::from_secs(5);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

#[test]
fn no_outage() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(0), None, false);
    assert_eq!(expiry_grace.usable_until(at(0)), None);
    expiry_grace.record_list(at(900), Some(Duration::from_millis(300)), false);
    assert_eq!(
        expiry_grace.usable_until(at(900)),
        None,
        "no entry expires in 0.3 s"
    );
}

#[test]
fn expired_in_outage() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(11_000), Some(OUTAGE), false);
    assert_eq!(expiry_grace.usable_until(at(11_000)), Some(at(12_900)));
}

/// A process that had been cut off from the store saw an entry removed 0.9 s after its return, and
/// used the upstream for 2.1 s after the store had acknowledged the removal.
#[test]
fn removed_after_return() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(11_770), Some(OUTAGE), false);
    expiry_grace.record_list(at(12_680), None, false);
    let until = expiry_grace.usable_until(at(12_680)).unwrap();
    assert!(
        until <= at(11_806 + 1_700),
        "acknowledged at 11,806 ms, bound 2,000: {until:?}"
    );
    expiry_grace.record_list(at(14_000), None, false);
    assert_eq!(expiry_grace.usable_until(at(14_000)), None);
}

/// The first list after a restore lacks an upstream that started after the copy was made.
#[test]
fn missing_after_restore() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(0), None, false);
    expiry_grace.record_list(at(900), Some(Duration::from_millis(300)), true);
    assert_eq!(expiry_grace.usable_until(at(900)), Some(at(2_800)));
}
