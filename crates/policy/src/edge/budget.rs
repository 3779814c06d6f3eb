//! One instance's share of a retry budget that all instances respect without coordination.
//!
//! Load pattern: clients retry immediately while upstreams fail. The budget bounds the sum over all
//! instances in every window of a given length. Each instance therefore limits itself to a share,
//! such that the sum of all shares stays within the budget even while instances join.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Number of steps of the sliding window.
const WINDOW_STEPS: u32 = 20;

/// Fraction of the budget that is used. The rest covers requests that reach an upstream in a later
/// window than the one in which this instance counted them.
const USED_FRACTION: f64 = 0.8;

/// Factor on the number of known instances, which leaves room for instances that have joined and
/// are not known to the others yet.
const JOINING_FACTOR: f64 = 2.0;

/// Retry budget of a service over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRetryBudget {
    /// Retries allowed per first request.
    pub ratio: f64,
    /// Retries allowed in each window on top of `ratio`.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

/// First requests and retries of one service in the sliding window, as sent by this instance.
#[derive(Debug, Clone)]
pub struct RetryShare {
    budget: SharedRetryBudget,
    steps: VecDeque<Step>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    index: u128,
    firsts: u32,
    retries: u32,
}

impl RetryShare {
    /// Creates a share in which nothing was counted yet.
    pub fn new(budget: SharedRetryBudget) -> Self {
        Self {
            budget,
            steps: VecDeque::new(),
        }
    }

    /// Changes the budget and keeps the counts.
    pub fn set_budget(&mut self, budget: SharedRetryBudget) {
        self.budget = budget;
    }

    /// Counts a first request.
    pub fn record_first(&mut self, now: MonotonicTime) {
        self.step(now).firsts += 1;
    }

    /// Counts a retry and returns true if this instance's share allows it, where `instances` are
    /// known to run. Returns false otherwise.
    pub fn try_retry(&mut self, now: MonotonicTime, instances: usize) -> bool {
        let instances = instances.max(1) as f64;
        self.step(now);
        let (firsts, retries) = self.steps.iter().fold((0, 0), |(firsts, retries), step| {
            (firsts + step.firsts, retries + step.retries)
        });
        let slack = f64::from(self.budget.slack) / (instances * JOINING_FACTOR);
        let bound = USED_FRACTION * (self.budget.ratio * f64::from(firsts) + slack);
        if f64::from(retries) + 1.0 > bound {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// Returns the step that contains `now`, after dropping the steps that have left the window.
    fn step(&mut self, now: MonotonicTime) -> &mut Step {
        let length = (self.budget.window / WINDOW_STEPS).max(Duration::from_millis(1));
        let index = now.0.as_nanos() / length.as_nanos();
        let oldest = index.saturating_sub(u128::from(WINDOW_STEPS));
        while self.steps.front().is_some_and(|step| step.index < oldest) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.index < index) {
            self.steps.push_back(Step {
                index,
                ..Step::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
