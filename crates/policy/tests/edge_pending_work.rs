//! Replays the onset of a burst. Guards against admitting requests until the first late results
//! show that there were too many.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::pending_work::PendingWork;
use nutmegbay_policy::edge::urgency::Urgency;

const URGENCY: Urgency = Urgency::of_rank(0);

/// Service time of one request, in milliseconds. The upstreams together serve one at a time.
const SERVICE_MS: f64 = 10.0;

/// Maximum predicted wait that is admitted, in milliseconds.
const LIMIT_MS: f64 = 180.0;

fn at(ms: f64) -> MonotonicTime {
    MonotonicTime(Duration::from_secs_f64(ms / 1e3))
}

/// Returns the longest wait of an admitted request, in milliseconds, where the load rises from 0.7
/// to 4 times the capacity. Admission uses the prediction of [`PendingWork`] or, without it, the
/// wait of the latest result.
fn longest_wait(with_pending_work: bool) -> f64 {
    let mut pending_work = PendingWork::default();
    let (mut free_at, mut latest_wait, mut longest) = (0.0_f64, 0.0_f64, 0.0_f64);
    let mut running: Vec<(f64, f64)> = Vec::new();
    let mut now = 0.0;
    while now < 6_000.0 {
        now += if now < 4_000.0 { 14.0 } else { 2.5 };
        running.retain(|&(end, wait)| {
            if end > now {
                return true;
            }
            pending_work.record_wait_end(at(end), URGENCY, SERVICE_MS, true);
            latest_wait = wait;
            false
        });
        let predicted = if with_pending_work {
            pending_work.wait_ms(at(now), URGENCY, SERVICE_MS, 1.0)
        } else {
            latest_wait
        };
        if predicted > LIMIT_MS {
            continue;
        }
        pending_work.record_admitted(URGENCY, SERVICE_MS);
        free_at = free_at.max(now) + SERVICE_MS;
        let wait = free_at - now;
        longest = longest.max(wait);
        running.push((free_at, wait));
    }
    longest
}

#[test]
fn burst_onset() {
    let by_results = longest_wait(false);
    let by_pending_work = longest_wait(true);
    assert!(by_results > 400.0, "{by_results} ms");
    assert!(by_pending_work < 300.0, "{by_pending_work} ms");
}

/// An instance that has few results knows no rate, and must not refuse requests for that.
#[test]
fn unknown_rate() {
    let mut pending_work = PendingWork::default();
    pending_work.record_admitted(URGENCY, SERVICE_MS);
    pending_work.record_admitted(URGENCY, SERVICE_MS);
    assert!(pending_work.wait_ms(at(10.0), URGENCY, SERVICE_MS, 1.0) < 1e-9);
    pending_work.record_wait_end(at(20.0), URGENCY, SERVICE_MS, true);
    assert!(pending_work.wait_ms(at(20.0), URGENCY, SERVICE_MS, 1.0) < 1e-9);
}

/// Requests whose callers have left no longer count.
#[test]
fn left_callers() {
    let mut pending_work = PendingWork::default();
    for n in 0..100 {
        pending_work.record_admitted(URGENCY, SERVICE_MS);
        pending_work.record_wait_end(at(f64::from(n) * 10.0), URGENCY, SERVICE_MS, true);
    }
    for _ in 0..50 {
        pending_work.record_admitted(URGENCY, SERVICE_MS);
    }
    assert!(pending_work.wait_ms(at(1_000.0), URGENCY, SERVICE_MS, 1.0) > 300.0);
    for _ in 0..50 {
        pending_work.record_wait_end(at(1_000.0), URGENCY, SERVICE_MS, false);
    }
    assert!(pending_work.wait_ms(at(1_000.0), URGENCY, SERVICE_MS, 1.0) < 20.0);
}

/// Urgent requests do not wait for less urgent long prompts. Counting these as well refused a fifth
/// of the urgent requests under low load.
#[test]
fn urgent_beside_long() {
    let (urgent, patient) = (Urgency::of_rank(0), Urgency::of_rank(2));
    let mut pending_work = PendingWork::default();
    for n in 0..100 {
        pending_work.record_admitted(patient, SERVICE_MS);
        pending_work.record_wait_end(at(f64::from(n) * 10.0), patient, SERVICE_MS, true);
    }
    for _ in 0..20 {
        pending_work.record_admitted(patient, 350.0);
    }
    assert!(pending_work.wait_ms(at(1_000.0), urgent, SERVICE_MS, 1.0) < 20.0);
    assert!(pending_work.wait_ms(at(1_000.0), patient, SERVICE_MS, 1.0) > 1_000.0);
}

/// Ten engines that had little load can still prefill ten prompts at once.
#[test]
fn quiet_period() {
    let mut pending_work = PendingWork::default();
    for n in 0..20 {
        pending_work.record_admitted(URGENCY, SERVICE_MS);
        pending_work.record_wait_end(at(f64::from(n) * 100.0), URGENCY, SERVICE_MS, true);
    }
    for _ in 0..10 {
        pending_work.record_admitted(URGENCY, 100.0);
    }
    assert!(pending_work.wait_ms(at(2_000.0), URGENCY, 100.0, 1.0) > 500.0);
    assert!(pending_work.wait_ms(at(2_000.0), URGENCY, 100.0, 10.0) < 500.0);
}
