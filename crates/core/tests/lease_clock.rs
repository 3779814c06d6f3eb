//! Guards against a holder that acts after its lease has ended, a candidate that claims too early,
//! and an append that is repeated although it may be in the log.

mod common;

use std::time::Duration;

use common::Log;
use nutmegbay_core::append::Input;
use nutmegbay_core::environment::{Append, Environment, MonotonicTime};
use nutmegbay_core::ids::{Epoch, Incarnation, Offset};
use nutmegbay_core::lease::{LeaseKeeper, LeaseTiming};
use nutmegbay_core::record::{Body, LeaseRole};
use nutmegbay_core::replica::Applied;

const BUDGET: Duration = Duration::from_millis(500);
const ROLE: LeaseRole = LeaseRole::Planner;

/// Clock and requested appends of one process.
#[derive(Default)]
struct TestEnvironment {
    now: MonotonicTime,
    random: u128,
    appends: Vec<Append>,
}

impl Environment for TestEnvironment {
    type Effect = Append;

    fn now(&self) -> MonotonicTime {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        0
    }

    fn random(&mut self) -> u128 {
        self.random += 1;
        self.random
    }

    fn perform(&mut self, append: Append) {
        self.appends.push(append);
    }
}

/// One process with its keeper.
struct Process {
    environment: TestEnvironment,
    keeper: LeaseKeeper,
}

impl Process {
    fn new(name: &str, incarnation: u128) -> Self {
        let terms = LeaseTiming {
            claim_jitter: Duration::ZERO,
            ..LeaseTiming::default()
        };
        let environment = TestEnvironment {
            random: incarnation << 64,
            ..TestEnvironment::default()
        };
        let keeper = LeaseKeeper::new(ROLE, name, Incarnation(incarnation), terms);
        Self {
            environment,
            keeper,
        }
    }

    fn input(&mut self, input: Input<'_>) {
        self.keeper.on_event(&mut self.environment, input);
    }

    fn at(&mut self, ms: u64) {
        self.environment.now = MonotonicTime(Duration::from_millis(ms));
        self.input(Input::Tick);
    }

    fn reach_head(&mut self) {
        let started = self.environment.now;
        self.input(Input::HeadRead { started });
    }

    /// Returns the requested append, at most one.
    fn take_append(&mut self) -> Option<Append> {
        assert!(self.environment.appends.len() <= 1, "two appends at once");
        self.environment.appends.pop()
    }

    fn may_act(&self) -> Option<Epoch> {
        self.keeper.may_act(self.environment.now, BUDGET)
    }
}

/// Writes an append to the log and returns the result of its replay, which all processes read.
fn write(log: &mut Log, append: &Append) -> (Offset, Applied) {
    let offset = log.replica.next();
    let text = serde_json::to_string(&append.records[0]).unwrap();
    (offset, log.replica.apply(offset, &text))
}

/// Returns a process that holds the lease since its claim was sent at 3,350 ms.
fn holder(log: &mut Log) -> Process {
    let mut process = Process::new("g1", 1);
    process.reach_head();
    process.at(3_349);
    assert!(
        process.take_append().is_none(),
        "a started process did not wait"
    );
    process.at(3_350);
    let (offset, applied) = write(log, &process.take_append().unwrap());
    process.environment.now = MonotonicTime(Duration::from_millis(3_800));
    process.input(Input::Applied(offset, &applied));
    process
}

#[test]
fn counts_from_send() {
    let mut log = Log::default();
    let mut process = holder(&mut log);
    process.environment.now = MonotonicTime(Duration::from_millis(5_850));
    assert_eq!(process.may_act(), Some(Epoch(0)));
    process.environment.now = MonotonicTime(Duration::from_millis(5_851));
    assert_eq!(
        process.may_act(),
        None,
        "the lease was counted from the answer, or the send budget was ignored"
    );
}

#[test]
fn renewal_extends() {
    let mut log = Log::default();
    let mut process = holder(&mut log);
    process.at(4_400);
    let renewal = process.take_append().unwrap();
    assert!(matches!(renewal.records[0].body, Body::LeaseRenew(_)));
    process.at(5_800);
    assert!(
        process.take_append().is_none(),
        "a renewal in flight was repeated"
    );
    assert!(process.may_act().is_some());
    let (offset, applied) = write(&mut log, &renewal);
    process.input(Input::Applied(offset, &applied));
    process.environment.now = MonotonicTime(Duration::from_millis(6_900));
    assert_eq!(process.may_act(), Some(Epoch(0)));
    process.environment.now = MonotonicTime(Duration::from_millis(6_901));
    assert_eq!(process.may_act(), None);
}

#[test]
fn lost_answer() {
    let mut log = Log::default();
    let mut process = holder(&mut log);
    process.at(4_400);
    let renewal = process.take_append().unwrap();
    let token = renewal.token;
    let may_have_run = true;
    process.at(5_000);
    process.input(Input::AppendFailed {
        token,
        may_have_run,
    });
    // A read that started before the loss does not prove that the append is not in the log.
    let started = MonotonicTime(Duration::from_millis(4_900));
    process.input(Input::HeadRead { started });
    process.at(6_000);
    assert!(
        process.take_append().is_none(),
        "a lost append was repeated before its result was known"
    );
    process.reach_head();
    process.at(6_200);
    let second = process
        .take_append()
        .expect("no renewal although the first is not in the log");
    assert_ne!(second.records[0].id, renewal.records[0].id);
    let (offset, applied) = write(&mut log, &second);
    process.input(Input::Applied(offset, &applied));
    // The lost append arrives after all. Replay rejects it, and nothing changes.
    let (offset, applied) = write(&mut log, &renewal);
    assert!(!applied.is_accepted());
    process.input(Input::Applied(offset, &applied));
    assert_eq!(process.may_act(), Some(Epoch(0)));
}

#[test]
fn candidate_waits() {
    let mut log = Log::default();
    let mut first = holder(&mut log);
    first.at(4_400);
    let renewal = first.take_append().unwrap();
    let mut second = Process::new("g2", 2);
    second.input(Input::Loaded(&log.replica));
    second.reach_head();
    second.at(3_000);
    let (offset, applied) = write(&mut log, &renewal);
    second.input(Input::Applied(offset, &applied));
    second.at(3_000 + 3_349);
    assert!(
        second.take_append().is_none(),
        "a candidate did not count from the last record that it read"
    );
    second.at(3_000 + 3_350);
    let claim = second.take_append().unwrap();
    let (offset, applied) = write(&mut log, &claim);
    assert!(applied.is_accepted());
    second.input(Input::Applied(offset, &applied));
    assert_eq!(second.may_act(), Some(Epoch(2)));
    first.input(Input::Applied(offset, &applied));
    assert_eq!(first.keeper.state(), "waiting");
}

#[test]
fn planned_stop() {
    let mut log = Log::default();
    let mut first = holder(&mut log);
    let mut second = Process::new("g2", 2);
    second.input(Input::Loaded(&log.replica));
    second.reach_head();
    second.at(4_000);
    first.at(4_100);
    first.input(Input::Stop);
    assert_eq!(first.may_act(), None, "a stopping holder acted");
    let release = first.take_append().unwrap();
    let (offset, applied) = write(&mut log, &release);
    first.input(Input::Applied(offset, &applied));
    assert!(first.keeper.is_stopped());
    second.input(Input::Applied(offset, &applied));
    second.at(4_001);
    assert!(
        second.take_append().is_some(),
        "a released lease was not claimed immediately"
    );
}

#[test]
fn stop_while_claiming() {
    let mut log = Log::default();
    let mut process = Process::new("g1", 1);
    process.reach_head();
    process.at(3_400);
    let claim = process.take_append().unwrap();
    process.input(Input::Stop);
    assert!(!process.keeper.is_stopped());
    let (offset, applied) = write(&mut log, &claim);
    process.input(Input::Applied(offset, &applied));
    assert_eq!(process.may_act(), None);
    let release = process
        .take_append()
        .expect("a stopping process kept the lease that it had claimed");
    let (offset, applied) = write(&mut log, &release);
    process.input(Input::Applied(offset, &applied));
    assert!(process.keeper.is_stopped());
    assert_eq!(log.replica.leases().current(ROLE), None);
}
