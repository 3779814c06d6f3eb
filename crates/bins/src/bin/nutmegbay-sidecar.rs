//! The sidecar process.

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> ExitCode {
    let stop = CancellationToken::new();
    let stopping = stop.clone();
    tokio::spawn(async move {
        let (Ok(mut term), Ok(mut int)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        ) else {
            return;
        };
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stopping.cancel();
    });
    match nutmegbay_sidecar::cli::main(stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("nutmegbay-sidecar: {report:?}");
            ExitCode::FAILURE
        }
    }
}
