//! Recent log records, for peers and sidecars that cannot read the log.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::LogEntry;

/// Records that are kept.
const KEPT: usize = 4_096;

/// Bytes of text that are kept.
const KEPT_BYTES: usize = 4 << 20;

/// Bytes of text in one answer.
const SENT_BYTES: usize = 256 << 10;

/// Consecutive records up to the last one applied.
#[derive(Debug, Default)]
pub struct Recent {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl Recent {
    /// Adds a record. After a gap the earlier ones are forgotten.
    pub fn push(&self, entry: LogEntry) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        match inner.entries.back().map(|last| last.offset.next()) {
            Some(next) if entry.offset < next => return,
            Some(next) if entry.offset > next => *inner = Inner::default(),
            _ => {}
        }
        inner.bytes += entry.record.get().len();
        inner.entries.push_back(entry);
        while inner.entries.len() > KEPT || inner.bytes > KEPT_BYTES {
            let Some(oldest) = inner.entries.pop_front() else {
                return;
            };
            inner.bytes -= oldest.record.get().len();
        }
    }

    /// Records from `from` on, none if some of them are not kept any more.
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
            let fits = bytes < SENT_BYTES;
            bytes += entry.record.get().len();
            fits
        })
        .cloned()
        .collect()
    }

    /// Offset of the oldest record that is kept.
    pub fn oldest(&self) -> Option<Offset> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.entries.front().map(|entry| entry.offset)
    }
}
