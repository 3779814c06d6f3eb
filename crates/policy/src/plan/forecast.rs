//! Forecast of level and trend.

use nutmegbay_core::world::Moment;

/// Time constant of the level in seconds.
const LEVEL_S: f64 = 12.0;

/// Time constant of the trend in seconds. A shorter one turns noise of single long prompts into
/// trends.
const TREND_S: f64 = 40.0;

/// Share of the trend that is believed. Swings end before a full extrapolation does.
const DAMPING: f64 = 0.5;

/// Double exponential smoothing over samples at irregular moments.
#[derive(Debug, Default, Clone, Copy)]
pub struct Forecast {
    level: f64,
    trend: f64,
    at: Option<Moment>,
}

impl Forecast {
    /// Takes a sample.
    pub fn sample(&mut self, value: f64, now: Moment) {
        let Some(at) = self.at else {
            self.level = value;
            self.at = Some(now);
            return;
        };
        let gap = now.since(at).as_secs_f64();
        if gap <= 0.0 || !value.is_finite() {
            return;
        }
        let before = self.level;
        let expected = self.level + self.trend * gap;
        self.level = expected + (1.0 - (-gap / LEVEL_S).exp()) * (value - expected);
        let slope = (self.level - before) / gap;
        self.trend += (1.0 - (-gap / TREND_S).exp()) * (slope - self.trend);
        self.at = Some(now);
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
