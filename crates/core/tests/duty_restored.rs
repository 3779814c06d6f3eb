//! Guards against fencing numbers and usage windows that are used twice because the register of the
//! duties was restored from a copy.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use nutmegbay_core::duty::{DutyKeeper, DutyRecord, DutyStep, SealedWindow};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::lease::LeaseTiming;
use nutmegbay_core::position::Position;

const BUDGET: Duration = Duration::from_millis(500);

/// Time for which another process does not claim the duties.
const CANDIDATE_WAIT_MS: u64 = 6_500;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn keeper(name: &str) -> DutyKeeper {
    let timing = LeaseTiming {
        ttl: Duration::from_secs(6),
        renew_every: Duration::from_secs(2),
        ..LeaseTiming::default()
    };
    DutyKeeper::new(name, Incarnation(1), name, timing)
}

fn window(window: u64, n: u64) -> SealedWindow {
    SealedWindow {
        window,
        counts: [("acme".into(), n)].into(),
    }
}

/// Register in a store that can be restored.
#[derive(Default, Clone)]
struct Register {
    records: Vec<DutyRecord>,
    era: u64,
}

impl Register {
    fn end(&self) -> Position {
        Position::new(self.era, self.records.len() as u64)
    }

    /// Returns the register as it was after `len` records, in the next era.
    fn restored(&self, len: usize) -> Self {
        Self {
            records: self.records[..len].to_vec(),
            era: self.era + 1,
        }
    }

    fn read_by(&self, keeper: &mut DutyKeeper, now: MonotonicTime) {
        keeper.on_read(now, self.records.last().cloned(), self.end());
    }

    /// Performs a write of `keeper`. The store checks only the offset of its condition.
    fn write(&mut self, keeper: &mut DutyKeeper, step: DutyStep, now: MonotonicTime) -> bool {
        let DutyStep::Write { position, record } = step else {
            return false;
        };
        keeper.on_write_sent(now, position);
        let is_written = position.offset == self.end().offset;
        if is_written {
            self.records.push(record);
        }
        self.read_by(keeper, now);
        is_written
    }

    fn perform_step(&mut self, keeper: &mut DutyKeeper, now: MonotonicTime) -> bool {
        let step = keeper.next_step(now);
        self.write(keeper, step, now)
    }

    /// Lets `keeper` perform its steps from `from_ms` on until a write succeeds. Returns its time.
    fn write_time(&mut self, keeper: &mut DutyKeeper, from_ms: u64) -> u64 {
        let mut now_ms = from_ms;
        while !self.perform_step(keeper, at(now_ms)) {
            now_ms += 50;
            assert!(now_ms < from_ms + 20_000, "the duties are never claimed");
        }
        now_ms
    }

    fn seal(&mut self, keeper: &mut DutyKeeper, now: MonotonicTime, sealed: SealedWindow) -> bool {
        let step = keeper.seal(now, BUDGET, sealed);
        step.is_some_and(|step| self.write(keeper, step, now))
    }
}

/// a holds the duties, then b. Returns the register, b and the time of its claim. The copy before
/// that claim has one record.
fn second_holder() -> (Register, DutyKeeper, u64) {
    let (mut register, mut a, mut b) = (Register::default(), keeper("a"), keeper("b"));
    register.read_by(&mut a, at(0));
    assert!(register.perform_step(&mut a, at(0)));
    register.read_by(&mut b, at(10));
    let claimed_ms = register.write_time(&mut b, 10);
    (register, b, claimed_ms)
}

/// The claim of b is lost, and c claims the duties.
#[test]
fn lost_claim() {
    let (register, b, claimed_ms) = second_holder();
    let used = b.may_act(at(claimed_ms), BUDGET).unwrap();
    let mut restored = register.restored(1);
    let mut c = keeper("c");
    restored.read_by(&mut c, at(claimed_ms + 100));
    let next_ms = restored.write_time(&mut c, claimed_ms + 100);
    assert!(
        c.may_act(at(next_ms), BUDGET).unwrap() > used,
        "a fencing number is used again"
    );
    assert!(
        next_ms >= claimed_ms + 100 + CANDIDATE_WAIT_MS,
        "b may still act"
    );
}

/// The register shows a former holder that still runs.
#[test]
fn former_holder() {
    let (mut register, mut a, mut b) = (Register::default(), keeper("a"), keeper("b"));
    register.read_by(&mut a, at(0));
    register.perform_step(&mut a, at(0));
    register.read_by(&mut b, at(10));
    let claimed_ms = register.write_time(&mut b, 10);
    register.read_by(&mut a, at(claimed_ms));
    let mut restored = register.restored(1);
    let now = at(claimed_ms + 1_000);
    restored.read_by(&mut a, now);
    assert_eq!(a.may_act(now, Duration::ZERO), None);
    assert_matches!(a.next_step(now), DutyStep::Wait(_));
    restored.read_by(&mut b, now);
    assert!(
        restored.perform_step(&mut b, now),
        "the holder must claim the duties again at once"
    );
    assert_matches!(b.may_act(now, BUDGET), Some(_));
}

/// All records are lost. A holder that is cut off may still act.
#[test]
fn empty_register() {
    let (register, ..) = second_holder();
    let mut restored = register.restored(0);
    let mut c = keeper("c");
    restored.read_by(&mut c, at(100));
    assert_matches!(c.next_step(at(100)), DutyStep::Wait(_));
    assert!(restored.write_time(&mut c, 100) >= 100 + CANDIDATE_WAIT_MS);
}

/// Windows that the lost holder may have sealed are not sealed with other figures.
#[test]
fn lost_windows() {
    let (mut register, mut b, claimed_ms) = second_holder();
    assert!(register.seal(&mut b, at(claimed_ms), window(7, 70)));
    let mut restored = register.restored(1);
    let mut c = keeper("c");
    c.record_ended_window(8);
    restored.read_by(&mut c, at(claimed_ms + 100));
    c.record_ended_window(9);
    let now_ms = restored.write_time(&mut c, claimed_ms + 100);
    for ended in [7, 8] {
        assert!(!restored.seal(&mut c, at(now_ms), window(ended, 1)));
    }
    assert!(restored.seal(&mut c, at(now_ms), window(9, 90)));
    // The next holder of the same era knows it from the register.
    let mut d = keeper("d");
    restored.read_by(&mut d, at(now_ms + 10));
    let next_ms = restored.write_time(&mut d, now_ms + 10);
    assert!(!restored.seal(&mut d, at(next_ms), window(8, 2)));
    assert_eq!(d.record().unwrap().sealed, [window(9, 90)]);
}

/// The holder knows what it has sealed, and seals the window after that.
#[test]
fn kept_windows() {
    let (mut register, mut b, claimed_ms) = second_holder();
    let number = b.may_act(at(claimed_ms), BUDGET).unwrap();
    assert!(register.seal(&mut b, at(claimed_ms), window(7, 70)));
    b.record_ended_window(9);
    let mut restored = register.restored(1);
    let now = at(claimed_ms + 2_000);
    restored.read_by(&mut b, now);
    assert!(restored.perform_step(&mut b, now));
    assert!(b.may_act(now, BUDGET).unwrap() > number);
    assert!(!restored.seal(&mut b, now, window(7, 71)));
    assert!(restored.seal(&mut b, now, window(8, 80)));
    let sealed = &b.record().unwrap().sealed;
    assert_eq!(sealed.as_slice(), [window(7, 70), window(8, 80)]);
}

/// A claim of a process that has not noticed the restore arrives late, at an offset that fits
/// again. It replaces the record of the holder.
#[test]
fn late_claim() {
    let (register, mut b, claimed_ms) = second_holder();
    let (mut late, mut d) = (keeper("c"), keeper("d"));
    register.read_by(&mut late, at(claimed_ms));
    let DutyStep::Write { position, record } = late.next_step(at(claimed_ms + 10_000)) else {
        panic!("the claim is due");
    };
    // The offset fits after two records of the next era.
    let position = Position::new(position.era, 3);
    let late_step = DutyStep::Write { position, record };
    let mut restored = register.restored(1);
    let now = at(claimed_ms + 1_000);
    restored.read_by(&mut b, now);
    assert!(restored.perform_step(&mut b, now));
    restored.read_by(&mut d, now);
    assert!(restored.seal(&mut b, now, window(7, 70)));
    restored.read_by(&mut d, now);
    assert!(restored.write(&mut late, late_step, now));
    assert_eq!(late.may_act(now, Duration::ZERO), None);
    restored.read_by(&mut b, now);
    assert_eq!(b.may_act(now, Duration::ZERO), None);
    assert!(restored.perform_step(&mut b, now));
    assert_matches!(b.may_act(now, BUDGET), Some(_));
    // The holder ends before it has claimed the duties again.
    let mut lost = restored.clone();
    lost.records.pop();
    lost.read_by(&mut d, now);
    let next_ms = lost.write_time(&mut d, claimed_ms + 1_000);
    assert!(!lost.seal(&mut d, at(next_ms), window(7, 1)));
    assert_eq!(d.record().unwrap().sealed, [window(7, 70)]);
    let records = restored.records.iter();
    let numbers: BTreeSet<_> = records.clone().map(|record| record.fencing).collect();
    let claims: BTreeSet<_> = records.map(|r| (r.fencing, &*r.holder)).collect();
    assert_eq!(claims.len(), numbers.len(), "two holders use one number");
}

/// The store is restored twice, the second time to before the first one.
#[test]
fn second_restore() {
    let (register, mut b, claimed_ms) = second_holder();
    let mut numbers = vec![b.may_act(at(claimed_ms), BUDGET).unwrap()];
    let mut restored = register;
    for n in 1..=2 {
        restored = restored.restored(1);
        let now = at(claimed_ms + n * 1_000);
        restored.read_by(&mut b, now);
        assert!(restored.perform_step(&mut b, now));
        numbers.push(b.may_act(now, BUDGET).unwrap());
    }
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}
