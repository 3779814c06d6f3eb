//! Guards against sequences of faults after which two processes act under one lease, conflicting
//! orders are sent, a withdrawn key is accepted, a configuration or usage counts are lost, or a
//! window is reported with two different figures.
//!
//! `NUTMEGBAY_FUZZ_CASES` sets the number of histories of each test.

mod cluster;
mod common;

use cluster::steps::{cases, fuzz};

/// Number of histories of each of the four tests, so that more than 1,000 run by default.
const CASES: u32 = 260;

fn check_histories(seed: u8) {
    if let Err((predicate, steps)) = fuzz(seed, cases(CASES), 4_000, None) {
        panic!("seed {seed}: {predicate}\nhistory: {steps:#?}");
    }
}

#[test]
fn first_seed() {
    check_histories(1);
}

#[test]
fn second_seed() {
    check_histories(2);
}

#[test]
fn third_seed() {
    check_histories(3);
}

#[test]
fn fourth_seed() {
    check_histories(4);
}
