//! Guards against using upstreams for too long after they have left, and against removing upstreams
//! whose entries only expired during an outage of the store.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::expiry_grace::ExpiryGrace;

const OUTAGE: Duration = Duration::from_secs(5);

/// Time from the end of an outage until an instance has to keep to the list.
const CONTACT: Duration = Duration::from_secs(3);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

#[test]
fn no_outage() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(0), None, false, CONTACT);
    assert_eq!(expiry_grace.usable_until(at(0)), None);
    expiry_grace.record_list(at(900), Some(Duration::from_millis(300)), false, CONTACT);
    assert_eq!(
        expiry_grace.usable_until(at(900)),
        None,
        "no entry expires in 0.3 s"
    );
}

#[test]
fn expired_in_outage() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(11_000), Some(OUTAGE), false, CONTACT);
    assert_eq!(expiry_grace.usable_until(at(11_000)), Some(at(12_900)));
}

/// A process that had been cut off from the store saw an entry removed 0.9 s after its return, and
/// used the upstream for 2.1 s after the store had acknowledged the removal.
#[test]
fn removed_after_return() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(11_770), Some(OUTAGE), false, CONTACT);
    expiry_grace.record_list(at(12_680), None, false, CONTACT);
    let until = expiry_grace.usable_until(at(12_680)).unwrap();
    assert!(
        until <= at(11_806 + 1_700),
        "acknowledged at 11,806 ms, bound 2,000: {until:?}"
    );
    expiry_grace.record_list(at(14_000), None, false, CONTACT);
    assert_eq!(expiry_grace.usable_until(at(14_000)), None);
}

/// The first list after a restore lacks an upstream that started after the copy was made.
#[test]
fn missing_after_restore() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_list(at(0), None, false, CONTACT);
    expiry_grace.record_list(at(900), Some(Duration::from_millis(300)), true, CONTACT);
    assert_eq!(expiry_grace.usable_until(at(900)), Some(at(2_800)));
}

/// The first list comes 1.1 s after the end of a cut. Entries that were removed in the middle of the
/// cut must not be used until 3 s after its end.
#[test]
fn late_first_list() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_failure(at(8_000));
    expiry_grace.record_failure(at(9_900));
    let returned_ms = 10_000;
    expiry_grace.record_list(at(returned_ms + 1_100), Some(OUTAGE), false, CONTACT);
    let until = expiry_grace.usable_until(at(returned_ms + 1_100)).unwrap();
    assert!(
        until < MonotonicTime(at(returned_ms).0 + CONTACT),
        "{until:?}"
    );
    assert!(until > at(returned_ms + 1_900), "{until:?}");
}

/// The failures of an earlier outage do not shorten the grace of a later one.
#[test]
fn earlier_failure() {
    let mut expiry_grace = ExpiryGrace::default();
    expiry_grace.record_failure(at(1_000));
    expiry_grace.record_list(at(1_200), Some(Duration::from_millis(200)), false, CONTACT);
    expiry_grace.record_list(at(20_000), None, true, CONTACT);
    assert_eq!(expiry_grace.usable_until(at(20_000)), Some(at(21_900)));
}
