//! Guards against predictions that miss the queue on a narrow link.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::link::LinkQueue;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Ten prompts of 7,500 bytes take 60 ms on 10 Mbit/s, independent of the engines.
#[test]
fn burst() {
    let mut link = LinkQueue::new(Some(10.0));
    for _ in 0..10 {
        link.enqueue(at(0), 7_500);
    }
    assert!((link.queue_ms(at(0)) - 60.0).abs() < 0.01);
    assert!((link.queue_ms(at(45)) - 15.0).abs() < 0.01);
    assert!(link.queue_ms(at(100)) < 0.01);
    assert!((link.send_ms(7_500) - 6.0).abs() < 0.01);
}

/// Where a deployment does not state the rate of its links, no time is added.
#[test]
fn unknown_rate() {
    let mut link = LinkQueue::new(None);
    link.enqueue(at(0), 1_000_000);
    assert!(link.queue_ms(at(0)) < 0.01);
    assert!(link.send_ms(7_500) < 0.01);
}
