//! Guards against predictions that stay wrong although first results show it.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::load::{Excess, UpstreamLoad, Usual};
use nutmegbay_policy::edge::urgency::Urgency;

const URGENCY: Urgency = Urgency::of_rank(0);

/// Mean engine time of a request.
const MEAN_MS: f64 = 15.0;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Sends a request of `cost_ms` and returns the predicted time to its first result.
fn sent(load: &mut UpstreamLoad, now: MonotonicTime, cost_ms: f64) -> f64 {
    let ahead = load.ahead(URGENCY, now, 0.0);
    load.sent(URGENCY, cost_ms, ahead)
}

#[test]
fn own_requests() {
    let mut load = UpstreamLoad::new(10.0);
    assert!((sent(&mut load, at(0), 20.0) - 20.0).abs() < 1e-9);
    assert!((sent(&mut load, at(0), 20.0) - 40.0).abs() < 1e-9);
    load.began(URGENCY, 20.0);
    assert!((load.ahead(URGENCY, at(0), 0.0).backlog_ms - 20.0).abs() < 1e-9);
    load.began(URGENCY, 20.0);
    load.ended();
    load.ended();
    assert!(load.ahead(URGENCY, at(0), 0.0).backlog_ms < 1e-9);
    assert_eq!(load.in_flight(), 0);
}

/// Other instances' requests count, and an old report of them counts less and less.
#[test]
fn foreign_requests() {
    let mut load = UpstreamLoad::new(10.0);
    load.reported(at(0), 12);
    assert!(load.ahead(URGENCY, at(0), 0.0).backlog_ms > 100.0);
    assert!(load.ahead(URGENCY, at(2_000), 0.0).backlog_ms < 2.0);
}

/// An upstream that has become eight times as slow is noticed after a few results, and its
/// correction wears off without new ones.
#[test]
fn slow_upstream() {
    let mut load = UpstreamLoad::new(10.0);
    for n in 0..20 {
        let predicted = sent(&mut load, at(n * 100), 10.0);
        load.began(URGENCY, 10.0);
        load.observed(URGENCY, at(n * 100 + 80), predicted, 80.0);
        load.ended();
    }
    assert!(load.ahead(URGENCY, at(2_000), 0.0).backlog_ms > 40.0);
    assert!(load.ahead(URGENCY, at(12_000), 0.0).backlog_ms < 1.0);
}

/// One request that hangs must not make its upstream look lost.
#[test]
fn bounded_correction() {
    let mut load = UpstreamLoad::new(10.0);
    let predicted = sent(&mut load, at(0), 10.0);
    load.observed(URGENCY, at(15_000), predicted, 15_000.0);
    assert!(load.ahead(URGENCY, at(15_000), 0.0).backlog_ms <= 410.0);
}

/// An upstream that was not heard of for seconds looks like the others, not idle.
#[test]
fn old_count() {
    let mut usual = Usual::default();
    for n in 0..100 {
        usual.reported(at(n * 20), 6.0);
    }
    assert!((usual.get() - 6.0).abs() < 0.1);
    let mut load = UpstreamLoad::new(10.0);
    load.reported(at(0), 0);
    assert!(load.ahead(URGENCY, at(0), usual.get()).backlog_ms < 1.0);
    assert!(load.ahead(URGENCY, at(3_000), usual.get()).backlog_ms > 50.0);
}

/// First results that all come 80 ms after their predictions show it within a second, and the
/// excess wears off when no more come, so that requests are admitted again.
#[test]
fn pooled_excess() {
    let mut excess = Excess::default();
    for n in 0..40 {
        let now = at(n * 25);
        excess.observed(now, 80.0, MEAN_MS);
    }
    assert!((60.0..90.0).contains(&excess.ms(at(1_000))));
    assert!(excess.ms(at(6_000)) < 1.0);
}

/// A burst that was admitted too fully shows in hundreds of late results at once. Adding each of
/// them up kept requests out for two seconds after the engines were idle again.
#[test]
fn late_wave() {
    let mut excess = Excess::default();
    for n in 0..400 {
        excess.observed(at(n), 250.0, MEAN_MS);
    }
    assert!(excess.ms(at(400)) <= 250.0);
    for n in 0..5 {
        excess.observed(at(500 + n * 100), 10.0, MEAN_MS);
    }
    assert!(excess.ms(at(1_000)) < 60.0);
}

/// One request in ten is late by seconds, because of a transfer or of an engine that is restarting. The
/// mean of all would refuse nine requests that are on time.
#[test]
fn stray_results() {
    let mut excess = Excess::default();
    for n in 0..200 {
        let late_ms = if n % 10 == 0 { 3_000.0 } else { 5.0 };
        excess.observed(at(n * 20), late_ms, MEAN_MS);
    }
    assert!(excess.ms(at(4_000)) < 2.0 * MEAN_MS);
}
