//! Guards against any sequence of faults that lets two holders act, sends conflicting orders, takes
//! a withdrawn key, loses a configuration or counts, or reports two figures for one window.
//!
//! `NUTMEGBAY_FUZZ_CASES` sets the number of histories of each test.

mod cluster;
mod common;

use cluster::steps::{cases, fuzz};

/// Histories of each of the four tests, so that 1,000 run by default.
const CASES: u32 = 260;

fn survive(seed: u8) {
    if let Err((predicate, steps)) = fuzz(seed, cases(CASES), 4_000, None) {
        panic!("seed {seed}: {predicate}\nhistory: {steps:#?}");
    }
}

#[test]
fn first_seed() {
    survive(1);
}

#[test]
fn second_seed() {
    survive(2);
}

#[test]
fn third_seed() {
    survive(3);
}

#[test]
fn fourth_seed() {
    survive(4);
}
