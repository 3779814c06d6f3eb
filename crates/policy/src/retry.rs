//! Bound on repeated work.

use nutmegbay_core::environment::MonotonicTime;

/// Retries earned by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries per second that are allowed without traffic, so that a lone request can be retried.
const IDLE_RETRIES_PER_S: f64 = 0.5;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 10.0;

/// Token bucket that keeps retries to a share of first attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tokens: f64,
    at: MonotonicTime,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            tokens: MAX_SAVED,
            at: now,
        }
    }

    /// Notes a first attempt.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes a retry out of the budget; false if it is used up.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        let idle = now.since(self.at).as_secs_f64() * IDLE_RETRIES_PER_S;
        self.tokens = (self.tokens + idle).min(MAX_SAVED);
        self.at = self.at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
