use std::time::Duration;

use crate::environment::{Append, MonotonicTime};
use crate::record::Record;

/// Combines the appends of a gateway into groups. Each group is one append to the log.
///
/// A group is sent when its first record has waited for `window`, or when it is full. One group is
/// in flight at a time, so a slow log makes larger groups instead of more appends.
#[derive(Debug)]
pub struct GroupCommit {
    window: Duration,
    max_records: usize,
    records: Vec<Record>,
    tokens: Vec<u64>,
    due_at: Option<MonotonicTime>,
    is_in_flight: bool,
}

impl GroupCommit {
    /// Creates a collector of groups with up to `max_records` records, each held for at most
    /// `window`.
    pub fn new(window: Duration, max_records: usize) -> Self {
        Self {
            window,
            max_records,
            records: Vec::new(),
            tokens: Vec::new(),
            due_at: None,
            is_in_flight: false,
        }
    }

    /// Adds an append to the open group.
    pub fn push(&mut self, append: Append, now: MonotonicTime) {
        self.due_at.get_or_insert(now.plus(self.window));
        self.tokens.push(append.token);
        self.records.extend(append.records);
    }

    /// Returns the time at which the open group is to be sent, `None` if it is empty or another
    /// group is in flight. A full group is due immediately.
    pub fn due(&self) -> Option<MonotonicTime> {
        match self.due_at {
            _ if self.is_in_flight => None,
            Some(_) if self.records.len() >= self.max_records => Some(MonotonicTime::default()),
            due => due,
        }
    }

    /// Takes the open group if it is due. Returns its records and the tokens of its appends.
    pub fn take(&mut self, now: MonotonicTime) -> Option<(Vec<Record>, Vec<u64>)> {
        if self.due()? > now {
            return None;
        }
        self.due_at = None;
        self.is_in_flight = true;
        Some((
            std::mem::take(&mut self.records),
            std::mem::take(&mut self.tokens),
        ))
    }

    /// Handles that the group in flight was answered or abandoned.
    pub fn done(&mut self) {
        self.is_in_flight = false;
    }
}
