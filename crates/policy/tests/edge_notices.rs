//! Guards against requests to an upstream that has stated that it leaves or wants none for some
//! time, and against an upstream that stays out of use for ever.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::notices::{KeptNotices, Notices};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn leaving() -> Notices {
    let mut notices = Notices::default();
    assert!(notices.record_leaving());
    notices
}

#[test]
fn stated_once() {
    let mut notices = leaving();
    assert!(!notices.record_leaving(), "it is logged once");
    assert!(notices.is_leaving());
}

/// A shorter time that is stated later does not shorten the wait: the first statement still holds.
#[test]
fn longest_pause() {
    let mut notices = Notices::default();
    assert!(notices.record_pause(Duration::from_secs(3), at(1_000)));
    assert!(!notices.record_pause(Duration::from_millis(500), at(2_000)));
    assert_eq!(notices.pause_left(at(2_000)), Duration::from_secs(2));
    assert!(notices.record_pause(Duration::from_secs(3), at(2_000)));
    assert_eq!(notices.pause_left(at(4_999)), Duration::from_millis(1));
    assert_eq!(notices.pause_left(at(5_000)), Duration::ZERO);
}

#[test]
fn extreme_pauses() {
    let mut notices = Notices::default();
    assert!(!notices.record_pause(Duration::ZERO, at(1_000)));
    assert!(notices.record_pause(Duration::MAX, at(1_000)));
    assert_eq!(notices.pause_left(at(302_000)), Duration::ZERO);
}

/// The entry expired while the store was unavailable, or was missing from a restored list.
#[test]
fn returned_entry() {
    let mut kept = KeptNotices::default();
    kept.keep("i-1", Some(7), leaving(), at(0));
    assert!(kept.take("i-1", Some(7)).is_leaving());
    kept.keep("i-1", Some(7), leaving(), at(0));
    assert!(
        !kept.take("i-1", Some(8)).is_leaving(),
        "a new incarnation is not leaving"
    );
    assert!(!kept.take("i-2", Some(7)).is_leaving());
}

#[test]
fn bounded_memory() {
    let mut kept = KeptNotices::default();
    for n in 0..2_000 {
        kept.keep(&format!("i-{n}"), None, leaving(), at(n));
    }
    assert!(
        !kept.take("i-900", None).is_leaving(),
        "the oldest go first"
    );
    assert!(kept.take("i-1999", None).is_leaving());
    kept.keep("i-1", None, leaving(), at(200_000));
    assert!(!kept.take("i-1998", None).is_leaving(), "they expire");
}
