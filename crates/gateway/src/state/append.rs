//! Group commit: records that come within a few milliseconds go to the log in one append.

use std::sync::Arc;
use std::time::Duration;

use nutmegbay_backplane::Log;
use nutmegbay_core::environment::Append;
use nutmegbay_core::verdict::Verdict;
use serde_json::value::{RawValue, to_raw_value};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};

use super::Input;

/// Time for which records are collected. It bounds the appends of one gateway to 100 a second.
const GROUP_TIME: Duration = Duration::from_millis(10);

/// Records in one group.
const GROUP_MAX: usize = 512;

/// Appends under way at one time, so that one lost answer does not hold up the others.
const IN_FLIGHT_MAX: usize = 4;

/// Component that asked for an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Replica, leases, usage, orders and snapshots.
    Node,
    /// Non-idempotent calls.
    Once,
    /// Requests that crash upstreams.
    Suspects,
}

/// An append of one component.
#[derive(Debug)]
pub struct Wanted {
    /// Component.
    pub source: Source,
    /// Records.
    pub append: Append,
}

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Component that asked for it.
    pub source: Source,
    /// Token of the append.
    pub token: u64,
    /// `Ran` if the log took it, otherwise what is known.
    pub verdict: Verdict,
}

/// Groups appends until all senders are gone.
pub async fn run<L>(
    log: L,
    mut wanted: mpsc::UnboundedReceiver<Wanted>,
    inputs: mpsc::Sender<Input>,
) where
    L: Log + Clone + 'static,
{
    let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
    while let Some(first) = wanted.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let group = collect(first, &mut wanted).await;
        let (log, inputs) = (log.clone(), inputs.clone());
        tokio::spawn(async move {
            append(&log, group, &inputs).await;
            drop(permit);
        });
    }
}

async fn collect(first: Wanted, wanted: &mut mpsc::UnboundedReceiver<Wanted>) -> Vec<Wanted> {
    let until = Instant::now() + GROUP_TIME;
    let mut count = first.append.records.len();
    let mut group = vec![first];
    while count < GROUP_MAX {
        let Ok(Some(next)) = timeout_at(until, wanted.recv()).await else {
            break;
        };
        count += next.append.records.len();
        group.push(next);
    }
    group
}

async fn append(log: &impl Log, group: Vec<Wanted>, inputs: &mpsc::Sender<Input>) {
    let records: Result<Vec<Box<RawValue>>, _> = group
        .iter()
        .flat_map(|wanted| &wanted.append.records)
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
    for wanted in group {
        let appended = Appended {
            source: wanted.source,
            token: wanted.append.token,
            verdict,
        };
        if inputs.send(Input::Appended(appended)).await.is_err() {
            return;
        }
    }
}
