use crate::ids::Offset;
use crate::snapshot::{ReplicaSnapshot, SnapshotAssembler};

use super::event::{Entry, TailRead};

/// Length of the log, in records, up to which a start replays all of it without searching for a
/// snapshot.
const MAX_FULL_REPLAY: u64 = 2048;

/// Number of records before the head that the first search covers. Each further search covers four
/// times as many.
const FIRST_SEARCH_SPAN: u64 = 8192;

/// Search for the latest snapshot in the log, in spans that end at the head and grow backwards.
#[derive(Debug, Default)]
pub(super) struct SnapshotSearch {
    /// Number of records before the head that the current search covers, `None` before the first.
    span: Option<u64>,
    next: Offset,
    assembler: SnapshotAssembler,
}

/// Next step of a start after a read of the log.
#[derive(Debug)]
pub(super) enum SearchStep {
    /// Read on from this offset.
    ReadFrom(Offset),
    /// Start from this snapshot.
    Load(ReplicaSnapshot),
    /// Replay the whole log: it is short, or it has its first record and no snapshot.
    ReplayAll,
    /// Obtain the state from elsewhere: the log has neither its first record nor a snapshot.
    NotFound,
}

impl SnapshotSearch {
    /// Searches the records of a read.
    pub(super) fn on_read(&mut self, read: &TailRead) -> SearchStep {
        let Some(span) = self.span else {
            if read.oldest == Offset(0) && read.head.0 <= MAX_FULL_REPLAY {
                return SearchStep::ReplayAll;
            }
            return self.widen(FIRST_SEARCH_SPAN, read);
        };
        self.add_entries(&read.entries);
        if self.next < read.head && !read.entries.is_empty() {
            return SearchStep::ReadFrom(self.next);
        }
        let latest = self.assembler.latest();
        if let Some(snapshot) = latest.filter(|snapshot| snapshot.as_of >= read.oldest) {
            return SearchStep::Load(snapshot.clone());
        }
        if read.head.0.saturating_sub(span) > read.oldest.0 {
            return self.widen(span.saturating_mul(4), read);
        }
        *self = Self::default();
        if read.oldest == Offset(0) {
            SearchStep::ReplayAll
        } else {
            SearchStep::NotFound
        }
    }

    fn widen(&mut self, span: u64, read: &TailRead) -> SearchStep {
        self.span = Some(span);
        self.next = Offset(read.head.0.saturating_sub(span)).max(read.oldest);
        self.assembler = SnapshotAssembler::default();
        SearchStep::ReadFrom(self.next)
    }

    fn add_entries(&mut self, entries: &[Entry]) {
        for (offset, text) in entries {
            if *offset >= self.next {
                self.assembler.add_record(text);
                self.next = offset.next();
            }
        }
    }
}
