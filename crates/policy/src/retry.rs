//! Retry budget that bounds repeated work.

use nutmegbay_core::environment::MonotonicTime;

/// Retries added to the budget by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries per second that are added without traffic, so that a single request can be retried.
const IDLE_RETRIES_PER_S: f64 = 0.5;

/// Maximum number of retries that can accumulate.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Token bucket that limits retries to a fraction of first attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    retries: f64,
    refilled_at: MonotonicTime,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            retries: MAX_SAVED_RETRIES,
            refilled_at: now,
        }
    }

    /// Records a first attempt, which adds a fraction of a retry.
    pub fn record_first_attempt(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        let idle = now.since(self.refilled_at).as_secs_f64() * IDLE_RETRIES_PER_S;
        self.retries = (self.retries + idle).min(MAX_SAVED_RETRIES);
        self.refilled_at = self.refilled_at.max(now);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
