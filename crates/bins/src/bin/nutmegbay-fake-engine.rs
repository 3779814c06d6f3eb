//! Fake model engine in a process of its own.

use std::process::ExitCode;

use nutmegbay_fakes::engine::FakeEngine;

fn main() -> ExitCode {
    nutmegbay_fakes::cli::main::<FakeEngine>()
}
