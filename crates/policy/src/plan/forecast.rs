//! Forecast of level and trend.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::average::kept;

/// Time over which the level is averaged.
const LEVEL_TIME: Duration = Duration::from_secs(6);

/// Time over which the trend is averaged. A shorter one turns noise of single long prompts into
/// trends.
const TREND_TIME: Duration = Duration::from_secs(40);

/// Share of the trend that is believed. A swing takes about 10 s, less than the trend needs to be
/// seen: with one half the planner gave all engines to prefill, then none.
const DAMPING: f64 = 0.1;

/// Exponential smoothing of level and trend over samples at irregular moments. The trend does not
/// enter the level: with it, the level fell to zero after each swing.
#[derive(Debug, Default, Clone, Copy)]
pub struct Forecast {
    level: f64,
    trend: f64,
    first: Option<MonotonicTime>,
    at: Option<MonotonicTime>,
}

impl Forecast {
    /// Takes a sample.
    pub fn sample(&mut self, value: f64, now: MonotonicTime) {
        let Some(at) = self.at else {
            self.level = value;
            self.first = Some(now);
            self.at = Some(now);
            return;
        };
        let gap = now.since(at);
        if gap.is_zero() || !value.is_finite() {
            return;
        }
        let before = self.level;
        self.level += (1.0 - kept(gap, LEVEL_TIME)) * (value - self.level);
        let slope = (self.level - before) / gap.as_secs_f64();
        self.trend += (1.0 - kept(gap, TREND_TIME)) * (slope - self.trend);
        self.at = Some(now);
    }

    /// Whether enough was sampled that the first sample no longer decides.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.first
            .is_some_and(|first| now.since(first) >= LEVEL_TIME * 2)
    }

    /// Current level.
    pub fn level(&self) -> f64 {
        self.level.max(0.0)
    }

    /// Value expected `ahead` seconds from the last sample.
    pub fn ahead(&self, ahead: f64) -> f64 {
        (self.level + DAMPING * self.trend * ahead).max(0.0)
    }
}
