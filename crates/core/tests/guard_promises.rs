//! Guards against sidecars that run an attempt twice, run it after promising not to, or claim to
//! know what they have forgotten.

use nutmegbay_core::guard::{Admission, AttemptRef, AttemptState, Guard, Limits, Slots};
use nutmegbay_core::ids::{CallKey, Incarnation, Offset};
use nutmegbay_core::record::Answer;

const LIFE: Incarnation = Incarnation(9);

fn attempt(call: u64, opened: u64) -> AttemptRef {
    AttemptRef {
        call: CallKey(call.into()),
        number: 1,
        opened: Offset(opened),
        sidecar: LIFE,
    }
}

fn answer(body: &str) -> AttemptState {
    AttemptState::Answered(Answer {
        status: 200,
        content_type: None,
        body: Some(body.into()),
    })
}

#[test]
fn runs_once() {
    let mut guard = Guard::new(LIFE, Limits::default());
    let a = attempt(1, 1);
    assert_eq!(guard.admit(a), Admission::Run);
    assert_eq!(guard.admit(a), Admission::Known(AttemptState::Running));
    guard.finish(a, answer("x"));
    assert_eq!(guard.admit(a), Admission::Known(answer("x")));
    assert_eq!(guard.fence(a), answer("x"));
}

#[test]
fn fenced_never_runs() {
    let mut guard = Guard::new(LIFE, Limits::default());
    let a = attempt(1, 1);
    assert_eq!(guard.state(a), AttemptState::NotSeen);
    assert_eq!(guard.fence(a), AttemptState::Fenced);
    assert_eq!(guard.admit(a), Admission::Known(AttemptState::Fenced));
}

#[test]
fn other_life() {
    let mut guard = Guard::new(Incarnation(8), Limits::default());
    let a = attempt(1, 1);
    let other = AttemptState::OtherIncarnation;
    assert_eq!(guard.fence(a), other, "promised for another life");
    assert_eq!(guard.admit(a), Admission::Known(other));
    // The attempt was sent once, and it came here: a lost refusal must not make it unknown.
    assert_eq!(guard.fence(a), AttemptState::Fenced);
}

#[test]
fn late_end() {
    // An end that comes after the attempt was settled must not replace what was told.
    let mut guard = Guard::new(LIFE, Limits::default());
    let a = attempt(1, 1);
    guard.admit(a);
    guard.finish(a, AttemptState::Unknown);
    guard.finish(a, answer("x"));
    assert_eq!(guard.state(a), AttemptState::Unknown);
}

#[test]
fn low_water() {
    let limits = Limits {
        attempts: 2,
        answer_bytes: 1 << 10,
    };
    let mut guard = Guard::new(LIFE, limits);
    let running = attempt(1, 1);
    guard.admit(running);
    for n in 2..=4 {
        guard.admit(attempt(n, n));
        guard.finish(attempt(n, n), answer("x"));
    }
    assert_eq!(guard.low_water(), Offset(4));
    assert_eq!(
        guard.state(running),
        AttemptState::Running,
        "a run was forgotten"
    );
    assert_eq!(guard.state(attempt(4, 4)), answer("x"));
    // Attempt 2 ran and was forgotten; attempt 9 is new but was opened below the low-water offset.
    for known in [attempt(2, 2), attempt(9, 3)] {
        assert_eq!(guard.admit(known), Admission::Known(AttemptState::Unknown));
        assert_eq!(guard.fence(known), AttemptState::Unknown);
    }
    assert_eq!(guard.admit(attempt(10, 10)), Admission::Run);
}

#[test]
fn answer_bytes() {
    let limits = Limits {
        attempts: 100,
        answer_bytes: 10,
    };
    let mut guard = Guard::new(LIFE, limits);
    for n in 1..=3 {
        guard.admit(attempt(n, n));
        guard.finish(attempt(n, n), answer("12345"));
    }
    assert_eq!(guard.state(attempt(1, 1)), AttemptState::Unknown);
    assert_eq!(guard.state(attempt(3, 3)), answer("12345"));
}

#[test]
fn exclusive_alone() {
    let mut slots = Slots::new();
    assert!(slots.enter(1, false));
    assert!(slots.enter(2, false));
    assert!(!slots.enter(3, true), "ran beside others");
    assert!(!slots.enter(4, false), "overtook the exclusive run");
    assert!(slots.leave(1).is_empty());
    assert_eq!(slots.leave(2), [3]);
    assert_eq!(slots.running(), 1);
    assert!(!slots.enter(5, false));
    assert_eq!(slots.leave(3), [4, 5]);
}

#[test]
fn waiter_leaves() {
    // A waiting exclusive run that is given up must not hold the others for ever.
    let mut slots = Slots::new();
    assert!(slots.enter(1, false));
    assert!(!slots.enter(2, true));
    assert!(!slots.enter(3, false));
    assert_eq!(slots.leave(2), [3]);
    assert_eq!(slots.waiting(), 0);
}
