//! Group commit: combines the appends that arrive within a few milliseconds into one.

use std::sync::Arc;
use std::time::Duration;

use nutmegbay_backplane::Log;
use nutmegbay_core::environment::Append;
use nutmegbay_core::verdict::Verdict;
use serde_json::value::{RawValue, to_raw_value};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};

use super::Input;

/// Time for which records are collected into a group. It limits a gateway to 100 appends per
/// second.
const GROUP_DELAY: Duration = Duration::from_millis(10);

/// Number of records from which a group is complete.
const MAX_GROUP_RECORDS: usize = 512;

/// Maximum number of concurrent appends. With more than one, an append whose answer is lost does
/// not block the next.
const MAX_CONCURRENT_APPENDS: usize = 4;

/// Component that requested an append and receives its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendSource {
    /// The node: leases, usage, orders and snapshots.
    Node,
    /// The coordinator of non-idempotent calls.
    AtMostOnceCalls,
    /// The tracker of requests that crash upstreams.
    Suspects,
}

/// An append that waits to be grouped.
#[derive(Debug)]
pub struct QueuedAppend {
    /// Component that requested it.
    pub source: AppendSource,
    /// Records and the token of the append.
    pub append: Append,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendOutcome {
    /// Component that requested it.
    pub source: AppendSource,
    /// Token of the append.
    pub token: u64,
    /// `Ran` if the records are in the log, otherwise whether they may be.
    pub verdict: Verdict,
}

/// Groups and performs appends until all senders are dropped.
pub async fn run<L>(
    log: L,
    mut queue: mpsc::UnboundedReceiver<QueuedAppend>,
    inputs: mpsc::Sender<Input>,
) where
    L: Log + Clone + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_APPENDS));
    while let Some(first) = queue.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let group = collect_group(first, &mut queue).await;
        let (log, inputs) = (log.clone(), inputs.clone());
        tokio::spawn(async move {
            append_group(&log, group, &inputs).await;
            drop(permit);
        });
    }
}

async fn collect_group(
    first: QueuedAppend,
    queue: &mut mpsc::UnboundedReceiver<QueuedAppend>,
) -> Vec<QueuedAppend> {
    let deadline = Instant::now() + GROUP_DELAY;
    let mut count = first.append.records.len();
    let mut group = vec![first];
    while count < MAX_GROUP_RECORDS {
        let Ok(Some(next)) = timeout_at(deadline, queue.recv()).await else {
            break;
        };
        count += next.append.records.len();
        group.push(next);
    }
    group
}

async fn append_group(log: &impl Log, group: Vec<QueuedAppend>, inputs: &mpsc::Sender<Input>) {
    let records: Result<Vec<Box<RawValue>>, _> = group
        .iter()
        .flat_map(|queued| &queued.append.records)
        .map(to_raw_value)
        .collect();
    let verdict = match records {
        Err(error) => {
            tracing::error!(event = "record_not_encoded", %error);
            Verdict::NotRun
        }
        Ok(records) => match log.append(records).await {
            Ok(_) => Verdict::Ran,
            Err(e) => {
                let error = e.current_context();
                tracing::warn!(event = "append_failed", %error);
                error.verdict
            }
        },
    };
    for queued in group {
        let outcome = AppendOutcome {
            source: queued.source,
            token: queued.append.token,
            verdict,
        };
        if inputs.send(Input::Appended(outcome)).await.is_err() {
            return;
        }
    }
}
