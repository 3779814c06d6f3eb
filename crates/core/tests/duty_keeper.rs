//! Guards against two processes that act under the same duty.

use std::time::Duration;

use assert_matches::assert_matches;
use nutmegbay_core::duty::{DutyKeeper, DutyRecord, DutyStep, SealedWindow};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::{Epoch, Incarnation};
use nutmegbay_core::lease::LeaseTiming;
use nutmegbay_core::position::Position;

const BUDGET: Duration = Duration::from_millis(500);

fn terms() -> LeaseTiming {
    LeaseTiming {
        ttl: Duration::from_secs(6),
        renew_every: Duration::from_secs(2),
        ..LeaseTiming::default()
    }
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn keeper(name: &str) -> DutyKeeper {
    DutyKeeper::new(name, Incarnation(1), name, terms())
}

/// Register whose record is replaced only if the writer knows its current end.
#[derive(Default)]
struct Register {
    record: Option<DutyRecord>,
    end: Position,
}

impl Register {
    fn write(&mut self, step: DutyStep) -> bool {
        let DutyStep::Write { position, record } = step else {
            return false;
        };
        let is_written = position == self.end;
        if is_written {
            self.record = Some(record);
            self.end = self.end.next();
        }
        is_written
    }

    fn read_by(&self, keeper: &mut DutyKeeper, now: MonotonicTime) {
        keeper.on_read(now, self.record.clone(), self.end);
    }

    /// Performs the due action of `keeper`, which then reads the register. Returns whether a write
    /// succeeded.
    fn perform_step(&mut self, keeper: &mut DutyKeeper, now: MonotonicTime) -> bool {
        let step = keeper.next_step(now);
        if let DutyStep::Write { position, .. } = &step {
            keeper.on_write_sent(now, *position);
        }
        let is_written = self.write(step);
        self.read_by(keeper, now);
        is_written
    }
}

impl Register {
    /// Performs the due action of `keeper`, which cannot read the register. Returns whether a write
    /// succeeded.
    fn perform_foreign_step(&mut self, keeper: &mut DutyKeeper, now: MonotonicTime) -> bool {
        let step = keeper.next_step(now);
        self.write(step)
    }
}

fn holder() -> (Register, DutyKeeper) {
    let (mut register, mut a) = (Register::default(), keeper("a"));
    register.read_by(&mut a, at(0));
    assert!(register.perform_step(&mut a, at(0)));
    assert_eq!(a.may_act(at(1), BUDGET), Some(Epoch(1)));
    (register, a)
}

/// Two processes claim at the same position; one write succeeds.
#[test]
fn claim_race() {
    let mut register = Register::default();
    let (mut a, mut b) = (keeper("a"), keeper("b"));
    register.read_by(&mut a, at(0));
    register.read_by(&mut b, at(0));
    assert!(register.perform_step(&mut a, at(0)));
    assert!(!register.perform_step(&mut b, at(0)));
    assert_matches!(a.may_act(at(1), BUDGET), Some(_));
    assert_eq!(b.may_act(at(1), BUDGET), None);
}

/// The former holder stops acting before another process may claim, whatever either of them has
/// missed.
#[test]
fn lost_holder() {
    let (mut register, a) = holder();
    let mut b = keeper("b");
    register.read_by(&mut b, at(10));
    let mut now = 10;
    while !register.perform_step(&mut b, at(now)) {
        now += 50;
        assert!(now < 10_000, "no process claims the duty");
    }
    assert_eq!(
        a.may_act(at(now), Duration::ZERO),
        None,
        "both act at {now} ms"
    );
    assert_eq!(b.may_act(at(now + 1), BUDGET), Some(Epoch(2)));
}

/// A renewal whose answer is lost extends the term only from before it was sent.
#[test]
fn lost_answer() {
    let (mut register, mut a) = holder();
    let step = a.next_step(at(2_500));
    if let DutyStep::Write { position, .. } = &step {
        a.on_write_sent(at(2_500), *position);
    }
    assert!(register.write(step));
    // The answer never arrives. The process reads the record 4 s later.
    register.read_by(&mut a, at(6_500));
    assert_matches!(a.may_act(at(7_000), BUDGET), Some(_));
    assert_eq!(a.may_act(at(8_100), BUDGET), None);
}

#[test]
fn planned_stop() {
    let (mut register, mut a) = holder();
    let mut b = keeper("b");
    register.read_by(&mut b, at(10));
    assert_matches!(b.next_step(at(100)), DutyStep::Wait(_));
    a.stop();
    assert!(register.perform_step(&mut a, at(100)));
    assert_eq!(a.may_act(at(101), Duration::ZERO), None);
    register.read_by(&mut b, at(110));
    assert!(
        register.perform_step(&mut b, at(110)),
        "a released duty was not claimed immediately"
    );
}

/// a releases, b claims and releases immediately: a must not act again within the term.
#[test]
fn no_alternation_within_term() {
    let (mut register, mut a) = holder();
    let mut b = keeper("b");
    a.stop();
    register.perform_step(&mut a, at(100));
    register.read_by(&mut b, at(110));
    register.perform_step(&mut b, at(110));
    b.stop();
    register.perform_step(&mut b, at(200));
    let mut restarted = DutyKeeper::new("a", Incarnation(2), "other", terms());
    register.read_by(&mut restarted, at(300));
    assert_matches!(
        restarted.next_step(at(300)),
        DutyStep::Wait(wait) if wait >= Duration::from_secs(3)
    );
}

/// A new incarnation of the same process waits for the end of the old term and gets a new fencing
/// number.
#[test]
fn restarted_holder() {
    let (mut register, _) = holder();
    let mut restarted = DutyKeeper::new("a", Incarnation(2), "other", terms());
    register.read_by(&mut restarted, at(500));
    assert_eq!(restarted.may_act(at(500), Duration::ZERO), None);
    assert_matches!(restarted.next_step(at(500)), DutyStep::Wait(_));
    assert!(register.perform_step(&mut restarted, at(8_000)));
    assert_eq!(restarted.may_act(at(8_001), BUDGET), Some(Epoch(2)));
}

/// All instances restart while the store is away. The process that follows the holder at its address
/// goes on when the store returns, under the same fencing number, and a write of the holder that
/// arrives late has no effect.
#[test]
fn successor_at_address() {
    let (mut register, mut a) = holder();
    let late_write = a.next_step(at(2_500));
    let mut successor = DutyKeeper::new("a", Incarnation(2), "a", terms());
    register.read_by(&mut successor, at(500));
    assert_eq!(successor.may_act(at(500), Duration::ZERO), None);
    assert!(register.perform_step(&mut successor, at(500)));
    assert_eq!(successor.may_act(at(501), BUDGET), Some(Epoch(1)));
    assert!(!register.write(late_write));
    register.read_by(&mut a, at(600));
    assert_eq!(a.may_act(at(600), Duration::ZERO), None);
}

/// The successor keeps the sealed windows, and does not undo a hand-over to another instance.
#[test]
fn successor_after_release() {
    let (mut register, mut a) = holder();
    a.stop();
    register.perform_step(&mut a, at(100));
    let mut b = keeper("b");
    register.read_by(&mut b, at(110));
    register.perform_step(&mut b, at(110));
    let window = SealedWindow {
        window: 7,
        counts: [("acme".into(), 3)].into(),
    };
    let sealed = b.seal(at(120), BUDGET, window.clone()).unwrap();
    b.on_write_sent(at(120), register.end);
    assert!(register.write(sealed));
    register.read_by(&mut b, at(130));
    let mut a = DutyKeeper::new("a", Incarnation(2), "a", terms());
    register.read_by(&mut a, at(140));
    assert_matches!(a.next_step(at(140)), DutyStep::Wait(_));
    let mut b = DutyKeeper::new("b", Incarnation(2), "b", terms());
    register.read_by(&mut b, at(150));
    assert!(register.perform_step(&mut b, at(150)));
    assert_eq!(b.may_act(at(151), BUDGET), Some(Epoch(2)));
    assert_eq!(b.record().unwrap().sealed, [window]);
    b.stop();
    register.perform_step(&mut b, at(200));
    register.read_by(&mut a, at(210));
    assert_matches!(
        a.next_step(at(210)),
        DutyStep::Wait(wait) if wait >= Duration::from_secs(3)
    );
}

#[test]
fn fenced_holder() {
    let (_, mut a) = holder();
    a.on_fenced();
    assert_eq!(a.may_act(at(2), Duration::ZERO), None);
}

/// A sealed window keeps its figures, also under the next holder.
#[test]
fn sealed_windows() {
    let (mut register, mut a) = holder();
    let window = |n: u64| SealedWindow {
        window: n,
        counts: [("acme".into(), n)].into(),
    };
    for n in 1..=10 {
        let step = a.seal(at(n), BUDGET, window(n)).unwrap();
        a.on_write_sent(at(n), register.end);
        assert!(register.write(step));
        register.read_by(&mut a, at(n));
    }
    assert_eq!(
        a.seal(at(20), BUDGET, window(10)),
        None,
        "the window is already sealed"
    );
    let sealed = &register.record.as_ref().unwrap().sealed;
    assert_eq!(sealed.last(), Some(&window(10)));
    assert!(sealed.len() < 10, "the record is bounded");
    let mut b = keeper("b");
    register.read_by(&mut b, at(30));
    register.perform_step(&mut b, at(9_000));
    assert_eq!(b.record().unwrap().sealed.last(), Some(&window(10)));
}

/// The register of a holder was replaced by a record that nobody can read. The duties were never
/// claimed again, since every process still expected the end before that record.
#[test]
fn foreign_record() {
    let (mut register, mut a) = holder();
    register.record = None;
    register.end = register.end.next();
    a.on_foreign_record(at(100), register.end);
    assert_eq!(a.may_act(at(100), BUDGET), Some(Epoch(1)));
    let step = a.next_step(at(100));
    assert_matches!(step, DutyStep::Write { .. }, "it is replaced at once");
    assert!(register.perform_step(&mut a, at(100)));
    let record = register.record.as_ref().unwrap();
    assert_eq!(record.fencing, Epoch(1));
    assert_matches!(a.next_step(at(200)), DutyStep::Wait(_));
}

/// A process that has read nothing but a foreign record must neither act beside the holder nor use
/// its number again.
#[test]
fn foreign_at_start() {
    let (mut register, a) = holder();
    register.record = None;
    register.end = register.end.next();
    let mut b = keeper("b");
    b.on_foreign_record(at(100), register.end);
    assert_matches!(b.next_step(at(6_000)), DutyStep::Wait(_));
    assert_eq!(a.may_act(at(6_000), BUDGET), None);
    let mut now = 6_000;
    while !register.perform_foreign_step(&mut b, at(now)) {
        now += 500;
        assert!(now < 30_000);
    }
    let record = register.record.as_ref().unwrap();
    assert!(record.fencing > Epoch(1), "{:?}", record.fencing);
    assert_eq!(&*record.holder, "b");
}

/// A record whose number belongs to a later era must not make the next number overflow.
#[test]
fn foreign_number() {
    let mut b = keeper("b");
    let mut register = Register {
        record: Some(DutyRecord {
            fencing: Epoch(u64::MAX),
            released: true,
            ..DutyRecord::default()
        }),
        end: Position::new(0, 5),
    };
    register.read_by(&mut b, at(0));
    let mut now = 0;
    while !register.perform_step(&mut b, at(now)) {
        now += 500;
        assert!(now < 30_000);
    }
    assert_eq!(register.record.unwrap().fencing, Epoch(6));
}

/// A write that is sent again may have taken effect the first time, from when others count its term.
#[test]
fn repeated_write() {
    let (mut register, mut a) = (Register::default(), keeper("a"));
    let mut b = keeper("b");
    register.read_by(&mut a, at(0));
    let first = a.next_step(at(0));
    a.on_write_sent(at(0), Position::default());
    assert!(register.write(first));
    register.read_by(&mut b, at(0));

    let second = a.next_step(at(2_500));
    a.on_write_sent(at(2_500), Position::default());
    assert!(!register.write(second));
    register.read_by(&mut a, at(2_600));
    assert_matches!(a.may_act(at(2_600), BUDGET), Some(_));
    let claimed = (0..10_000).find(|ms| matches!(b.next_step(at(*ms)), DutyStep::Write { .. }));
    assert_eq!(a.may_act(at(claimed.unwrap()), Duration::ZERO), None);
}

/// A holder whose term has ended before it learns of it does not wait to renew it.
#[test]
fn ended_term() {
    let (mut register, mut a) = (Register::default(), keeper("a"));
    register.read_by(&mut a, at(0));
    a.on_write_sent(at(0), Position::default());
    assert!(register.perform_step(&mut a, at(7_000)));
    assert_eq!(a.may_act(at(7_000), BUDGET), None);
    assert!(register.perform_step(&mut a, at(7_001)));
    assert_matches!(a.may_act(at(7_001), BUDGET), Some(_));
}

/// A report of a holder that is stopped reaches the platform after one of its successor.
#[test]
fn open_call() {
    let (mut register, mut a) = holder();
    a.on_call_sent();
    a.stop();
    assert_eq!(a.may_act(at(100), Duration::ZERO), None);
    assert!(!register.perform_step(&mut a, at(100)));
    a.on_call_ended(at(600), true);
    assert!(register.perform_step(&mut a, at(600)));
}

/// A report without an answer may be carried out seconds later.
#[test]
fn unanswered_call() {
    let (mut register, mut a) = holder();
    let mut b = keeper("b");
    register.read_by(&mut b, at(10));
    a.on_call_sent();
    a.on_call_ended(at(600), false);
    a.on_call_sent();
    a.on_call_ended(at(700), true);
    a.stop();
    for ms in (700..6_000).step_by(100) {
        assert!(!register.perform_step(&mut a, at(ms)), "at {ms}");
        assert_matches!(b.next_step(at(ms)), DutyStep::Wait(_));
    }
    assert!(register.perform_step(&mut b, at(12_000)));
    register.read_by(&mut a, at(12_010));
    assert!(!register.perform_step(&mut a, at(12_020)));
}

/// A holder that is stopped begins no other call.
#[test]
fn stopping_holder() {
    let (_, mut a) = holder();
    assert_matches!(a.may_act(at(100), BUDGET), Some(_));
    a.stop();
    assert_eq!(a.may_act(at(100), Duration::ZERO), None);
}
