//! Guards against upstreams that leave and are used for too long, and against losing those whose
//! entries only lapsed.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::lapse::Lapse;

const AWAY: Duration = Duration::from_secs(5);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

#[test]
fn no_outage() {
    let mut lapse = Lapse::default();
    lapse.listed(at(0), None);
    assert_eq!(lapse.until(at(0)), None);
    lapse.listed(at(900), Some(Duration::from_millis(300)));
    assert_eq!(lapse.until(at(900)), None, "nothing lapses in 0.3 s");
}

#[test]
fn lapsed_in_outage() {
    let mut lapse = Lapse::default();
    lapse.listed(at(11_000), Some(AWAY));
    assert_eq!(lapse.until(at(11_000)), Some(at(12_900)));
}

/// A process that had been cut off saw an entry removed 0.9 s after its return and used the
/// upstream for 2.1 s after the store had acknowledged that it leaves.
#[test]
fn removed_after_return() {
    let mut lapse = Lapse::default();
    lapse.listed(at(11_770), Some(AWAY));
    lapse.listed(at(12_680), None);
    let until = lapse.until(at(12_680)).unwrap();
    assert!(
        until <= at(11_806 + 1_700),
        "acknowledged at 11,806 ms, bound 2,000: {until:?}"
    );
    lapse.listed(at(14_000), None);
    assert_eq!(lapse.until(at(14_000)), None);
}
