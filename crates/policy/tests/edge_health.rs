//! Guards against requests sent to upstreams that do not answer, and against avoiding one for good.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::health::{Health, Outcome};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

#[test]
fn dark_upstream() {
    let mut health = Health::default();
    assert!(health.note(at(0), Outcome::Unreachable));
    assert!(health.is_avoided(at(200)));
    assert!(!health.is_avoided(at(400)), "it must be tried again");
}

/// While one request tries an upstream, others stay away.
#[test]
fn single_probe() {
    let mut health = Health::default();
    health.note(at(0), Outcome::Unreachable);
    health.sent();
    assert!(health.is_avoided(at(400)));
    health.ended_unknown();
    assert!(
        !health.is_avoided(at(400)),
        "a caller that left must not block the next try"
    );
}

#[test]
fn growing_avoidance() {
    let mut health = Health::default();
    for n in 0..10 {
        health.note(at(n * 3_000), Outcome::Unreachable);
    }
    assert!(health.is_avoided(at(27_000 + 2_300)));
    assert!(
        !health.is_avoided(at(27_000 + 2_500)),
        "an upstream is back after some seconds"
    );
    health.note(at(30_000), Outcome::Good);
    assert!(!health.is_avoided(at(30_000)));
}

/// An upstream with good health checks that fails two of five requests must stand out.
#[test]
fn grey_upstream() {
    let (mut grey, mut sound) = (Health::default(), Health::default());
    for n in 0..50 {
        let failed = n % 5 < 2;
        grey.note(
            at(n * 50),
            if failed {
                Outcome::Faulty
            } else {
                Outcome::Good
            },
        );
        sound.note(at(n * 50), Outcome::Good);
    }
    assert!(grey.failure_rate(at(2_500)) > 0.2);
    assert!(sound.failure_rate(at(2_500)) < 0.01);
    assert!(
        grey.failure_rate(at(20_000)) < 0.02,
        "it must get another chance"
    );
}

/// An upstream that changes its role refuses work; that is no failure of its requests.
#[test]
fn refusing_upstream() {
    let mut health = Health::default();
    health.note(at(0), Outcome::Refusing);
    assert!(health.is_avoided(at(100)));
    assert!(health.failure_rate(at(100)) < 0.01);
}
