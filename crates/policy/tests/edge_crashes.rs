//! Guards against requests that crash one upstream after another, and against refusing harmless
//! requests because of a crash.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::crashes::{BrokenRun, CrashHistory};

const POISON: u64 = 7;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Run at the upstream `incarnation` that was sent at `sent_ms` and broke 20 ms later.
fn run(incarnation: u64, sent_ms: u64) -> BrokenRun {
    BrokenRun {
        fingerprint: POISON,
        incarnation,
        sent_ms,
        broke_ms: sent_ms + 20,
    }
}

fn crash(crashes: &mut CrashHistory, incarnation: u64, sent_ms: u64) {
    crashes.record_broken_run(at(sent_ms + 20), run(incarnation, sent_ms), false);
    crashes.end_incarnation(incarnation);
}

#[test]
fn three_in_a_row() {
    let mut crashes = CrashHistory::default();
    crash(&mut crashes, 1, 1_000);
    crash(&mut crashes, 2, 1_100);
    assert_eq!(crashes.refused_for(POISON, at(2_000)), None);
    crash(&mut crashes, 3, 2_000);
    assert!(crashes.refused_for(POISON, at(2_100)).is_some());
    assert_eq!(crashes.refused_for(POISON + 1, at(2_100)), None);
}

/// The same upstream may crash again after its restart, as another incarnation.
#[test]
fn restarted_upstream() {
    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, incarnation * 5_000);
    }
    assert!(crashes.refused_for(POISON, at(16_000)).is_some());
}

/// All upstreams of a service crash at once while many requests with the same fingerprint wait
/// there. These runs are not consecutive.
#[test]
fn common_crash() {
    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, 1_000);
    }
    assert_eq!(crashes.refused_for(POISON, at(1_100)), None);
}

/// Broken connections of upstreams that keep running are no crashes.
#[test]
fn broken_connections() {
    let mut crashes = CrashHistory::default();
    for n in 1..=10 {
        crashes.record_broken_run(at(n * 1_000), run(n, n * 1_000), false);
    }
    assert_eq!(crashes.refused_for(POISON, at(11_000)), None);
}

#[test]
fn good_answer() {
    let mut crashes = CrashHistory::default();
    crash(&mut crashes, 1, 1_000);
    crash(&mut crashes, 2, 2_000);
    crashes.record_success(POISON);
    crash(&mut crashes, 3, 3_000);
    assert_eq!(crashes.refused_for(POISON, at(3_100)), None);
}

/// A request is not refused forever: one run is allowed after the refusal period, and one more
/// crash is enough to refuse it again.
#[test]
fn second_chance() {
    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, incarnation * 1_000);
    }
    assert!(crashes.refused_for(POISON, at(100_000)).is_some());
    assert_eq!(crashes.refused_for(POISON, at(124_000)), None);
    crash(&mut crashes, 4, 124_000);
    assert!(crashes.refused_for(POISON, at(125_000)).is_some());
}

/// A run that another instance reports counts once, however often the report arrives.
#[test]
fn repeated_report() {
    let mut crashes = CrashHistory::default();
    for _ in 0..5 {
        crashes.record_broken_run(at(2_000), run(1, 1_000), true);
    }
    assert_eq!(crashes.refused_for(POISON, at(2_000)), None);
}

/// A request that keeps breaking at upstreams that keep running must not use more and more memory.
#[test]
fn bounded_runs() {
    let mut crashes = CrashHistory::default();
    for n in 0..1_000 {
        crashes.record_broken_run(at(n * 100), run(7, n * 100), false);
    }
    assert_eq!(crashes.end_incarnation(7).len(), 16);
}
