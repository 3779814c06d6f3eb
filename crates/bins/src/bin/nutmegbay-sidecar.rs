//! Sidecar process, which runs beside an upstream.

use std::process::ExitCode;

use nutmegbay_sidecar::cli;

#[tokio::main]
async fn main() -> ExitCode {
    cli::main(&cli::command().get_matches()).await.into()
}
