//! Histories of faults and of actions of callers and operators, generated and shrunk by proptest.

use std::env;
use std::ops::Range;
use std::sync::atomic::Ordering;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::ReferenceStateMachine;

use nutmegbay_core::mutation::{Mutation, Mutations};

use super::{Cluster, KEYS, NODES};

/// Upper bound of the number of steps of one history.
const STEPS: usize = 36;

/// Durations in milliseconds below the length of a lease.
const SHORT: Range<u64> = 100..2_500;
/// Durations in milliseconds around the length of a lease.
const LONG: Range<u64> = 500..9_000;

/// One step of a history: a fault, an action of an operator or of the planner, or time that passes.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    Run { ms: u64 },
    Fault { node: usize, fault: Fault },
    TwoFaults { node: usize, faults: (Fault, Fault) },
    LogDown { ms: u64 },
    Grant,
    Withdraw { key: usize },
    Publish { operators: u8 },
    RequestOrder { engine: u8, version: u8 },
    LoseOrders { count: u32 },
    DelayOrder { ms: u64 },
    RepeatOrder { ms: u64 },
    ReportsDown { ms: u64 },
    LoseReportAnswers { count: u32 },
}

/// Fault of one node.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    CutLog { ms: u64 },
    CutReads { ms: u64 },
    CutAppends { ms: u64 },
    CutPeers { ms: u64 },
    Isolate { ms: u64 },
    SlowReads { delay: u64, ms: u64 },
    LoseAnswers { count: u32 },
    FailAppends { count: u32 },
    DelayAppend { ms: u64 },
    RepeatAppend { ms: u64 },
    Pause { ms: u64 },
    Kill { ms: u64 },
    Stop { ms: u64 },
}

/// Generates histories. The reference state is the number of keys, so that each withdrawal refers
/// to a key that was granted.
#[derive(Debug, Clone, Copy)]
pub struct HistoryModel;

impl ReferenceStateMachine for HistoryModel {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        Just(KEYS).boxed()
    }

    fn transitions(keys: &usize) -> BoxedStrategy<Step> {
        let time = prop_oneof![
            6 => (50..900_u64).prop_map(|ms| Step::Run { ms }),
            1 => (900..4_500_u64).prop_map(|ms| Step::Run { ms }),
        ];
        let node_fault = (0..NODES, fault()).prop_map(|(node, fault)| Step::Fault { node, fault });
        let two_faults = (0..NODES, (fault(), fault()));
        let two_faults = two_faults.prop_map(|(node, faults)| Step::TwoFaults { node, faults });
        let other_fault = prop_oneof![
            LONG.prop_map(|ms| Step::LogDown { ms }),
            (1..4_u32).prop_map(|count| Step::LoseOrders { count }),
            LONG.prop_map(|ms| Step::DelayOrder { ms }),
            LONG.prop_map(|ms| Step::RepeatOrder { ms }),
            LONG.prop_map(|ms| Step::ReportsDown { ms }),
            (1..3_u32).prop_map(|count| Step::LoseReportAnswers { count }),
        ];
        let key = 0..*keys;
        let operators = prop_oneof![
            2 => Just(Step::Grant),
            2 => key.prop_map(|key| Step::Withdraw { key }),
            2 => (1..4_u8).prop_map(|operators| Step::Publish { operators }),
            4 => (0..3_u8, 0..3_u8).prop_map(|(engine, version)| Step::RequestOrder { engine, version }),
        ];
        prop_oneof![10 => time, 4 => node_fault, 2 => two_faults, 3 => other_fault, 6 => operators]
            .boxed()
    }

    fn apply(keys: usize, step: &Step) -> usize {
        keys + usize::from(*step == Step::Grant)
    }
}

/// Generates one fault. A lease ends late only if appends fail while reads are slow, so these two
/// faults are more frequent than others.
fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        1 => LONG.prop_map(|ms| Fault::CutLog { ms }),
        1 => LONG.prop_map(|ms| Fault::CutReads { ms }),
        3 => LONG.prop_map(|ms| Fault::CutAppends { ms }),
        1 => LONG.prop_map(|ms| Fault::CutPeers { ms }),
        1 => LONG.prop_map(|ms| Fault::Isolate { ms }),
        3 => (SHORT, LONG).prop_map(|(delay, ms)| Fault::SlowReads { delay, ms }),
        1 => (1..4_u32).prop_map(|count| Fault::LoseAnswers { count }),
        1 => (1..4_u32).prop_map(|count| Fault::FailAppends { count }),
        1 => LONG.prop_map(|ms| Fault::DelayAppend { ms }),
        1 => SHORT.prop_map(|ms| Fault::RepeatAppend { ms }),
        1 => LONG.prop_map(|ms| Fault::Pause { ms }),
        1 => SHORT.prop_map(|ms| Fault::Kill { ms }),
        1 => SHORT.prop_map(|ms| Fault::Stop { ms }),
    ]
}

/// Number of histories of one test: `NUTMEGBAY_FUZZ_CASES`, or `default`.
pub fn cases(default: u32) -> u32 {
    let set = env::var("NUTMEGBAY_FUZZ_CASES").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs histories from a fixed seed. On a failure, returns the violated predicate with the shrunk
/// history. With a deliberate fault, only the predicate that is given with it is checked.
pub fn fuzz(
    seed: u8,
    cases: u32,
    max_shrink_iters: u32,
    mutation: Option<(Mutation, &'static str)>,
) -> Result<(), (String, Vec<Step>)> {
    let config = Config {
        cases,
        max_shrink_iters,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = HistoryModel::sequential_strategy(1..STEPS);
    let verdict = runner.run(&strategy, |(_, steps, counter)| {
        // Shrinking first drops the steps after the failure, which the counter reveals.
        let counter = counter.filter(|_| max_shrink_iters > 0);
        let on_step = |count| {
            if let Some(counter) = &counter {
                counter.store(count, Ordering::SeqCst);
            }
        };
        run(&steps, mutation, on_step).map_err(TestCaseError::fail)
    });
    match verdict {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, (_, steps, _))) => Err((reason.message().to_owned(), steps)),
        Err(TestError::Abort(reason)) => panic!("the fuzzing was aborted: {reason}"),
    }
}

/// Runs one history and returns the first violated predicate.
fn run(
    steps: &[Step],
    mutation: Option<(Mutation, &'static str)>,
    on_step: impl Fn(usize),
) -> Result<(), String> {
    let mutations = mutation.map_or_else(Mutations::default, |(m, _)| Mutations::only(m));
    let mut cluster = Cluster::new(mutations);
    cluster.oracle.only = mutation.map(|(_, predicate)| predicate);
    for (index, step) in steps.iter().enumerate() {
        on_step(index + 1);
        cluster.step(step);
        cluster.oracle.verdict()?;
    }
    cluster.settle();
    cluster.oracle.verdict()
}
