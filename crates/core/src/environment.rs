//! The one trait through which components meet the outside.

use std::time::Duration;

use crate::record::Record;

/// MonotonicTime on the runtime's monotonic clock, counted from the start of the process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(pub Duration);

impl MonotonicTime {
    /// MonotonicTime `after` later.
    #[must_use]
    pub fn plus(self, after: Duration) -> Self {
        Self(self.0.saturating_add(after))
    }

    /// Time since `earlier`, zero if that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Time, randomness and effects, as supplied by the embedder.
pub trait Environment {
    /// Effects that the component asks for.
    type Effect;

    /// Current moment.
    fn now(&self) -> MonotonicTime;

    /// Wall-clock time in milliseconds since 1970, used for window numbers and the audit trail.
    fn wall_ms(&self) -> u64;

    /// Fresh random bits for identifiers.
    fn random(&mut self) -> u128;

    /// Starts an effect; its result comes back as an event.
    fn perform(&mut self, effect: Self::Effect);
}

/// Appends `records` in one group; answered by an event with the first offset, or by a failure that
/// says whether the group may still take effect.
#[derive(Debug, Clone, PartialEq)]
pub struct Append {
    /// Token that the answer repeats.
    pub token: u64,
    /// Records in order.
    pub records: Vec<Record>,
}
