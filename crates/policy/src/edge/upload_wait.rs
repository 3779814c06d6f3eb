//! Wait for the result of an upload.
//!
//! Load pattern: an upstream takes a large body slowly, because its link is narrow or it is busy.
//! The wait for a result that suits a small request ends in the middle of the body, the request is
//! sent once more to another upstream, and the two uploads together fill the link. An upstream that
//! takes bytes is not silent, so the wait counts from the last ones.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Number of times that the progress is looked at within the longest wait.
const STEPS: u32 = 4;

/// What follows from the progress of an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadStep {
    /// Wait on.
    Wait,
    /// The upstream has taken nothing for the longest wait.
    GiveUp,
}

/// Progress of one upload.
#[derive(Debug, Clone, Copy)]
pub struct UploadWait {
    max_wait: Duration,
    written: u64,
    progress_at: MonotonicTime,
}

impl UploadWait {
    /// Begins to wait at `now` for a result that may come `max_wait` after the last progress.
    pub fn new(max_wait: Duration, now: MonotonicTime) -> Self {
        Self {
            max_wait,
            written: 0,
            progress_at: now,
        }
    }

    /// Returns the time until the progress is to be looked at again.
    pub fn step_time(&self) -> Duration {
        self.max_wait / STEPS
    }

    /// Handles that `written` bytes have been written at `now`.
    pub fn step(&mut self, written: u64, now: MonotonicTime) -> UploadStep {
        if written != self.written {
            self.written = written;
            self.progress_at = now;
        }
        if now.since(self.progress_at) < self.max_wait {
            UploadStep::Wait
        } else {
            UploadStep::GiveUp
        }
    }
}
