//! Fake service in a process of its own.

use std::process::ExitCode;

use nutmegbay_fakes::service::FakeService;

fn main() -> ExitCode {
    nutmegbay_fakes::cli::main::<FakeService>()
}
