//! Guards against sending requests to upstreams that do not answer, and against avoiding an
//! upstream forever.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::health::{Health, Outcome};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

#[test]
fn unresponsive_upstream() {
    let mut health = Health::default();
    assert!(health.record(at(0), Outcome::Unreachable));
    assert!(health.is_avoided(at(200)));
    assert!(!health.is_avoided(at(400)), "it must be tried again");
}

/// While one request probes an upstream, no other request is sent there.
#[test]
fn single_probe() {
    let mut health = Health::default();
    health.record(at(0), Outcome::Unreachable);
    health.record_sent();
    assert!(health.is_avoided(at(400)));
    health.record_end_without_outcome();
    assert!(
        !health.is_avoided(at(400)),
        "a caller that left must not block the next probe"
    );
}

#[test]
fn growing_avoidance() {
    let mut health = Health::default();
    for n in 0..10 {
        health.record(at(n * 3_000), Outcome::Unreachable);
    }
    assert!(health.is_avoided(at(27_000 + 2_300)));
    assert!(
        !health.is_avoided(at(27_000 + 2_500)),
        "crashed upstreams are back after some seconds"
    );
    health.record(at(30_000), Outcome::Good);
    assert!(!health.is_avoided(at(30_000)));
}

/// An upstream that fails two of five requests while its health check succeeds must show a high
/// failure rate.
#[test]
fn partial_failure() {
    let (mut failing, mut healthy) = (Health::default(), Health::default());
    for n in 0..50 {
        let failed = n % 5 < 2;
        failing.record(
            at(n * 50),
            if failed {
                Outcome::Faulty
            } else {
                Outcome::Good
            },
        );
        healthy.record(at(n * 50), Outcome::Good);
    }
    assert!(failing.failure_rate(at(2_500)) > 0.2);
    assert!(healthy.failure_rate(at(2_500)) < 0.01);
    assert!(
        failing.failure_rate(at(20_000)) < 0.02,
        "it must be tried again"
    );
}

/// An upstream that changes its role refuses work. That must not count as a failure of requests.
#[test]
fn refusing_upstream() {
    let mut health = Health::default();
    health.record(at(0), Outcome::Refusing);
    assert!(health.is_avoided(at(100)));
    assert!(health.failure_rate(at(100)) < 0.01);
}
