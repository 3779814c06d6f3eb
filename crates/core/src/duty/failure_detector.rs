use std::collections::BTreeMap;
use std::time::Duration;

use crate::environment::MonotonicTime;

/// Time for which a process is out of reach before it is taken for gone. One that is only cut off for
/// some seconds still gets its counts into the report, which is due later.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

/// Processes that did not answer when they were asked for their counts.
#[derive(Debug, Default)]
pub struct FailureDetector {
    failing_since: BTreeMap<Box<str>, MonotonicTime>,
}

impl FailureDetector {
    /// Notes that a process could not be reached.
    pub fn record_failure(&mut self, name: &str, now: MonotonicTime) {
        self.failing_since.entry(name.into()).or_insert(now);
    }

    /// Notes a sign of life.
    pub fn record_response(&mut self, name: &str) {
        self.failing_since.remove(name);
    }

    /// Whether a process has been out of reach for so long that it is not waited for.
    pub fn is_considered_failed(&self, name: &str, now: MonotonicTime) -> bool {
        let since = self.failing_since.get(name);
        since.is_some_and(|since| now.since(*since) >= FAILURE_TIMEOUT)
    }
}
