//! Signals that stop a process or reload its settings.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled on the first SIGTERM or SIGINT. Must be called inside a
/// runtime.
///
/// The handlers stay installed, so that a repeated signal does not kill a process that is draining.
pub fn stop_token() -> std::io::Result<CancellationToken> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        let name = tokio::select! {
            _ = term.recv() => "SIGTERM",
            _ = int.recv() => "SIGINT",
        };
        tracing::info!(signal = name, "stopping");
        stop.cancel();
    });
    Ok(token)
}

/// Returns a function that waits for the next SIGHUP. Must be called inside a runtime. After the
/// call the signal no longer terminates the process.
pub fn reload_requests() -> std::io::Result<impl AsyncFnMut()> {
    let mut hup = signal(SignalKind::hangup())?;
    Ok(async move || {
        // The stream ends only with the runtime.
        hup.recv().await;
    })
}
