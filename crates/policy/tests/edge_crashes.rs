//! Guards against requests that crash one upstream after the other, and against harmless requests
//! that are blamed for a crash.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::crashes::{BrokenRun, Crashes};

const POISON: u64 = 7;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// A run at upstream `life` that was sent at `sent_ms` and broke 20 ms later.
fn run(life: u64, sent_ms: u64) -> BrokenRun {
    BrokenRun {
        fingerprint: POISON,
        life,
        sent_ms,
        broke_ms: sent_ms + 20,
    }
}

fn crash(crashes: &mut Crashes, life: u64, sent_ms: u64) {
    crashes.broke(at(sent_ms + 20), run(life, sent_ms), false);
    crashes.life_over(life);
}

#[test]
fn three_in_a_row() {
    let mut crashes = Crashes::default();
    crash(&mut crashes, 1, 1_000);
    crash(&mut crashes, 2, 1_100);
    assert_eq!(crashes.refused_for(POISON, at(2_000)), None);
    crash(&mut crashes, 3, 2_000);
    assert!(crashes.refused_for(POISON, at(2_100)).is_some());
    assert_eq!(crashes.refused_for(POISON + 1, at(2_100)), None);
}

/// The same upstream may crash again after its restart: that is another life.
#[test]
fn restarted_upstream() {
    let mut crashes = Crashes::default();
    for life in 1..=3 {
        crash(&mut crashes, life, life * 5_000);
    }
    assert!(crashes.refused_for(POISON, at(16_000)).is_some());
}

/// All upstreams of a service crash at once while many requests with the same path wait there.
#[test]
fn common_crash() {
    let mut crashes = Crashes::default();
    for life in 1..=3 {
        crash(&mut crashes, life, 1_000);
    }
    assert_eq!(crashes.refused_for(POISON, at(1_100)), None);
}

/// Upstreams that break connections and live on crash nothing.
#[test]
fn broken_connections() {
    let mut crashes = Crashes::default();
    for n in 1..=10 {
        crashes.broke(at(n * 1_000), run(n, n * 1_000), false);
    }
    assert_eq!(crashes.refused_for(POISON, at(11_000)), None);
}

#[test]
fn good_answer() {
    let mut crashes = Crashes::default();
    crash(&mut crashes, 1, 1_000);
    crash(&mut crashes, 2, 2_000);
    crashes.served(POISON);
    crash(&mut crashes, 3, 3_000);
    assert_eq!(crashes.refused_for(POISON, at(3_100)), None);
}

/// A request is not blamed for good: one run is allowed after a while, and one more crash is enough
/// to refuse it again.
#[test]
fn second_chance() {
    let mut crashes = Crashes::default();
    for life in 1..=3 {
        crash(&mut crashes, life, life * 1_000);
    }
    assert!(crashes.refused_for(POISON, at(100_000)).is_some());
    assert_eq!(crashes.refused_for(POISON, at(124_000)), None);
    crash(&mut crashes, 4, 124_000);
    assert!(crashes.refused_for(POISON, at(125_000)).is_some());
}

/// What another instance saw counts, once, however often it is heard.
#[test]
fn repeated_report() {
    let mut crashes = Crashes::default();
    for _ in 0..5 {
        crashes.broke(at(2_000), run(1, 1_000), true);
    }
    assert_eq!(crashes.refused_for(POISON, at(2_000)), None);
}

/// A request that breaks again and again at upstreams that live on takes no more room for it.
#[test]
fn bounded_runs() {
    let mut crashes = Crashes::default();
    for n in 0..1_000 {
        crashes.broke(at(n * 100), run(7, n * 100), false);
    }
    assert_eq!(crashes.life_over(7).len(), 16);
}
