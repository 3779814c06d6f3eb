//! Guards against an instance that takes its own delay for the silence of others.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::own_delay::{OwnDelay, SAMPLE_INTERVAL};

const LINK_MBPS: f64 = 10.0;
/// Bytes that the link carries within one interval.
const LINK_BYTES: u64 = 125_000;

/// Returns the state after `samples` samples on time, with `bytes` received in each interval.
fn sampled(samples: u32, bytes: u64) -> (OwnDelay, MonotonicTime) {
    let mut own_delay = OwnDelay::new(Some(LINK_MBPS));
    let mut now = MonotonicTime::default();
    for n in 0..samples {
        now = now.plus(SAMPLE_INTERVAL);
        own_delay.record(now, Duration::ZERO, u64::from(n) * bytes);
    }
    (own_delay, now)
}

#[test]
fn full_link() {
    let (own_delay, now) = sampled(20, LINK_BYTES);
    let measured = own_delay.measure(now);
    assert!((measured.link_share.unwrap() - 1.0).abs() < 0.01);
    assert!(measured.is_late());
    assert_eq!(measured.timer_lateness, Duration::ZERO);

    let (own_delay, now) = sampled(20, LINK_BYTES / 2);
    assert!(!own_delay.measure(now).is_late());
}

/// A single large body fills the link for less than the window.
#[test]
fn short_burst() {
    let (mut own_delay, now) = sampled(20, 0);
    let now = now.plus(SAMPLE_INTERVAL);
    own_delay.record(now, Duration::ZERO, LINK_BYTES);
    assert!(!own_delay.measure(now).is_late());
}

#[test]
fn late_timer() {
    let (mut own_delay, now) = sampled(20, 0);
    let lateness = Duration::from_millis(300);
    let now = now.plus(SAMPLE_INTERVAL + lateness);
    // A task may ask before the overdue sample is taken.
    assert_eq!(own_delay.measure(now).timer_lateness, lateness);
    own_delay.record(now, lateness, 0);
    assert!(own_delay.measure(now).is_late());
    let mut now = now;
    for _ in 0..5 {
        now = now.plus(SAMPLE_INTERVAL);
        own_delay.record(now, Duration::ZERO, 0);
    }
    assert!(!own_delay.measure(now).is_late());
}

/// Where a deployment does not state the rate of its links, only timers count.
#[test]
fn unknown_rate() {
    let mut own_delay = OwnDelay::new(None);
    let mut now = MonotonicTime::default();
    for n in 0..20 {
        now = now.plus(SAMPLE_INTERVAL);
        own_delay.record(now, Duration::ZERO, n * LINK_BYTES * 100);
    }
    assert!(!own_delay.measure(now).is_late());
}

/// Waits on an instance that is on time stay as they are, and none is extended without limit.
#[test]
fn extended_waits() {
    let usual = Duration::from_secs(1);
    let (own_delay, now) = sampled(20, 0);
    let on_time = own_delay.measure(now);
    assert_eq!(on_time.extension(usual, Duration::ZERO), None);

    let (own_delay, now) = sampled(20, LINK_BYTES);
    let full = own_delay.measure(now);
    let mut extended = Duration::ZERO;
    while let Some(extension) = full.extension(usual, extended) {
        assert!(!extension.is_zero());
        extended += extension;
    }
    assert_eq!(extended, usual * 3);

    let (own_delay, now) = sampled(20, 0);
    let lateness = Duration::from_millis(200);
    let late = own_delay.measure(now.plus(SAMPLE_INTERVAL + lateness));
    assert_eq!(late.extension(usual, Duration::ZERO), Some(lateness));
}
