//! Guards against instances that run and are not known to the others, and against announcements
//! without end.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::presence::Presence;

/// Age of a record that has just been written.
const NEW: Duration = Duration::ZERO;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// An instance announces itself several times after its start, and then no more while it can write
/// its record.
#[test]
fn started_instance() {
    let mut presence = Presence::new(1);
    let sends = |presence: &mut Presence, from, to| {
        let due = (from..to)
            .step_by(50)
            .filter(|ms| presence.take(NEW, at(*ms)) == [1]);
        due.count()
    };
    assert_eq!(sends(&mut presence, 0, 2_000), 4);
    assert!(!presence.has_joined(at(1_900)));
    assert!(presence.has_joined(at(2_000)));
    assert_eq!(sends(&mut presence, 2_000, 60_000), 0);
}

/// An instance that cannot write its record announces itself, so that the others do not take it for
/// failed.
#[test]
fn unwritten_record() {
    let mut presence = Presence::new(1);
    let mut other = Presence::new(2);
    presence.record_alone(at(0));
    for ms in (2_000..62_000).step_by(100) {
        let age = Duration::from_millis(ms - 2_000);
        for instance in presence.take(age, at(ms)) {
            other.record(instance, false, at(ms));
        }
        let is_known = other.heard(at(ms)).any(|instance| instance == 1);
        assert!(is_known || ms < 9_000, "unknown at {ms}");
    }
    assert_eq!(other.heard(at(90_000)).count(), 0, "it has ended");
}

/// Relays forward an announcement to each other, but not back and forth.
#[test]
fn forwarded_once() {
    let mut relays = [Presence::new(1), Presence::new(2)];
    for relay in &mut relays {
        relay.record_alone(at(0));
    }
    let mut forwards = 0;
    for ms in (2_000..4_000).step_by(10) {
        if ms == 2_000 {
            relays[0].record(3, true, at(ms));
        }
        for (from, to) in [(0, 1), (1, 0)] {
            for instance in relays[from].take(NEW, at(ms)) {
                forwards += 1;
                relays[to].record(instance, true, at(ms + 1));
            }
        }
    }
    assert_eq!(forwards, 2);
}

/// Announcements with ever new hashes must not use more and more memory.
#[test]
fn bounded_memory() {
    let mut presence = Presence::new(0);
    for n in 1..10_000 {
        presence.record(n, true, at(n));
    }
    assert!(presence.heard(at(10_000)).count() <= 1_024);
    assert!(presence.take(NEW, at(10_000)).len() <= 64);
}
