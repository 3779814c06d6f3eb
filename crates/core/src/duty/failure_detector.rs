use std::collections::BTreeMap;
use std::time::Duration;

use crate::environment::MonotonicTime;

/// Time without an answer after which a process is considered failed. A process that is unreachable
/// for only a few seconds still gets its counts into the report, which is due later.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

/// Detects failed processes by their missing answers to requests for their counts.
///
/// Load pattern: an instance is removed for good and the duties change hands, so that each new holder
/// would wait anew for its counts, window by window, until the reports are nearly overdue. When the
/// store then goes away, the windows that wait are lost. A process that writes nothing while others
/// do has been silent for that time already.
#[derive(Debug, Default)]
pub struct FailureDetector {
    failing_since: BTreeMap<Box<str>, MonotonicTime>,
}

impl FailureDetector {
    /// Records that a process could not be reached.
    pub fn record_failure(&mut self, name: &str, now: MonotonicTime) {
        self.record_silence(name, now, Duration::ZERO);
    }

    /// Records that a process could not be reached, which has also written nothing for `silent` when
    /// others did.
    pub fn record_silence(&mut self, name: &str, now: MonotonicTime, silent: Duration) {
        let since = MonotonicTime(now.0.saturating_sub(silent));
        let known = self.failing_since.entry(name.into()).or_insert(since);
        *known = since.min(*known);
    }

    /// Records that a process has answered.
    pub fn record_response(&mut self, name: &str) {
        self.failing_since.remove(name);
    }

    /// Returns whether a process has been unreachable for so long that its counts are not waited
    /// for.
    pub fn is_considered_failed(&self, name: &str, now: MonotonicTime) -> bool {
        let since = self.failing_since.get(name);
        since.is_some_and(|since| now.since(*since) >= FAILURE_TIMEOUT)
    }
}
