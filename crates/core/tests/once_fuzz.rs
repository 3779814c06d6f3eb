//! Stateful fuzzing of non-idempotent calls: gateways, sidecars and services in memory under kills,
//! pauses, log outages, and lost, delayed and duplicated messages. Guards against calls that run
//! twice, wrong `NotRun` verdicts, answers that differ between retries, and calls that are lost.

mod fuzzing;
mod once_sim;

use std::cell::Cell;

use fuzzing::{env_number, run};
use nutmegbay_core::mutation::{Mutation, Mutations};
use once_sim::{Command, GATEWAYS, InitialState, SIDECARS, Sim, only};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of random histories in one run; `NUTMEGBAY_FUZZ_CASES` replaces it.
const CASES: u32 = 1_000;

/// Maximum number of histories within which a deliberate fault must be found.
const MAX_MUTATION_CASES: u32 = 4_000;

/// Seed of the histories; `NUTMEGBAY_FUZZ_SEED` replaces it, except for the deliberate faults.
const SEED: u64 = 1;

/// Maximum number of steps for shrinking a failing history.
const SHRINK_STEPS: u32 = 2_000;

/// Number of commands in one history.
const COMMANDS: std::ops::Range<usize> = 4..40;

/// Number of different calls in one history.
const CALLS: u8 = 4;

thread_local! {
    static MUTATIONS: Cell<Mutations> = Cell::new(Mutations::default());
}

struct HistoryModel;

impl ReferenceStateMachine for HistoryModel {
    type State = InitialState;
    type Transition = Command;

    fn init_state() -> BoxedStrategy<InitialState> {
        (any::<u64>(), proptest::bool::weighted(0.25))
            .prop_map(|(seed, small_tables)| InitialState { seed, small_tables })
            .boxed()
    }

    fn transitions(_: &InitialState) -> BoxedStrategy<Command> {
        let gateway = || 0..GATEWAYS;
        let sidecar = || 0..SIDECARS;
        prop_oneof![
            12 => (0..CALLS, gateway(), prop_oneof![200_u64..1_000, 2_000_u64..6_000])
                .prop_map(|(call, gateway, deadline_ms)| Command::Call { call, gateway, deadline_ms }),
            2 => Just(Command::Leave),
            8 => (1_u64..60).prop_map(|ms| Command::Run { ms }),
            4 => (100_u64..1_500).prop_map(|ms| Command::Run { ms }),
            2 => gateway().prop_map(Command::KillGateway),
            2 => sidecar().prop_map(Command::KillSidecar),
            2 => (gateway(), 100_u64..3_000)
                .prop_map(|(gateway, ms)| Command::PauseGateway { gateway, ms }),
            1 => (sidecar(), 100_u64..3_000)
                .prop_map(|(sidecar, ms)| Command::PauseSidecar { sidecar, ms }),
            2 => (100_u64..3_000).prop_map(|ms| Command::LogOutage { ms }),
            2 => (1_u32..4).prop_map(Command::LoseAppendAnswers),
            2 => (1_u32..4).prop_map(Command::LoseMessages),
            3 => (1_u32..4).prop_map(Command::DuplicateMessages),
            3 => (1_u32..6, 50_u64..3_000)
                .prop_map(|(messages, ms)| Command::DelayMessages { messages, ms }),
            1 => (sidecar(), any::<bool>())
                .prop_map(|(sidecar, after)| Command::ServiceDies { sidecar, after }),
            1 => sidecar().prop_map(Command::Drain),
        ]
        .boxed()
    }

    fn apply(state: InitialState, _: &Command) -> InitialState {
        state
    }
}

struct CallFuzz;

impl StateMachineTest for CallFuzz {
    type SystemUnderTest = Sim;
    type Reference = HistoryModel;

    fn init_test(start: &InitialState) -> Sim {
        Sim::new(*start, MUTATIONS.get())
    }

    fn apply(mut sim: Sim, _: &InitialState, command: Command) -> Sim {
        sim.apply(&command);
        sim
    }

    fn teardown(mut sim: Sim, _: InitialState) {
        sim.finish();
    }
}

/// Runs random histories and returns their number and the first failure, shrunk and as text.
fn fuzz(cases: u32, seed: u64, mutation: Option<Mutation>) -> (u32, Option<String>) {
    MUTATIONS.set(only(mutation));
    run::<CallFuzz>(cases, seed, SHRINK_STEPS, COMMANDS)
}

#[test]
fn random_histories() {
    let cases = env_number("NUTMEGBAY_FUZZ_CASES", CASES);
    let (histories, failure) = fuzz(cases, env_number("NUTMEGBAY_FUZZ_SEED", SEED), None);
    assert!(failure.is_none(), "{}", failure.unwrap_or_default());
    assert!(histories >= cases);
}

/// Checks that the fuzzing detects `mutation` by one of the predicates, which are named by their
/// first words.
fn assert_detected(mutation: Mutation, predicates: &[&str]) {
    let (histories, failure) = fuzz(MAX_MUTATION_CASES, SEED, Some(mutation));
    let failure = failure.unwrap_or_else(|| panic!("{mutation:?} survived {histories} histories"));
    assert!(
        predicates
            .iter()
            .any(|predicate| failure.contains(predicate)),
        "{mutation:?} was detected by another predicate: {failure}"
    );
    println!("{mutation:?}: {histories} runs with shrinking\n{failure}");
}

#[test]
fn run_again() {
    assert_detected(Mutation::RunKnownAttempt, &["once:"]);
}

#[test]
fn run_fenced() {
    assert_detected(Mutation::RunFencedAttempt, &["once:"]);
}

#[test]
fn run_other_incarnation() {
    assert_detected(Mutation::RunOtherIncarnation, &["once:"]);
}

#[test]
fn two_open() {
    assert_detected(Mutation::OpenWithoutPrev, &["once:", "not run:"]);
}

#[test]
fn low_water() {
    assert_detected(Mutation::NoLowWater, &["once:"]);
}

#[test]
fn stale_verdict() {
    assert_detected(Mutation::StaleNotRun, &["not run:"]);
}

#[test]
fn revoked_right() {
    assert_detected(Mutation::DispatchRevoked, &["not run for ever:"]);
}

#[test]
fn forgotten_answer() {
    assert_detected(Mutation::ForgetAnswer, &["same answer:"]);
}

#[test]
fn abandoned_dispatch() {
    assert_detected(Mutation::AbandonLostDispatch, &["lost:"]);
}
