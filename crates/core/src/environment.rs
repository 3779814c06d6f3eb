//! Interface between the components and the process that embeds them.

use std::time::Duration;

use crate::record::Record;

/// Time on the monotonic clock of the process, counted from its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(pub Duration);

impl MonotonicTime {
    /// Returns the time `after` later, saturating at the maximum.
    #[must_use]
    pub fn plus(self, after: Duration) -> Self {
        Self(self.0.saturating_add(after))
    }

    /// Returns the time elapsed since `earlier`, zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Clock, random numbers and effects, supplied by the embedder.
pub trait Environment {
    /// Effects that the component requests.
    type Effect;

    /// Returns the current monotonic time.
    fn now(&self) -> MonotonicTime;

    /// Returns the wall-clock time in milliseconds since 1970, which is used for usage window
    /// numbers and the audit trail.
    fn wall_ms(&self) -> u64;

    /// Returns 128 new random bits, which are used for identifiers.
    fn random(&mut self) -> u128;

    /// Starts an effect. Its result is passed to the component as an event.
    fn perform(&mut self, effect: Self::Effect);
}

/// Effect that appends `records` to the log as one group. It is answered by an event with the first
/// offset, or by a failure that says whether the group may still take effect.
#[derive(Debug, Clone, PartialEq)]
pub struct Append {
    /// Identifies the append in its answer.
    pub token: u64,
    /// Records in log order.
    pub records: Vec<Record>,
}
