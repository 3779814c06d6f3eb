//! Demand forecast from level and trend.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::average::exponential_decay;

/// Time constant of the level.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// Time constant of the trend. With a shorter one, noise from single long prompts looks like a
/// trend.
const TREND_TIME_CONSTANT: Duration = Duration::from_secs(40);

/// Damping factor of the trend. A swing of the demand takes about 10 s, less than the trend needs
/// to show it. With 0.5 the planner assigned all engines to prefill, and then none.
const TREND_DAMPING: f64 = 0.1;

/// Exponential smoothing of level and trend over irregularly spaced samples. The trend is not added
/// to the level: with it, the level fell to zero after each swing.
#[derive(Debug, Default, Clone, Copy)]
pub struct Forecast {
    level: f64,
    trend: f64,
    first_sample_at: Option<MonotonicTime>,
    last_sample_at: Option<MonotonicTime>,
}

impl Forecast {
    /// Adds a sample. A value that is not finite, or a second one at the same time, is ignored.
    pub fn sample(&mut self, value: f64, now: MonotonicTime) {
        let Some(last_sample_at) = self.last_sample_at else {
            self.level = value;
            self.first_sample_at = Some(now);
            self.last_sample_at = Some(now);
            return;
        };
        let gap = now.since(last_sample_at);
        if gap.is_zero() || !value.is_finite() {
            return;
        }
        let before = self.level;
        self.level += (1.0 - exponential_decay(gap, LEVEL_TIME_CONSTANT)) * (value - self.level);
        let slope = (self.level - before) / gap.as_secs_f64();
        self.trend += (1.0 - exponential_decay(gap, TREND_TIME_CONSTANT)) * (slope - self.trend);
        self.last_sample_at = Some(now);
    }

    /// Returns whether the samples cover enough time that the first one no longer dominates.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.first_sample_at
            .is_some_and(|first_sample_at| now.since(first_sample_at) >= LEVEL_TIME_CONSTANT * 2)
    }

    /// Returns the current level, at least zero.
    pub fn level(&self) -> f64 {
        self.level.max(0.0)
    }

    /// Returns the value expected `seconds` after the last sample, at least zero.
    pub fn expected_after(&self, seconds: f64) -> f64 {
        (self.level + TREND_DAMPING * self.trend * seconds).max(0.0)
    }
}
