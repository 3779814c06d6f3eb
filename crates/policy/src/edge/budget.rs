//! Share of one retry budget that all instances keep together without talking to each other.
//!
//! Load pattern: clients that repeat at once while upstreams fail. The bound holds for the sum over
//! all instances in every window of a given length, so each instance keeps to a share that cannot
//! exceed the bound in sum even while instances join.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Steps in which a window slides.
const STEPS: u32 = 20;

/// Part of the bound that is used. The rest covers arrivals that reach an upstream in a later
/// window than the one in which they were counted here.
const USED_PART: f64 = 0.8;

/// Instances that may join before the others have heard of them, as a factor on those known.
const JOINING_FACTOR: f64 = 2.0;

/// Bound over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries per first request.
    pub ratio: f64,
    /// Retries beyond that.
    pub slack: u32,
    /// Length of the window.
    pub window: Duration,
}

/// First requests and retries of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct RetryShare {
    terms: BudgetTerms,
    steps: VecDeque<Step>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    index: u128,
    firsts: u32,
    retries: u32,
}

impl RetryShare {
    /// An empty share.
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            steps: VecDeque::new(),
        }
    }

    /// Changes the bound; what was counted stays.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Counts a first request.
    pub fn first(&mut self, now: MonotonicTime) {
        self.step(now).firsts += 1;
    }

    /// Counts a retry if the share of one of `instances` has room for it.
    pub fn try_retry(&mut self, now: MonotonicTime, instances: usize) -> bool {
        let instances = instances.max(1) as f64;
        self.step(now);
        let (firsts, retries) = self.steps.iter().fold((0, 0), |(firsts, retries), step| {
            (firsts + step.firsts, retries + step.retries)
        });
        let slack = f64::from(self.terms.slack) / (instances * JOINING_FACTOR);
        let bound = USED_PART * (self.terms.ratio * f64::from(firsts) + slack);
        if f64::from(retries) + 1.0 > bound {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// Step of `now`, after dropping those that have left the window.
    fn step(&mut self, now: MonotonicTime) -> &mut Step {
        let length = (self.terms.window / STEPS).max(Duration::from_millis(1));
        let index = now.0.as_nanos() / length.as_nanos();
        let oldest = index.saturating_sub(u128::from(STEPS));
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
