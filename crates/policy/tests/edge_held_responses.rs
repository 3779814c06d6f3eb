//! Guards against unread responses that together take more memory than the instance has, and
//! against a bound that costs callers which read.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::held_responses::{HeldResponses, limit};

const MIB: u64 = 1024 * 1024;
const LIMIT: u64 = 64 * MIB;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// 200 callers get 1 MiB each and do not read. 20 others read as much each 10 ms.
#[test]
fn unread_at_once() {
    let mut held = HeldResponses::default();
    let slow: Vec<_> = (0..200).map(|_| held.open(at(0))).collect();
    let fast: Vec<_> = (0..20).map(|_| held.open(at(0))).collect();
    let mut given_up = Vec::new();
    for (step, key) in (0..).zip(&slow) {
        let now = at(step * 10);
        held.record_held(*key, MIB, now);
        for key in &fast {
            held.record_held(*key, MIB / 8, now);
        }
        given_up.extend(std::iter::from_fn(|| held.give_up(LIMIT, now)));
        assert!(held.total() <= LIMIT);
        for key in &fast {
            held.record_taken(*key, MIB / 8, at(step * 10 + 5));
        }
    }
    assert!(given_up.len() >= 200 - 64, "{}", given_up.len());
    assert!(given_up.iter().all(|one| slow.contains(&one.caller)));
    let first = given_up.first().unwrap();
    assert_eq!((first.caller, first.bytes), (slow[0], MIB));
}

/// A caller that takes bytes now and then keeps its response beside one that takes none.
#[test]
fn slow_but_sound() {
    let mut held = HeldResponses::default();
    let (sound, stalled) = (held.open(at(0)), held.open(at(0)));
    held.record_held(sound, 40 * MIB, at(0));
    held.record_held(stalled, 20 * MIB, at(0));
    held.record_taken(sound, MIB, at(4_000));
    held.record_held(sound, 6 * MIB, at(4_100));
    assert_eq!(held.give_up(LIMIT, at(4_100)).unwrap().caller, stalled);
    assert_eq!(held.give_up(LIMIT, at(4_100)), None);
}

#[test]
fn read_ahead() {
    let mut held = HeldResponses::default();
    let keys: Vec<_> = (0..32).map(|_| held.open(at(0))).collect();
    let mut taken_over = 0;
    for key in &keys {
        while held.may_read_ahead(*key, LIMIT) {
            held.record_held(*key, MIB, at(0));
            taken_over += 1;
        }
        assert!(held.held(*key) <= LIMIT / 16);
    }
    assert_eq!(taken_over, 48);
    assert_eq!(held.give_up(LIMIT, at(0)), None);
    held.close(keys[0]);
    assert!(held.may_read_ahead(keys[31], LIMIT));
}

#[test]
fn odd_sizes() {
    let mut held = HeldResponses::default();
    let key = held.open(at(5));
    held.record_held(key, u64::MAX, at(0));
    held.record_held(key, u64::MAX, at(0));
    assert_eq!(held.give_up(0, at(0)).unwrap().bytes, u64::MAX);
    held.record_taken(key, u64::MAX, at(0));
    held.close(key);
    held.close(key);
    held.record_held(key, 1, at(0));
    assert_eq!(held.total(), 0);
    assert_eq!(limit(Some(100), 70), 0);
}
