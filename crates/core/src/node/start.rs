use crate::ids::Offset;
use crate::snapshot::{Collector, Image};

use super::event::{Entry, TailRead};

/// Log length up to which a start replays everything without looking for a snapshot.
const SHORT_LOG: u64 = 2048;

/// Records before the head that are searched first; each further search covers four times as many.
const FIRST_SPAN: u64 = 8192;

/// Finds a snapshot to start from, by searching backwards from the head of the log.
#[derive(Debug, Default)]
pub(super) struct Search {
    span: Option<u64>,
    next: Offset,
    collector: Collector,
}

/// What to do after a read.
#[derive(Debug)]
pub(super) enum Found {
    /// Read on from this offset.
    ReadFrom(Offset),
    /// Start from this snapshot.
    Snapshot(Image),
    /// The log goes back to its first record and has no snapshot: replay it.
    ReplayAll,
    /// The log neither goes back to its first record nor has a snapshot.
    Nothing,
}

impl Search {
    /// Looks at the records of a read.
    pub(super) fn on_read(&mut self, read: &TailRead) -> Found {
        let Some(span) = self.span else {
            if read.oldest == Offset(0) && read.head.0 <= SHORT_LOG {
                return Found::ReplayAll;
            }
            return self.widen(FIRST_SPAN, read);
        };
        self.feed(&read.entries);
        if self.next < read.head && !read.entries.is_empty() {
            return Found::ReadFrom(self.next);
        }
        let latest = self.collector.latest();
        if let Some(image) = latest.filter(|image| image.as_of >= read.oldest) {
            return Found::Snapshot(image.clone());
        }
        if read.head.0.saturating_sub(span) > read.oldest.0 {
            return self.widen(span.saturating_mul(4), read);
        }
        *self = Self::default();
        if read.oldest == Offset(0) {
            Found::ReplayAll
        } else {
            Found::Nothing
        }
    }

    fn widen(&mut self, span: u64, read: &TailRead) -> Found {
        self.span = Some(span);
        self.next = Offset(read.head.0.saturating_sub(span)).max(read.oldest);
        self.collector = Collector::default();
        Found::ReadFrom(self.next)
    }

    fn feed(&mut self, entries: &[Entry]) {
        for (offset, text) in entries {
            if *offset >= self.next {
                self.collector.feed(text);
                self.next = offset.next();
            }
        }
    }
}
