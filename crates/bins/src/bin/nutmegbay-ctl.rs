//! Command-line tool for operators.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = nutmegbay_ctl::command().get_matches();
    nutmegbay_ctl::run(&matches).await.into()
}
