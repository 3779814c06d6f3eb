//! Load generator.

use std::process::ExitCode;

fn main() -> ExitCode {
    nutmegbay_load::cli::main()
}
