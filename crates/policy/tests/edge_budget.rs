//! Guards against retries that exceed the budget in the sum over all instances.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::budget::{RetryShare, SharedRetryBudget};

const TERMS: SharedRetryBudget = SharedRetryBudget {
    ratio: 0.2,
    slack: 54,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Every first request fails at every instance: the sum of retries must not exceed the bound in any
/// window.
#[test]
fn retry_storm() {
    let instances = 4;
    let mut shares: Vec<_> = (0..instances).map(|_| RetryShare::new(TERMS)).collect();
    let mut arrivals = Vec::new();
    for step in 0..3_000_u64 {
        let now = at(step * 10);
        for share in &mut shares {
            share.record_first(now);
            arrivals.push((now, share.try_retry(now, instances)));
        }
    }
    for start in (0..20_000).step_by(50) {
        let inside = arrivals
            .iter()
            .filter(|(now, _)| *now >= at(start) && *now < at(start + 10_000));
        let (firsts, retries) = inside.fold((0, 0), |(firsts, retries), (_, retried)| {
            (firsts + 1, retries + u32::from(*retried))
        });
        let bound = 0.2 * f64::from(firsts) + 54.0;
        assert!(
            f64::from(retries) <= bound,
            "{retries} of {bound} from {start} ms"
        );
    }
}

/// Instances that have just joined are not known to the others yet: twice as many as are known must
/// stay within the budget in sum.
#[test]
fn joining_instances() {
    let mut sum = 0;
    for _ in 0..8 {
        let mut share = RetryShare::new(TERMS);
        while share.try_retry(at(0), 4) {
            sum += 1;
        }
    }
    assert!(sum <= 54, "{sum} retries without a first request");
}

#[test]
fn window_expires() {
    let mut share = RetryShare::new(TERMS);
    while share.try_retry(at(0), 1) {}
    assert!(!share.try_retry(at(9_900), 1));
    assert!(share.try_retry(at(11_000), 1));
}

/// A reload that changes the bound must not reset the counts.
#[test]
fn changed_terms() {
    let mut share = RetryShare::new(TERMS);
    while share.try_retry(at(0), 1) {}
    share.set_budget(SharedRetryBudget { slack: 56, ..TERMS });
    let mut more = 0;
    while share.try_retry(at(1), 1) {
        more += 1;
    }
    assert!(more <= 2, "{more} more retries");
}
