//! Watches the settings file for changes.

use std::convert::Infallible;
use std::path::Path;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::settings::EdgeSettings;

/// Time between two reads of the file. The platform may change it without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file at `path` periodically and whenever `signal` completes, and sends the
/// settings to `tx` if they have changed. A file that is unreadable or invalid is logged and leaves
/// the last settings in place.
pub async fn watch_file<E: std::fmt::Display>(
    path: &Path,
    decode: impl Fn(&str) -> Result<EdgeSettings, E>,
    mut signal: impl AsyncFnMut(),
    tx: watch::Sender<EdgeSettings>,
) -> Infallible {
    let mut last_fault = None;
    loop {
        let is_signalled = timeout(POLL_INTERVAL, signal()).await.is_ok();
        if is_signalled {
            tracing::info!(event = "reload_requested");
        }
        // The file is a few KiB. Reading it takes less time than a switch to another thread.
        let read = std::fs::read_to_string(path)
            .map_err(|e| e.to_string())
            .and_then(|text| decode(&text).map_err(|e| e.to_string()));
        match read {
            Ok(settings) => {
                last_fault = None;
                tx.send_if_modified(|current| {
                    let is_new = *current != settings;
                    if is_new {
                        *current = settings;
                    }
                    is_new
                });
            }
            Err(fault) => {
                if last_fault.as_ref() != Some(&fault) {
                    tracing::error!(event = "settings_unusable", %fault, "the previous settings stay in force");
                }
                last_fault = Some(fault);
            }
        }
    }
}
