//! Fake platform in a process of its own.

use std::process::ExitCode;

use nutmegbay_fakes::platform::FakePlatform;

fn main() -> ExitCode {
    nutmegbay_fakes::cli::main::<FakePlatform>()
}
