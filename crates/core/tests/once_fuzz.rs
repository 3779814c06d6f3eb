//! Stateful fuzzing of at-most-once calls: gateways, sidecars and services in memory under kills,
//! pauses, lost, late and repeated messages and log outages. Guards against calls that run twice,
//! untrue "not run" verdicts, answers that differ and calls that get lost.

mod fuzzing;
mod once_sim;

use std::cell::Cell;

use fuzzing::{env_number, run};
use nutmegbay_core::mutation::{Mutation, Mutations};
use once_sim::{Command, GATEWAYS, SIDECARS, Sim, Start, only};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Histories of one run unless `NUTMEGBAY_FUZZ_CASES` says otherwise.
const CASES: u32 = 1_000;

/// Histories that a mutation may survive at most.
const MUTATION_CASES: u32 = 4_000;

/// Seed of the histories; `NUTMEGBAY_FUZZ_SEED` replaces it, but not for the mutations.
const SEED: u64 = 1;

/// Steps for shrinking a failing history.
const SHRINK_STEPS: u32 = 2_000;

/// Commands of one history.
const COMMANDS: std::ops::Range<usize> = 4..40;

/// Callers of this many calls share a history.
const CALLS: u8 = 4;

thread_local! {
    static FAULT: Cell<Mutations> = Cell::new(Mutations::default());
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = Start;
    type Transition = Command;

    fn init_state() -> BoxedStrategy<Start> {
        (any::<u64>(), proptest::bool::weighted(0.25))
            .prop_map(|(seed, small_tables)| Start { seed, small_tables })
            .boxed()
    }

    fn transitions(_: &Start) -> BoxedStrategy<Command> {
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

    fn apply(state: Start, _: &Command) -> Start {
        state
    }
}

struct Calls;

impl StateMachineTest for Calls {
    type SystemUnderTest = Sim;
    type Reference = Model;

    fn init_test(start: &Start) -> Sim {
        Sim::new(*start, FAULT.get())
    }

    fn apply(mut sim: Sim, _: &Start, command: Command) -> Sim {
        sim.apply(&command);
        sim
    }

    fn teardown(mut sim: Sim, _: Start) {
        sim.finish();
    }
}

/// Runs histories and returns the number of them and the first failure, shrunk and as text.
fn fuzz(cases: u32, seed: u64, mutation: Option<Mutation>) -> (u32, Option<String>) {
    FAULT.set(only(mutation));
    run::<Calls>(cases, seed, SHRINK_STEPS, COMMANDS)
}

#[test]
fn random_histories() {
    let cases = env_number("NUTMEGBAY_FUZZ_CASES", CASES);
    let (histories, failure) = fuzz(cases, env_number("NUTMEGBAY_FUZZ_SEED", SEED), None);
    assert!(failure.is_none(), "{}", failure.unwrap_or_default());
    assert!(histories >= cases);
}

/// Checks that the fuzzing finds `mutation` through one of the predicates, named by their first words.
fn finds(mutation: Mutation, predicates: &[&str]) {
    let (histories, failure) = fuzz(MUTATION_CASES, SEED, Some(mutation));
    let failure = failure.unwrap_or_else(|| panic!("{mutation:?} survived {histories} histories"));
    assert!(
        predicates
            .iter()
            .any(|predicate| failure.contains(predicate)),
        "{mutation:?} was found by another predicate: {failure}"
    );
    println!("{mutation:?}: {histories} runs with shrinking\n{failure}");
}

#[test]
fn run_again() {
    finds(Mutation::RunSeenAttempt, &["once:"]);
}

#[test]
fn run_fenced() {
    finds(Mutation::RunFencedAttempt, &["once:"]);
}

#[test]
fn run_other_life() {
    finds(Mutation::RunOtherLife, &["once:"]);
}

#[test]
fn two_open() {
    finds(Mutation::OpenWithoutPrev, &["once:", "not run:"]);
}

#[test]
fn low_water() {
    finds(Mutation::NoLowWater, &["once:"]);
}

#[test]
fn stale_verdict() {
    finds(Mutation::StaleNotRun, &["not run:"]);
}

#[test]
fn revoked_right() {
    finds(Mutation::DispatchRevoked, &["not run for ever:"]);
}

#[test]
fn forgotten_answer() {
    finds(Mutation::ForgetAnswer, &["same answer:"]);
}

#[test]
fn abandoned_dispatch() {
    finds(Mutation::AbandonLostDispatch, &["lost:"]);
}
