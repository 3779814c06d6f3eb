//! Work that the client accounts ask of this instance.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::{AccountTag, WorkReport, classes, keep_heaviest};
use crate::average::exponential_decay;
use crate::edge::urgency::{ByUrgency, Urgency};

/// Time constant of the averages. A burst lasts for seconds, and the largest account alone brings
/// tens of requests in this time.
const WINDOW: Duration = Duration::from_millis(500);

/// Maximum number of accounts that are remembered, in each class. Beyond it, further ones
/// count only in the sums until others are dropped.
const MAX_ACCOUNTS: usize = 4_096;

/// Work below which an account is dropped, in milliseconds of engine time per second.
const MIN_WORK: f64 = 0.5;

/// Average work, in milliseconds of engine time per second.
#[derive(Debug, Clone, Copy, Default)]
struct WorkRate {
    per_s: f64,
    at: MonotonicTime,
}

impl WorkRate {
    fn add(&mut self, cost_ms: f64, now: MonotonicTime) {
        // A cost that is no number would stay in the average for ever.
        let cost_ms = if cost_ms.is_finite() {
            cost_ms.max(0.0)
        } else {
            0.0
        };
        self.per_s = self.per_s(now) + cost_ms / WINDOW.as_secs_f64();
        self.at = now;
    }

    fn per_s(&self, now: MonotonicTime) -> f64 {
        self.per_s * exponential_decay(now.since(self.at), WINDOW)
    }
}

/// Work asked for and done at this instance.
#[derive(Debug, Default)]
pub struct AskedWork {
    by_account: ByUrgency<HashMap<AccountTag, WorkRate>>,
    asked: ByUrgency<WorkRate>,
    done: WorkRate,
}

impl AskedWork {
    pub fn record_asked(
        &mut self,
        account: AccountTag,
        urgency: Urgency,
        cost_ms: f64,
        now: MonotonicTime,
    ) {
        self.asked[urgency].add(cost_ms, now);
        let by_account = &mut self.by_account[urgency];
        if by_account.contains_key(&account) || by_account.len() < MAX_ACCOUNTS {
            by_account.entry(account).or_default().add(cost_ms, now);
        }
    }

    pub fn record_done(&mut self, cost_ms: f64, now: MonotonicTime) {
        self.done.add(cost_ms, now);
    }

    /// Returns the work at `now`, with the `max_accounts` heaviest accounts of each class.
    pub fn report(&mut self, now: MonotonicTime, max_accounts: usize) -> WorkReport {
        let mut report = WorkReport {
            instances: 1,
            asked: self.asked.map(|rate| rounded(rate.per_s(now))),
            done: rounded(self.done.per_s(now)),
            heavy: ByUrgency::default(),
        };
        for urgency in classes() {
            let by_account = &mut self.by_account[urgency];
            by_account.retain(|_, rate| rate.per_s(now) >= MIN_WORK);
            let work =
                |(account, rate): (&AccountTag, &WorkRate)| (*account, rounded(rate.per_s(now)));
            report.heavy[urgency] = by_account.iter().map(work).collect();
            keep_heaviest(&mut report.heavy[urgency], max_accounts);
        }
        report
    }
}

/// Rounds a non-negative number. One that is too large becomes the largest integer.
fn rounded(work: f64) -> u32 {
    work.round() as u32
}
