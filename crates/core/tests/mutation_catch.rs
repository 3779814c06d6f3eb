//! Guards against fuzzing that would miss a fault: each deliberate fault must break its predicate.

mod cluster;
mod common;

use cluster::steps::{cases, fuzz};
use nutmegbay_core::mutation::Mutation;

/// Number of random histories within which a deliberate fault must be found. The rarest one, a
/// lease that counts from the answer, breaks its predicate in about one of several hundred.
const CASES: u32 = 1500;

const SEED: u8 = 5;

/// Shrinking is disabled: only the detection matters here.
const NO_SHRINKING: u32 = 0;

fn assert_detected(mutation: Mutation, predicate: &'static str) {
    let cases = cases(CASES).max(CASES);
    let found = fuzz(SEED, cases, NO_SHRINKING, Some((mutation, predicate)));
    let Err((reason, steps)) = found else {
        panic!("{mutation:?} does not break `{predicate}` in {cases} histories of seed {SEED}");
    };
    let steps = steps.len();
    println!("mutation={mutation:?} seed={SEED} steps={steps} broken=\"{reason}\"");
}

#[test]
fn lease_faults() {
    for mutation in [
        Mutation::ClaimWithoutPrev,
        Mutation::NoLeaseCheck,
        Mutation::LeaseFromAnswer,
        Mutation::NoCandidateWait,
        Mutation::NoStartWait,
    ] {
        assert_detected(mutation, "lease overlap");
    }
}

#[test]
fn configuration_faults() {
    assert_detected(Mutation::PublishWithoutPrev, "configuration");
}

#[test]
fn key_faults() {
    assert_detected(Mutation::ServeWhenIsolated, "withdrawn key");
    assert_detected(Mutation::NoKeyCheck, "withdrawn key");
    assert_detected(Mutation::KeepStreams, "withdrawn key");
}

#[test]
fn order_faults() {
    assert_detected(Mutation::IntentWithoutCheck, "order conflict");
    assert_detected(Mutation::AnyEpoch, "order conflict");
}

#[test]
fn usage_faults() {
    assert_detected(Mutation::RecountOnRepeat, "window figure");
    assert_detected(Mutation::RecountOnRepeat, "replica state");
    assert_detected(Mutation::ReportAfterSeal, "window figure");
    assert_detected(Mutation::DropFailedCounts, "lost counts");
}
