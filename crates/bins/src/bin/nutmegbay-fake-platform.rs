//! Fake platform as its own process.

use std::process::ExitCode;

use nutmegbay_fakes::platform::FakePlatform;

fn main() -> ExitCode {
    nutmegbay_fakes::cli::main::<FakePlatform>()
}
