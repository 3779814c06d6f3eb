//! Stateful fuzzing of requests that crash upstreams. Guards against a poison request that takes
//! down more than two upstreams, innocent requests that stay suspect and suspects that wait for ever.

mod quarantine_sim;

use std::cell::Cell;

use nutmegbay_core::mutation::{Mutation, Mutations};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use quarantine_sim::{Command, GATEWAYS, Sim, UPSTREAMS};

/// Histories of one run unless `NUTMEGBAY_FUZZ_CASES` says otherwise.
const CASES: u32 = 1_000;

/// Seed of the histories; `NUTMEGBAY_FUZZ_SEED` replaces it, but not for the mutations.
const SEED: u64 = 1;

/// Commands of one history.
const COMMANDS: std::ops::Range<usize> = 2..30;

/// Keeps the panics of failing histories, which shrinking repeats hundreds of times, out of the
/// output; the shrunk history is printed at the end.
fn silence_histories() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let default = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            if !IN_HISTORY.get() {
                default(info);
            }
        }));
    });
}

thread_local! {
    static IN_HISTORY: Cell<bool> = const { Cell::new(false) };
    static FAULT: Cell<Mutations> = Cell::new(Mutations::default());
}

struct Model;

impl ReferenceStateMachine for Model {
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

struct Suspects;

impl StateMachineTest for Suspects {
    type SystemUnderTest = Sim;
    type Reference = Model;

    fn init_test(seed: &u64) -> Sim {
        Sim::new(*seed, FAULT.get())
    }

    fn apply(mut sim: Sim, _: &u64, command: Command) -> Sim {
        sim.apply(&command);
        sim
    }

    fn teardown(mut sim: Sim, _: u64) {
        sim.finish();
    }
}

fn number<T: std::str::FromStr>(variable: &str, default: T) -> T {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs histories and returns the number of them and the first failure, shrunk and as text.
fn fuzz(cases: u32, seed: u64, mutations: Mutations) -> (u32, Option<String>) {
    silence_histories();
    FAULT.set(mutations);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 500,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let histories = Cell::new(0);
    IN_HISTORY.set(true);
    let result = runner.run(
        &Model::sequential_strategy(COMMANDS),
        |(start, commands, seen)| {
            histories.set(histories.get() + 1);
            Suspects::test_sequential(config.clone(), start, commands, seen);
            Ok::<_, TestCaseError>(())
        },
    );
    IN_HISTORY.set(false);
    let failure = result.err().map(|e| match e {
        TestError::Fail(why, (start, commands, _)) => {
            format!("{why}\nstart: {start:?}\ncommands: {commands:#?}")
        }
        TestError::Abort(why) => format!("aborted: {why}"),
    });
    (histories.get(), failure)
}

#[test]
fn random_histories() {
    let cases = number("NUTMEGBAY_FUZZ_CASES", CASES);
    let seed = number("NUTMEGBAY_FUZZ_SEED", SEED);
    let (histories, failure) = fuzz(cases, seed, Mutations::default());
    assert!(failure.is_none(), "{}", failure.unwrap_or_default());
    assert!(histories >= cases);
}

/// Checks that the fuzzing finds `mutation` through the predicate that starts with `predicate`.
fn finds(mutation: Mutation, predicate: &str) {
    let (histories, failure) = fuzz(CASES, SEED, Mutations::only(mutation));
    let failure = failure.unwrap_or_else(|| panic!("{mutation:?} survived {histories} histories"));
    assert!(
        failure.contains(predicate),
        "{mutation:?} was found by another predicate: {failure}"
    );
    println!("{mutation:?}: {histories} runs with shrinking\n{failure}");
}

#[test]
fn ignored_crashes() {
    finds(Mutation::IgnoreCrashes, "two:");
}

#[test]
fn never_cleared() {
    finds(Mutation::NeverClear, "cleared:");
}

#[test]
fn unchecked_lock() {
    finds(Mutation::LockWithoutPrev, "lock:");
}
