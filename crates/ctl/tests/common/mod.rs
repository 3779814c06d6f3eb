//! In-memory log that can lose the request or the response of an append.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use nutmegbay_backplane::{Cause, Log, PlatformError};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::{AppendResponse, LogEntry, ReadResponse};
use serde_json::value::RawValue;

/// Outcome of the next append. A lost request stores nothing; a lost response comes after the
/// records are stored.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    Succeeds,
    ResponseLost,
    RequestLost,
    Refused,
}

#[derive(Clone)]
pub struct MemoryLog {
    records: Arc<Mutex<Vec<Box<RawValue>>>>,
    next_outcome: Arc<Mutex<AppendOutcome>>,
    oldest: Arc<Mutex<u64>>,
}

impl MemoryLog {
    pub fn new() -> Self {
        Self {
            records: Arc::default(),
            next_outcome: Arc::new(Mutex::new(AppendOutcome::Succeeds)),
            oldest: Arc::default(),
        }
    }

    pub fn set_next_append(&self, next_outcome: AppendOutcome) {
        *self.next_outcome.lock().unwrap() = next_outcome;
    }

    /// Hides the records below `oldest`, as if the platform had deleted them after their retention.
    pub fn prune_below(&self, oldest: u64) {
        *self.oldest.lock().unwrap() = oldest;
    }

    pub fn len(&self) -> usize {
        self.records.lock().unwrap().len()
    }
}

impl Log for MemoryLog {
    async fn append(
        &self,
        records: Vec<Box<RawValue>>,
    ) -> Result<AppendResponse, Report<PlatformError>> {
        // Yields so that two operators in one task both read before either appends.
        tokio::task::yield_now().await;
        let next_outcome = std::mem::replace(
            &mut *self.next_outcome.lock().unwrap(),
            AppendOutcome::Succeeds,
        );
        let mut stored = self.records.lock().unwrap();
        let first = Offset(stored.len() as u64);
        if matches!(
            next_outcome,
            AppendOutcome::Succeeds | AppendOutcome::ResponseLost
        ) {
            stored.extend(records);
        }
        match next_outcome {
            AppendOutcome::Succeeds => Ok(AppendResponse { first }),
            AppendOutcome::ResponseLost | AppendOutcome::RequestLost => {
                Err(error(Verdict::MayHaveRun, Cause::Timeout))
            }
            AppendOutcome::Refused => Err(error(Verdict::NotRun, Cause::Unavailable)),
        }
    }

    async fn read(
        &self,
        from: Offset,
        _max: u32,
        _wait: Duration,
    ) -> Result<ReadResponse, Report<PlatformError>> {
        let stored = self.records.lock().unwrap();
        let oldest = *self.oldest.lock().unwrap();
        let records = (from.0.max(oldest)..stored.len() as u64)
            .map(|i| LogEntry {
                offset: Offset(i),
                record: stored[usize::try_from(i).unwrap()].clone(),
            })
            .collect();
        Ok(ReadResponse {
            records,
            head: Offset(stored.len() as u64),
            oldest: Offset(oldest),
        })
    }
}

fn error(verdict: Verdict, cause: Cause) -> Report<PlatformError> {
    Report::new(PlatformError {
        verdict,
        cause,
        call: "POST /log".into(),
    })
}
