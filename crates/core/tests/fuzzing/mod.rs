//! Runs random histories of a state machine from a fixed seed.

use std::cell::Cell;
use std::ops::Range;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

thread_local! {
    static IN_HISTORY: Cell<bool> = const { Cell::new(false) };
}

/// Number in an environment variable, `default` if it is not set or does not parse.
pub fn env_number<T: std::str::FromStr>(variable: &str, default: T) -> T {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs histories and returns how many were run, and the first failure after shrinking, as text.
pub fn run<T: StateMachineTest>(
    cases: u32,
    seed: u64,
    max_shrink_iters: u32,
    commands: Range<usize>,
) -> (u32, Option<String>) {
    silence_histories();
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let histories = Cell::new(0);
    IN_HISTORY.set(true);
    let result = runner.run(
        &T::Reference::sequential_strategy(commands),
        |(start, commands, seen)| {
            histories.set(histories.get() + 1);
            T::test_sequential(config.clone(), start, commands, seen);
            Ok::<_, TestCaseError>(())
        },
    );
    IN_HISTORY.set(false);
    let failure = result.err().map(|e| match e {
        TestError::Fail(reason, (start, commands, _)) => {
            format!("{reason}\nstart: {start:?}\ncommands: {commands:#?}")
        }
        TestError::Abort(reason) => format!("aborted: {reason}"),
    });
    (histories.get(), failure)
}

/// Suppresses the panic messages of failing histories, which shrinking repeats hundreds of times.
/// The shrunk history is printed at the end.
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
