//! Crashes of upstreams by the content of the prompts that they were running, for all requests of
//! this gateway and its peers.
//!
//! [`suspects`](super::suspects) blames whole requests, which are in the log. Prompts that begin
//! alike and go on differently are blamed here for their beginning.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmegbay_core::crashes::{BrokenRun, ContentId, CrashHistory, CrashReport, ReportSource};
use nutmegbay_core::ids::Incarnation;

use super::environment::Clock;

/// Crash history that the requests and the state task of a gateway share.
pub struct SharedCrashHistory {
    history: Mutex<CrashHistory>,
    clock: Clock,
}

impl SharedCrashHistory {
    /// Creates an empty history.
    pub fn new(clock: Clock) -> Self {
        Self {
            history: Mutex::new(CrashHistory::new(rand::random())),
            clock,
        }
    }

    /// Records a run that was sent at `sent_ms` and broke with the crash `crash`.
    pub fn record_crash(&self, contents: &[ContentId], crash: Incarnation, sent_ms: u64) {
        #[expect(clippy::cast_possible_truncation, reason = "64 of 128 random bits")]
        let incarnation = crash.0 as u64;
        self.update(|history, now_ms| {
            let run = BrokenRun {
                id: rand::random(),
                contents: contents.to_vec(),
                incarnation,
                sent_ms: sent_ms.min(now_ms),
                broke_ms: now_ms,
            };
            history.record_broken_run(run, now_ms);
            history.end_incarnation(incarnation, now_ms);
        });
    }

    /// Records a complete answer of one run to a request with `contents`.
    pub fn record_answer(&self, contents: &[ContentId]) {
        self.update(|history, now_ms| history.record_answer(contents, now_ms));
    }

    /// Records that a request with `contents` is sent, or returns the time for which it is refused.
    pub fn check_send(&self, contents: &[ContentId]) -> Result<(), Duration> {
        let now_ms = self.clock.wall_ms();
        let mut history = self.lock();
        if let Some(wait) = history.refused_for(contents, now_ms) {
            return Err(wait);
        }
        history.record_sent(contents, now_ms);
        Ok(())
    }

    /// Applies what a peer knows.
    pub fn merge(&self, report: &CrashReport) {
        if !report.is_empty() {
            self.update(|history, now_ms| history.merge(report, ReportSource::Shared, now_ms));
        }
    }

    /// Returns the news that are due to be sent to all peers.
    pub fn take_news(&self) -> CrashReport {
        let now_ms = self.clock.wall_ms();
        let mut history = self.lock();
        history.sweep(now_ms);
        history.take_news(now_ms)
    }

    /// Returns what a gateway needs that has just started.
    pub fn report(&self) -> CrashReport {
        self.lock().report(self.clock.wall_ms())
    }

    fn update(&self, change: impl FnOnce(&mut CrashHistory, u64)) {
        let now_ms = self.clock.wall_ms();
        let mut history = self.lock();
        let before = history.quarantines().len();
        change(&mut history, now_ms);
        let after = history.quarantines().len();
        if before != after {
            tracing::warn!(event = "quarantined_contents_changed", before, after);
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
