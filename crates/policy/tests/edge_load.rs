//! Guards against predictions that stay wrong although first results show the error.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::load::{MeanLateness, TypicalLoad, UpstreamLoad};
use nutmegbay_policy::edge::urgency::Urgency;

const URGENCY: Urgency = Urgency::of_rank(0);

/// Mean engine time of a request, in milliseconds.
const MEAN_MS: f64 = 15.0;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Sends a request of `cost_ms` and returns the predicted time to its first result.
fn sent(load: &mut UpstreamLoad, now: MonotonicTime, cost_ms: f64) -> f64 {
    let ahead = load.ahead(URGENCY, now, 0.0);
    load.record_sent(URGENCY, cost_ms, ahead)
}

#[test]
fn own_requests() {
    let mut load = UpstreamLoad::new(10.0);
    assert!((sent(&mut load, at(0), 20.0) - 20.0).abs() < 1e-9);
    assert!((sent(&mut load, at(0), 20.0) - 40.0).abs() < 1e-9);
    load.record_first_result(URGENCY, 20.0);
    assert!((load.ahead(URGENCY, at(0), 0.0).backlog_ms - 20.0).abs() < 1e-9);
    load.record_first_result(URGENCY, 20.0);
    load.record_end();
    load.record_end();
    assert!(load.ahead(URGENCY, at(0), 0.0).backlog_ms < 1e-9);
    assert_eq!(load.in_flight(), 0);
}

/// Requests of other instances count, and the weight of a report decays with its age.
#[test]
fn other_requests() {
    let mut load = UpstreamLoad::new(10.0);
    load.record_report(at(0), 12);
    assert!(load.ahead(URGENCY, at(0), 0.0).backlog_ms > 100.0);
    assert!(load.ahead(URGENCY, at(2_000), 0.0).backlog_ms < 2.0);
}

/// An upstream that has become eight times as slow is detected after a few results, and the
/// correction decays without new ones.
#[test]
fn slow_upstream() {
    let mut load = UpstreamLoad::new(10.0);
    for n in 0..20 {
        let predicted = sent(&mut load, at(n * 100), 10.0);
        load.record_first_result(URGENCY, 10.0);
        load.record_observation(URGENCY, at(n * 100 + 80), predicted, 80.0);
        load.record_end();
    }
    assert!(load.ahead(URGENCY, at(2_000), 0.0).backlog_ms > 40.0);
    assert!(load.ahead(URGENCY, at(12_000), 0.0).backlog_ms < 1.0);
}

/// One request that hangs must not exclude its upstream.
#[test]
fn bounded_correction() {
    let mut load = UpstreamLoad::new(10.0);
    let predicted = sent(&mut load, at(0), 10.0);
    load.record_observation(URGENCY, at(15_000), predicted, 15_000.0);
    assert!(load.ahead(URGENCY, at(15_000), 0.0).backlog_ms <= 410.0);
}

/// An upstream without a report for seconds must look like the average upstream instead of idle.
#[test]
fn old_count() {
    let mut typical = TypicalLoad::default();
    for n in 0..100 {
        typical.record(at(n * 20), 6.0);
    }
    assert!((typical.get() - 6.0).abs() < 0.1);
    let mut load = UpstreamLoad::new(10.0);
    load.record_report(at(0), 0);
    assert!(load.ahead(URGENCY, at(0), typical.get()).backlog_ms < 1.0);
    assert!(load.ahead(URGENCY, at(3_000), typical.get()).backlog_ms > 50.0);
}

/// First results that all come 80 ms after their predictions correct these within a second. The
/// correction decays when no more results come, so that requests are admitted again.
#[test]
fn mean_lateness() {
    let mut lateness = MeanLateness::default();
    for n in 0..40 {
        let now = at(n * 25);
        lateness.record_observation(now, 80.0, MEAN_MS);
    }
    assert!((60.0..90.0).contains(&lateness.ms(at(1_000))));
    assert!(lateness.ms(at(6_000)) < 1.0);
}

/// A burst of which too much was admitted gives hundreds of late results at once. Summing them up
/// refused requests for two seconds after the engines were idle again.
#[test]
fn many_late_results() {
    let mut lateness = MeanLateness::default();
    for n in 0..400 {
        lateness.record_observation(at(n), 250.0, MEAN_MS);
    }
    assert!(lateness.ms(at(400)) <= 250.0);
    for n in 0..5 {
        lateness.record_observation(at(500 + n * 100), 10.0, MEAN_MS);
    }
    assert!(lateness.ms(at(1_000)) < 60.0);
}

/// One request in ten is late by seconds, because of a transfer or a restarting engine. An
/// unbounded mean would refuse the other nine, which are on time.
#[test]
fn outliers() {
    let mut lateness = MeanLateness::default();
    for n in 0..200 {
        let late_ms = if n % 10 == 0 { 3_000.0 } else { 5.0 };
        lateness.record_observation(at(n * 20), late_ms, MEAN_MS);
    }
    assert!(lateness.ms(at(4_000)) < 2.0 * MEAN_MS);
}
