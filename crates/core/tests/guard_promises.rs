//! Guards against sidecars that run an attempt twice, run a fenced attempt, or report a state for
//! an attempt that they have evicted.

use nutmegbay_core::guard::{
    Admission, AttemptRef, AttemptState, AttemptTable, RunQueue, TableLimits,
};
use nutmegbay_core::ids::{CallKey, Incarnation, Offset};
use nutmegbay_core::record::Answer;

const INCARNATION: Incarnation = Incarnation(9);

fn attempt(call: u64, opened: u64) -> AttemptRef {
    AttemptRef {
        call: CallKey(call.into()),
        number: 1,
        opened: Offset(opened),
        sidecar: INCARNATION,
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
    let mut table = AttemptTable::new(INCARNATION, TableLimits::default());
    let a = attempt(1, 1);
    assert_eq!(table.admit(a), Admission::Run);
    assert_eq!(table.admit(a), Admission::Known(AttemptState::Running));
    table.finish(a, answer("x"));
    assert_eq!(table.admit(a), Admission::Known(answer("x")));
    assert_eq!(table.fence(a), answer("x"));
}

#[test]
fn fenced_never_runs() {
    let mut table = AttemptTable::new(INCARNATION, TableLimits::default());
    let a = attempt(1, 1);
    assert_eq!(table.state(a), AttemptState::NotSeen);
    assert_eq!(table.fence(a), AttemptState::Fenced);
    assert_eq!(table.admit(a), Admission::Known(AttemptState::Fenced));
}

#[test]
fn other_incarnation() {
    let mut table = AttemptTable::new(Incarnation(8), TableLimits::default());
    let a = attempt(1, 1);
    let other = AttemptState::OtherIncarnation;
    assert_eq!(table.fence(a), other, "fenced for another incarnation");
    assert_eq!(table.admit(a), Admission::Known(other));
    // The attempt was sent once and arrived here, so its state is known even if the refusal is
    // lost.
    assert_eq!(table.fence(a), AttemptState::Fenced);
}

#[test]
fn late_finish() {
    // A result that arrives after the attempt has ended must not replace the reported state.
    let mut table = AttemptTable::new(INCARNATION, TableLimits::default());
    let a = attempt(1, 1);
    table.admit(a);
    table.finish(a, AttemptState::Unknown);
    table.finish(a, answer("x"));
    assert_eq!(table.state(a), AttemptState::Unknown);
}

#[test]
fn low_water() {
    let limits = TableLimits {
        attempts: 2,
        answer_bytes: 1 << 10,
    };
    let mut table = AttemptTable::new(INCARNATION, limits);
    let running = attempt(1, 1);
    table.admit(running);
    for n in 2..=4 {
        table.admit(attempt(n, n));
        table.finish(attempt(n, n), answer("x"));
    }
    assert_eq!(table.low_water(), Offset(4));
    assert_eq!(
        table.state(running),
        AttemptState::Running,
        "a running attempt was evicted"
    );
    assert_eq!(table.state(attempt(4, 4)), answer("x"));
    // Attempt 2 ran and was evicted; attempt 9 is new but was opened below the low-water mark.
    for known in [attempt(2, 2), attempt(9, 3)] {
        assert_eq!(table.admit(known), Admission::Known(AttemptState::Unknown));
        assert_eq!(table.fence(known), AttemptState::Unknown);
    }
    assert_eq!(table.admit(attempt(10, 10)), Admission::Run);
}

#[test]
fn answer_bytes() {
    let limits = TableLimits {
        attempts: 100,
        answer_bytes: 10,
    };
    let mut table = AttemptTable::new(INCARNATION, limits);
    for n in 1..=3 {
        table.admit(attempt(n, n));
        table.finish(attempt(n, n), answer("12345"));
    }
    assert_eq!(table.state(attempt(1, 1)), AttemptState::Unknown);
    assert_eq!(table.state(attempt(3, 3)), answer("12345"));
}

#[test]
fn exclusive_alone() {
    let mut queue = RunQueue::new();
    assert!(queue.add(1, false));
    assert!(queue.add(2, false));
    assert!(!queue.add(3, true), "started beside other runs");
    assert!(!queue.add(4, false), "overtook the exclusive run");
    assert!(queue.remove(1).is_empty());
    assert_eq!(queue.remove(2), [3]);
    assert_eq!(queue.running(), 1);
    assert!(!queue.add(5, false));
    assert_eq!(queue.remove(3), [4, 5]);
}

#[test]
fn removed_waiting_run() {
    // A waiting exclusive run that is removed must not block the runs behind it.
    let mut queue = RunQueue::new();
    assert!(queue.add(1, false));
    assert!(!queue.add(2, true));
    assert!(!queue.add(3, false));
    assert_eq!(queue.remove(2), [3]);
    assert_eq!(queue.waiting(), 0);
}
