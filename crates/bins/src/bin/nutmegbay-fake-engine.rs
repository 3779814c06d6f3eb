//! Fake engine as its own process.

use std::process::ExitCode;

use nutmegbay_fakes::engine::FakeEngine;

fn main() -> ExitCode {
    nutmegbay_fakes::cli::main::<FakeEngine>()
}
