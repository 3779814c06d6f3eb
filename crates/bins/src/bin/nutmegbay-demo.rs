//! Demo that runs all components in one process.

use std::process::ExitCode;

fn main() -> ExitCode {
    nutmegbay_demo::cli::main()
}
