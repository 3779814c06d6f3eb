//! Guards against requests that are cut off by a planned stop, and against refusing requests that
//! would have ended before it.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::planned_stop::{RecentDurations, can_finish};

const LIMIT: Duration = Duration::from_secs(15);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(after: Duration) -> MonotonicTime {
    MonotonicTime(after)
}

/// Returns the durations of 1,000 requests, of which `slow` take 5 s and the others 20 ms.
fn durations(slow: u32) -> RecentDurations {
    let mut durations = RecentDurations::default();
    for n in 0..1_000 {
        durations.record(ms(if n < slow { 5_000 } else { 20 }), at(ms(0)));
    }
    durations
}

/// A limit of 15 s must not refuse what usually takes 20 ms.
#[test]
fn short_request() {
    for is_repeatable in [true, false] {
        let usual = durations(0).usual(is_repeatable);
        assert!(can_finish(usual, LIMIT, ms(100)));
        assert!(!can_finish(usual, LIMIT, ms(20)));
    }
}

#[test]
fn long_request() {
    for is_repeatable in [true, false] {
        let usual = durations(1_000).usual(is_repeatable);
        assert!(!can_finish(usual, LIMIT, ms(6_000)));
        assert!(can_finish(usual, LIMIT, ms(10_000)));
    }
}

/// A request ends at its limit, whatever such requests usually take.
#[test]
fn short_limit() {
    let usual = durations(1_000).usual(false);
    assert!(can_finish(usual, ms(500), ms(500)));
    assert!(!can_finish(usual, ms(500), ms(400)));
}

/// A request that may run only once is not passed on if one in fifty takes too long.
#[test]
fn once_only() {
    let durations = durations(20);
    assert!(can_finish(durations.usual(true), LIMIT, ms(3_000)));
    assert!(!can_finish(durations.usual(false), LIMIT, ms(3_000)));
}

/// Without a request to compare with, only the limit tells when one ends.
#[test]
fn nothing_recorded() {
    let usual = RecentDurations::default().usual(true);
    assert_eq!(usual, None);
    assert!(!can_finish(usual, LIMIT, ms(7_000)));
    assert!(can_finish(usual, LIMIT, LIMIT));
}

/// What requests took long ago, in an outage for example, counts less and less.
#[test]
fn old_durations() {
    let mut durations = durations(1_000);
    for minute in 1..=10 {
        for _ in 0..1_000 {
            durations.record(ms(20), at(Duration::from_mins(minute)));
        }
    }
    assert!(can_finish(durations.usual(false), LIMIT, ms(100)));
}

/// Durations beyond every class are usable.
#[test]
fn extreme_durations() {
    let mut durations = RecentDurations::default();
    for took in [Duration::ZERO, Duration::MAX] {
        durations.record(took, at(Duration::MAX));
        assert!(durations.usual(false).is_some());
    }
    assert!(!can_finish(durations.usual(false), LIMIT, ms(7_000)));
}
