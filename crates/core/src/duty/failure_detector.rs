use std::collections::BTreeMap;
use std::time::Duration;

use crate::environment::MonotonicTime;

/// Time without an answer after which a process is considered failed. A process that is unreachable
/// for only a few seconds still gets its counts into the report, which is due later.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

/// Detects failed processes by their missing answers to requests for their counts.
#[derive(Debug, Default)]
pub struct FailureDetector {
    failing_since: BTreeMap<Box<str>, MonotonicTime>,
}

impl FailureDetector {
    /// Records that a process could not be reached.
    pub fn record_failure(&mut self, name: &str, now: MonotonicTime) {
        self.failing_since.entry(name.into()).or_insert(now);
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
