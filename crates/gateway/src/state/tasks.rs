//! Tasks that read from the platform for the state task.

use std::time::Duration;

use nutmegbay_core::ids::Offset;
use nutmegbay_platform::{InstanceDirectory, Log};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Input;

/// Records in one read.
const READ_MAX: u32 = 1_000;

/// Longest wait of one read at the head; below the time after which a replica stops being fresh.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the log.
pub async fn tail(log: impl Log, inputs: mpsc::Sender<Input>) {
    let mut next = Offset::default();
    loop {
        match log.read(next, READ_MAX, READ_WAIT).await {
            Ok(read) => {
                next = read.records.last().map_or(next, |e| e.offset.next());
                if inputs.send(Input::Read(read)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                tracing::warn!(event = "log_read_failed", error = %e.current_context());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Follows the list of instances.
pub async fn instances(directory: impl InstanceDirectory, inputs: mpsc::Sender<Input>) {
    loop {
        match directory.instances().await {
            Ok(list) => {
                if inputs.send(Input::Instances(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => tracing::warn!(event = "list_read_failed", error = %e.current_context()),
        }
        sleep(LIST_INTERVAL).await;
    }
}
