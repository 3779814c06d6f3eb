//! Replays the onset of a burst. Guards against requests that are admitted until the first late
//! results show that there were too many.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::flow::Flow;
use nutmegbay_policy::edge::urgency::Urgency;

const URGENCY: Urgency = Urgency::of_rank(0);

/// Time of one request at the upstreams, which serve one at a time, in milliseconds.
const SERVICE_MS: f64 = 10.0;

/// Longest predicted wait that is admitted, in milliseconds.
const LIMIT_MS: f64 = 180.0;

fn at(ms: f64) -> MonotonicTime {
    MonotonicTime(Duration::from_secs_f64(ms / 1e3))
}

/// Longest wait of an admitted request where the load rises from 0.7 to 4 times what can be served.
/// `flow` is what admission looks at; without it, the wait that the latest result showed.
fn longest_wait(with_flow: bool) -> f64 {
    let mut flow = Flow::default();
    let (mut free_at, mut shown, mut longest) = (0.0_f64, 0.0_f64, 0.0_f64);
    let mut running: Vec<(f64, f64)> = Vec::new();
    let mut now = 0.0;
    while now < 6_000.0 {
        now += if now < 4_000.0 { 14.0 } else { 2.5 };
        running.retain(|&(end, wait)| {
            if end > now {
                return true;
            }
            flow.ended(at(end), URGENCY, SERVICE_MS, true);
            shown = wait;
            false
        });
        let predicted = if with_flow {
            flow.wait_ms(at(now), URGENCY, SERVICE_MS, 1.0)
        } else {
            shown
        };
        if predicted > LIMIT_MS {
            continue;
        }
        flow.began(URGENCY, SERVICE_MS);
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
    let by_flow = longest_wait(true);
    assert!(by_results > 400.0, "{by_results} ms");
    assert!(by_flow < 300.0, "{by_flow} ms");
}

/// An instance that has seen few results knows no rate and refuses nobody for it.
#[test]
fn unknown_rate() {
    let mut flow = Flow::default();
    flow.began(URGENCY, SERVICE_MS);
    flow.began(URGENCY, SERVICE_MS);
    assert!(flow.wait_ms(at(10.0), URGENCY, SERVICE_MS, 1.0) < 1e-9);
    flow.ended(at(20.0), URGENCY, SERVICE_MS, true);
    assert!(flow.wait_ms(at(20.0), URGENCY, SERVICE_MS, 1.0) < 1e-9);
}

/// Requests whose callers left wait no longer.
#[test]
fn left_callers() {
    let mut flow = Flow::default();
    for n in 0..100 {
        flow.began(URGENCY, SERVICE_MS);
        flow.ended(at(f64::from(n) * 10.0), URGENCY, SERVICE_MS, true);
    }
    for _ in 0..50 {
        flow.began(URGENCY, SERVICE_MS);
    }
    assert!(flow.wait_ms(at(1_000.0), URGENCY, SERVICE_MS, 1.0) > 300.0);
    for _ in 0..50 {
        flow.ended(at(1_000.0), URGENCY, SERVICE_MS, false);
    }
    assert!(flow.wait_ms(at(1_000.0), URGENCY, SERVICE_MS, 1.0) < 20.0);
}

/// Urgent requests do not wait for the long prompts beside them. Counting these as well refused a
/// fifth of the urgent ones on a quiet day.
#[test]
fn urgent_beside_long() {
    let (urgent, patient) = (Urgency::of_rank(0), Urgency::of_rank(2));
    let mut flow = Flow::default();
    for n in 0..100 {
        flow.began(patient, SERVICE_MS);
        flow.ended(at(f64::from(n) * 10.0), patient, SERVICE_MS, true);
    }
    for _ in 0..20 {
        flow.began(patient, 350.0);
    }
    assert!(flow.wait_ms(at(1_000.0), urgent, SERVICE_MS, 1.0) < 20.0);
    assert!(flow.wait_ms(at(1_000.0), patient, SERVICE_MS, 1.0) > 1_000.0);
}

/// Ten engines that had little to do can still read ten prompts at once.
#[test]
fn calm_time() {
    let mut flow = Flow::default();
    for n in 0..20 {
        flow.began(URGENCY, SERVICE_MS);
        flow.ended(at(f64::from(n) * 100.0), URGENCY, SERVICE_MS, true);
    }
    for _ in 0..10 {
        flow.began(URGENCY, 100.0);
    }
    assert!(flow.wait_ms(at(2_000.0), URGENCY, 100.0, 1.0) > 500.0);
    assert!(flow.wait_ms(at(2_000.0), URGENCY, 100.0, 10.0) < 500.0);
}
