//! Guards against a fuzzing that would miss a fault: each deliberate fault breaks its predicate.

mod cluster;
mod common;

use cluster::steps::{cases, fuzz};
use nutmegbay_core::mutation::Mutation;

/// Histories within which a deliberate fault has to be found. The rarest one, a lease that counts
/// from the answer, breaks its predicate in about one of several hundred.
const CASES: u32 = 1500;

const SEED: u8 = 5;

/// Shrinking is switched off: only the finding counts here.
const NO_SHRINKING: u32 = 0;

fn caught(mutation: Mutation, predicate: &'static str) {
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
        caught(mutation, "lease overlap");
    }
}

#[test]
fn configuration_faults() {
    caught(Mutation::PublishWithoutPrev, "configuration");
}

#[test]
fn key_faults() {
    caught(Mutation::ServeWhenIsolated, "withdrawn key");
    caught(Mutation::NoKeyCheck, "withdrawn key");
    caught(Mutation::KeepStreams, "withdrawn key");
}

#[test]
fn order_faults() {
    caught(Mutation::IntentWithoutCheck, "order conflict");
    caught(Mutation::AnyEpoch, "order conflict");
}

#[test]
fn usage_faults() {
    caught(Mutation::RecountOnRepeat, "window figure");
    caught(Mutation::RecountOnRepeat, "replica state");
    caught(Mutation::ReportAfterSeal, "window figure");
    caught(Mutation::DropFailedCounts, "lost counts");
}
