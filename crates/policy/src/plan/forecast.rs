//! Forecast of level and trend.

use nutmegbay_core::world::Moment;

/// Time constant of the level in seconds.
const LEVEL_S: f64 = 6.0;

/// Time constant of the trend in seconds. A shorter one turns noise of single long prompts into
/// trends.
const TREND_S: f64 = 40.0;

/// Share of the trend that is believed. A swing takes about 10 s, less than the trend needs to be
/// seen: with one half the planner gave all engines to prefill, then none.
const DAMPING: f64 = 0.1;

/// Exponential smoothing of level and trend over samples at irregular moments. The trend does not
/// enter the level: with it, the level fell to zero after each swing.
#[derive(Debug, Default, Clone, Copy)]
pub struct Forecast {
    level: f64,
    trend: f64,
    first: Option<Moment>,
    at: Option<Moment>,
}

impl Forecast {
    /// Takes a sample.
    pub fn sample(&mut self, value: f64, now: Moment) {
        let Some(at) = self.at else {
            self.level = value;
            self.first = Some(now);
            self.at = Some(now);
            return;
        };
        let gap = now.since(at).as_secs_f64();
        if gap <= 0.0 || !value.is_finite() {
            return;
        }
        let before = self.level;
        self.level += (1.0 - (-gap / LEVEL_S).exp()) * (value - self.level);
        let slope = (self.level - before) / gap;
        self.trend += (1.0 - (-gap / TREND_S).exp()) * (slope - self.trend);
        self.at = Some(now);
    }

    /// Whether enough was sampled that the first sample no longer decides.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.first
            .is_some_and(|first| now.since(first).as_secs_f64() >= 2.0 * LEVEL_S)
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
