//! Origins of open streams that are to be written to the store.
//!
//! Load pattern: all instances are killed at the same moment while several versions are in use, and
//! the callers of all streams come back. No copy in memory is left. Most streams end within tens of
//! milliseconds, and each call to the store has a cost, so an instance writes the origins of those
//! that are still open, together, and only while more than one version is known.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::stream_origins::{AttemptTag, Origin, OriginNews, ServiceTag};

/// Minimum time between two writes of an instance. A stream that began less than this before a kill
/// of all instances is not known afterwards.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two writes, per instance that writes: all together write some 30 times per
/// second at most.
const INTERVAL_PER_WRITER: Duration = Duration::from_millis(30);

/// Minimum time between two reads of an instance.
pub const READ_SPACING: Duration = Duration::from_secs(1);

/// Maximum number of origins that wait to be written. Further ones are not written.
const MAX_UNWRITTEN: usize = 64 * 1024;

/// Maximum number of origins in one record.
const MAX_RECORD: usize = 8 * 1024;

/// Returns the time between two writes where `writers` instances write.
pub fn write_interval(writers: usize) -> Duration {
    let writers = u32::try_from(writers).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_WRITER.saturating_mul(writers))
}

/// Origins that wait to be written.
#[derive(Debug, Default)]
pub struct UnwrittenOrigins {
    by_attempt: HashMap<AttemptTag, (Origin, MonotonicTime)>,
}

impl UnwrittenOrigins {
    /// Records that a stream began, or was taken up.
    pub fn record(&mut self, attempt: AttemptTag, origin: Origin, now: MonotonicTime) {
        if self.by_attempt.len() < MAX_UNWRITTEN {
            self.by_attempt.insert(attempt, (origin, now));
        }
    }

    /// Records the streams of another instance, which this one writes for it, or those of a write
    /// that failed.
    pub fn record_all(&mut self, origins: &[OriginNews], now: MonotonicTime) {
        for news in origins {
            for attempt in news.streams() {
                self.record(attempt, news.origin, now);
            }
        }
    }

    /// Records that a stream is complete: its caller need not take it up.
    pub fn record_complete(&mut self, attempt: AttemptTag) {
        self.by_attempt.remove(&attempt);
    }

    /// Drops streams that can no longer be taken up.
    pub fn sweep(&mut self, retention: Duration, now: MonotonicTime) {
        self.by_attempt
            .retain(|_, (_, at)| now.since(*at) < retention);
    }

    /// Takes the origins of the services that `is_mixed` selects, as many as fit into one record.
    pub fn take(&mut self, is_mixed: impl Fn(ServiceTag) -> bool) -> Vec<OriginNews> {
        let mut groups: BTreeMap<Origin, Vec<AttemptTag>> = BTreeMap::new();
        let taken = self
            .by_attempt
            .extract_if(|_, (origin, _)| is_mixed(origin.service));
        for (attempt, (origin, _)) in taken.take(MAX_RECORD) {
            groups.entry(origin).or_default().push(attempt);
        }
        groups
            .into_iter()
            .map(|(origin, attempts)| OriginNews::new(origin, attempts))
            .collect()
    }

    /// Number of origins that wait.
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }
}
