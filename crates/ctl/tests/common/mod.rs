//! In-memory log whose answers can be lost before or after the append takes effect.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use nutmegbay_backplane::{Cause, Log, PlatformError};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::{AppendResponse, LogEntry, ReadResponse};
use serde_json::value::RawValue;

/// Fate of the next append.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Works,
    AnswerLost,
    RequestLost,
    Refused,
}

#[derive(Clone)]
pub struct MemoryLog {
    records: Arc<Mutex<Vec<Box<RawValue>>>>,
    fate: Arc<Mutex<Fate>>,
    oldest: Arc<Mutex<u64>>,
}

impl MemoryLog {
    pub fn new() -> Self {
        Self {
            records: Arc::default(),
            fate: Arc::new(Mutex::new(Fate::Works)),
            oldest: Arc::default(),
        }
    }

    pub fn set(&self, fate: Fate) {
        *self.fate.lock().unwrap() = fate;
    }

    /// Drops the records below `oldest`, as the platform does after a time.
    pub fn expire(&self, oldest: u64) {
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
        // Two operators in one task both read before either appends.
        tokio::task::yield_now().await;
        let fate = std::mem::replace(&mut *self.fate.lock().unwrap(), Fate::Works);
        let mut kept = self.records.lock().unwrap();
        let first = Offset(kept.len() as u64);
        if matches!(fate, Fate::Works | Fate::AnswerLost) {
            kept.extend(records);
        }
        match fate {
            Fate::Works => Ok(AppendResponse { first }),
            Fate::AnswerLost | Fate::RequestLost => Err(error(Verdict::MayHaveRun, Cause::Timeout)),
            Fate::Refused => Err(error(Verdict::NotRun, Cause::Unavailable)),
        }
    }

    async fn read(
        &self,
        from: Offset,
        _max: u32,
        _wait: Duration,
    ) -> Result<ReadResponse, Report<PlatformError>> {
        let kept = self.records.lock().unwrap();
        let oldest = *self.oldest.lock().unwrap();
        let records = (from.0.max(oldest)..kept.len() as u64)
            .map(|i| LogEntry {
                offset: Offset(i),
                record: kept[usize::try_from(i).unwrap()].clone(),
            })
            .collect();
        Ok(ReadResponse {
            records,
            head: Offset(kept.len() as u64),
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
