//! Cache of recent log records, served to peers and sidecars that cannot read the log.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::LogEntry;

/// Maximum number of records in the cache.
const MAX_RECORDS: usize = 4_096;

/// Maximum size of the cached records in bytes of JSON.
const MAX_BYTES: usize = 4 << 20;

/// Size in bytes of JSON from which an answer takes no further record.
const ANSWER_BYTES: usize = 256 << 10;

/// Consecutive log records that end with the last applied one.
#[derive(Debug, Default)]
pub struct RecentRecords {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentRecords {
    /// Adds a record. A record that is cached already is ignored; after a gap in the offsets the
    /// earlier records are dropped.
    pub fn push(&self, entry: LogEntry) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        match inner.entries.back().map(|last| last.offset.next()) {
            Some(next) if entry.offset < next => return,
            Some(next) if entry.offset > next => *inner = Inner::default(),
            _ => {}
        }
        inner.bytes += entry.record.get().len();
        inner.entries.push_back(entry);
        while inner.entries.len() > MAX_RECORDS || inner.bytes > MAX_BYTES {
            let Some(oldest) = inner.entries.pop_front() else {
                return;
            };
            inner.bytes -= oldest.record.get().len();
        }
    }

    /// Returns the records from `from` on, up to the size limit of an answer; empty if the record
    /// at `from` has been dropped.
    pub fn from(&self, from: Offset) -> Vec<LogEntry> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(first) = inner.entries.front().map(|entry| entry.offset) else {
            return Vec::new();
        };
        let Some(skip) = from.0.checked_sub(first.0) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let rest = inner
            .entries
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX));
        rest.take_while(|entry| {
            let fits = bytes < ANSWER_BYTES;
            bytes += entry.record.get().len();
            fits
        })
        .cloned()
        .collect()
    }

    /// Returns the offset of the oldest cached record.
    pub fn oldest(&self) -> Option<Offset> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.entries.front().map(|entry| entry.offset)
    }
}
