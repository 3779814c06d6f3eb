//! Stateful fuzzing of requests that crash upstreams. Guards against a poison request that crashes
//! more than two upstreams, innocent requests that stay suspect, and suspects that wait without
//! end.

mod fuzzing;
mod quarantine_sim;

use std::cell::Cell;

use fuzzing::{env_number, run};
use nutmegbay_core::mutation::{Mutation, Mutations};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use quarantine_sim::{Command, GATEWAYS, Sim, UPSTREAMS};

/// Number of random histories in one run; `NUTMEGBAY_FUZZ_CASES` replaces it.
const CASES: u32 = 1_000;

/// Seed of the histories; `NUTMEGBAY_FUZZ_SEED` replaces it, except for the deliberate faults.
const SEED: u64 = 1;

/// Maximum number of steps for shrinking a failing history.
const SHRINK_STEPS: u32 = 500;

/// Number of commands in one history.
const COMMANDS: std::ops::Range<usize> = 2..30;

thread_local! {
    static MUTATIONS: Cell<Mutations> = Cell::new(Mutations::default());
}

struct HistoryModel;

impl ReferenceStateMachine for HistoryModel {
    type State = u64;
    type Transition = Command;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Command> {
        let gateway = || 0..GATEWAYS;
        prop_oneof![
            10 => (0_u8..4, gateway(), 0..UPSTREAMS)
                .prop_map(|(request, gateway, upstream)| Command::Send { request, gateway, upstream }),
            6 => (1_u64..100).prop_map(|ms| Command::Run { ms }),
            3 => (100_u64..2_000).prop_map(|ms| Command::Run { ms }),
            1 => gateway().prop_map(Command::KillGateway),
            1 => (gateway(), 100_u64..3_000)
                .prop_map(|(gateway, ms)| Command::PauseGateway { gateway, ms }),
            2 => (100_u64..3_000).prop_map(|ms| Command::LogOutage { ms }),
            1 => (1_u32..4).prop_map(Command::LoseAppendAnswers),
            1 => (1_u32..4).prop_map(Command::LoseAnnouncements),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Command) -> u64 {
        state
    }
}

struct QuarantineFuzz;

impl StateMachineTest for QuarantineFuzz {
    type SystemUnderTest = Sim;
    type Reference = HistoryModel;

    fn init_test(seed: &u64) -> Sim {
        Sim::new(*seed, MUTATIONS.get())
    }

    fn apply(mut sim: Sim, _: &u64, command: Command) -> Sim {
        sim.apply(&command);
        sim
    }

    fn teardown(mut sim: Sim, _: u64) {
        sim.finish();
    }
}

/// Runs random histories and returns their number and the first failure, shrunk and as text.
fn fuzz(cases: u32, seed: u64, mutations: Mutations) -> (u32, Option<String>) {
    MUTATIONS.set(mutations);
    run::<QuarantineFuzz>(cases, seed, SHRINK_STEPS, COMMANDS)
}

#[test]
fn random_histories() {
    let cases = env_number("NUTMEGBAY_FUZZ_CASES", CASES);
    let seed = env_number("NUTMEGBAY_FUZZ_SEED", SEED);
    let (histories, failure) = fuzz(cases, seed, Mutations::default());
    assert!(failure.is_none(), "{}", failure.unwrap_or_default());
    assert!(histories >= cases);
}

/// Checks that the fuzzing detects `mutation` by the predicate whose message starts with
/// `predicate`.
fn assert_detected(mutation: Mutation, predicate: &str) {
    let (histories, failure) = fuzz(CASES, SEED, Mutations::only(mutation));
    let failure = failure.unwrap_or_else(|| panic!("{mutation:?} survived {histories} histories"));
    assert!(
        failure.contains(predicate),
        "{mutation:?} was detected by another predicate: {failure}"
    );
    println!("{mutation:?}: {histories} runs with shrinking\n{failure}");
}

#[test]
fn ignored_crashes() {
    assert_detected(Mutation::IgnoreCrashes, "two:");
}

#[test]
fn never_cleared() {
    assert_detected(Mutation::NeverClear, "cleared:");
}

#[test]
fn unchecked_lock() {
    assert_detected(Mutation::LockWithoutPrev, "lock:");
}
