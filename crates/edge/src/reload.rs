//! Follows changes of the settings file, with and without a signal.

use std::convert::Infallible;
use std::path::Path;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::settings::EdgeSettings;

/// Time between two looks at the file. The platform may change it without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// Sends the settings of `path` whenever they change, until it is dropped.
/// `signal` ends at each request to look at the file.
pub async fn watch_file<E: std::fmt::Display>(
    path: &Path,
    decode: impl Fn(&str) -> Result<EdgeSettings, E>,
    mut signal: impl AsyncFnMut(),
    tx: watch::Sender<EdgeSettings>,
) -> Infallible {
    let mut last_fault = None;
    loop {
        let is_signalled = timeout(LOOK_EVERY, signal()).await.is_ok();
        if is_signalled {
            tracing::info!(event = "reload_requested");
        }
        // The file is a few KiB; reading it takes less time than waking another thread.
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
                    tracing::error!(event = "settings_unusable", %fault, "the former ones stay");
                }
                last_fault = Some(fault);
            }
        }
    }
}
