//! Guards against two processes that act for the same duty.

use std::time::Duration;

use assert_matches::assert_matches;
use nutmegbay_core::duty::{DutyKeeper, DutyRecord, SealedWindow, DutyStep};
use nutmegbay_core::ids::{Epoch, Incarnation};
use nutmegbay_core::lease::LeaseTiming;
use nutmegbay_core::environment::MonotonicTime;

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
    DutyKeeper::new(name, Incarnation(1), terms())
}

/// The register: a record that is replaced only where the writer knows its end.
#[derive(Default)]
struct Register {
    record: Option<DutyRecord>,
    end: u64,
}

impl Register {
    fn write(&mut self, step: DutyStep) -> bool {
        let DutyStep::Write { position, record } = step else {
            return false;
        };
        let wins = position == self.end;
        if wins {
            self.record = Some(record);
            self.end += 1;
        }
        wins
    }

    fn show(&self, keeper: &mut DutyKeeper, now: MonotonicTime) {
        keeper.on_read(now, self.record.clone(), self.end);
    }

    /// Lets `keeper` do what is due and read the result.
    fn act(&mut self, keeper: &mut DutyKeeper, now: MonotonicTime) -> bool {
        let step = keeper.next_step(now);
        if let DutyStep::Write { position, .. } = &step {
            keeper.on_write_sent(now, *position);
        }
        let won = self.write(step);
        self.show(keeper, now);
        won
    }
}

fn holder() -> (Register, DutyKeeper) {
    let (mut register, mut a) = (Register::default(), keeper("a"));
    register.show(&mut a, at(0));
    assert!(register.act(&mut a, at(0)));
    assert_eq!(a.may_act(at(1), BUDGET), Some(Epoch(1)));
    (register, a)
}

/// Two processes that claim at the same position: one append wins.
#[test]
fn claim_race() {
    let mut register = Register::default();
    let (mut a, mut b) = (keeper("a"), keeper("b"));
    register.show(&mut a, at(0));
    register.show(&mut b, at(0));
    assert!(register.act(&mut a, at(0)));
    assert!(!register.act(&mut b, at(0)));
    assert_matches!(a.may_act(at(1), BUDGET), Some(_));
    assert_eq!(b.may_act(at(1), BUDGET), None);
}

/// The former holder has stopped acting before another may claim, whatever either of them missed.
#[test]
fn lost_holder() {
    let (mut register, a) = holder();
    let mut b = keeper("b");
    register.show(&mut b, at(10));
    let mut now = 10;
    while !register.act(&mut b, at(now)) {
        now += 50;
        assert!(now < 10_000, "the duty stays undone");
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
    // The answer never comes; the follower reads the record 4 s later.
    register.show(&mut a, at(6_500));
    assert_matches!(a.may_act(at(7_000), BUDGET), Some(_));
    assert_eq!(a.may_act(at(8_100), BUDGET), None);
}

#[test]
fn planned_stop() {
    let (mut register, mut a) = holder();
    let mut b = keeper("b");
    register.show(&mut b, at(10));
    assert_matches!(b.next_step(at(100)), DutyStep::Wait(_));
    a.stop();
    assert!(register.act(&mut a, at(100)));
    assert_eq!(a.may_act(at(101), Duration::ZERO), None);
    register.show(&mut b, at(110));
    assert!(
        register.act(&mut b, at(110)),
        "a released duty is taken at once"
    );
}

/// a gives back, b takes over and gives back at once: a must not act again within the term.
#[test]
fn no_turns() {
    let (mut register, mut a) = holder();
    let mut b = keeper("b");
    a.stop();
    register.act(&mut a, at(100));
    register.show(&mut b, at(110));
    register.act(&mut b, at(110));
    b.stop();
    register.act(&mut b, at(200));
    let mut again = DutyKeeper::new("a", Incarnation(2), terms());
    register.show(&mut again, at(300));
    assert_matches!(again.next_step(at(300)), DutyStep::Wait(wait) if wait >= Duration::from_secs(3));
}

/// A new life of the same process has a new fencing number and waits for the end of the old one.
#[test]
fn restarted_holder() {
    let (mut register, _) = holder();
    let mut again = DutyKeeper::new("a", Incarnation(2), terms());
    register.show(&mut again, at(500));
    assert_eq!(again.may_act(at(500), Duration::ZERO), None);
    assert_matches!(again.next_step(at(500)), DutyStep::Wait(_));
    assert!(register.act(&mut again, at(8_000)));
    assert_eq!(again.may_act(at(8_001), BUDGET), Some(Epoch(2)));
}

#[test]
fn fenced_holder() {
    let (_, mut a) = holder();
    a.on_fenced();
    assert_eq!(a.may_act(at(2), Duration::ZERO), None);
}

/// A sealed window keeps its figures and is passed on to the next holder.
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
        register.show(&mut a, at(n));
    }
    assert_eq!(a.seal(at(20), BUDGET, window(10)), None, "sealed already");
    let sealed = &register.record.as_ref().unwrap().sealed;
    assert_eq!(sealed.last(), Some(&window(10)));
    assert!(sealed.len() < 10, "the record is bounded");
    let mut b = keeper("b");
    register.show(&mut b, at(30));
    register.act(&mut b, at(9_000));
    assert_eq!(b.record().unwrap().sealed.last(), Some(&window(10)));
}
