//! Prefill rate of the engines of one service, learned from the durations of prefill calls.
//!
//! Load pattern: the engines of one deployment prefill seven times as fast as those of another one,
//! no setting states their rate, and each instance sees a few long prefills per second. Until the
//! rate is known, all predictions are wrong by that factor. Most prefills wait behind others, which
//! nothing reports, so only the shortest of several show the rate. A window over many of them is
//! exact but completes late; windows therefore begin short and grow.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Minimum tokens of a prefill from which the time per token is learned. Shorter ones are dominated
/// by the fixed time of a call.
const MIN_TOKENS: u32 = 1_024;

/// Maximum fraction of the duration of such a prefill that is attributed to the fixed time. The
/// shortest call so far may be the prefill itself.
const MAX_FIXED_FRACTION: f64 = 0.5;

/// Number of prefills in the first window and in the longest one.
const WINDOW: (u32, u32) = (4, 64);

/// Window length from which the shortest time per token is left out. A prompt that is sent again is
/// found in the engine's cache and takes almost no time.
const OUTLIER_WINDOW: u32 = 64;

/// Weight of a window's time per token after the first window.
const GAIN: f64 = 0.5;

/// Fraction of the objective that the prefill of a whole prompt is assumed to take before the first
/// window is complete. Operators set objectives that can be met.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;

/// Weight of a window whose shortest call was longer than the fixed time.
const FIXED_GAIN: f64 = 0.1;

/// Prefill times that one instance has learned and sends to others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefillTimes {
    /// Fixed time of a call beside the prefill itself, in milliseconds.
    pub fixed_ms: f32,
    /// Time per token, in milliseconds.
    pub token_ms: f32,
    /// Number of prefills in the last window from which the times were learned.
    #[serde(rename = "reads")]
    pub prefills: u32,
}

/// Prefill rate, learned from calls that only prefill a prompt.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRate {
    /// Fixed time of a call and time per token, in milliseconds, or `None` before the first window
    /// is complete.
    known: Option<(f64, f64)>,
    /// Number of prefills in the current window.
    window: u32,
    /// Number of prefills so far in the current window.
    count: u32,
    /// Shortest call in the current window, in milliseconds.
    shortest_ms: f64,
    /// Two shortest times per token in the current window, ascending.
    shortest_token_ms: [f64; 2],
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefillRate {
    /// Creates a rate that is not known yet.
    pub const fn new() -> Self {
        Self {
            known: None,
            window: WINDOW.0,
            count: 0,
            shortest_ms: f64::INFINITY,
            shortest_token_ms: [f64::INFINITY; 2],
        }
    }

    /// Records a call that took `ms` milliseconds and prefilled `tokens` tokens that were not in
    /// the engine's cache.
    pub fn record_prefill(&mut self, tokens: u32, ms: f64) {
        if !ms.is_finite() || ms <= 0.0 {
            return;
        }
        self.shortest_ms = self.shortest_ms.min(ms);
        if tokens < MIN_TOKENS {
            return;
        }
        let fixed_ms = self.known_fixed_ms().min(ms * MAX_FIXED_FRACTION);
        let mut sample = (ms - fixed_ms) / f64::from(tokens);
        for kept in &mut self.shortest_token_ms {
            if sample < *kept {
                std::mem::swap(&mut sample, kept);
            }
        }
        self.count += 1;
        if self.count >= self.window {
            self.close_window();
        }
    }

    /// Upper bound of the fixed time of a call, in milliseconds.
    fn known_fixed_ms(&self) -> f64 {
        self.known.map_or(self.shortest_ms, |(fixed_ms, _)| {
            fixed_ms.min(self.shortest_ms)
        })
    }

    /// Learns from the current window and starts the next one, which is twice as long.
    fn close_window(&mut self) {
        let sample = self.shortest_token_ms[usize::from(self.window >= OUTLIER_WINDOW)];
        let known = self
            .known
            .map_or((self.shortest_ms, sample), |(fixed_ms, token_ms)| {
                // No call is shorter than the fixed time, but every call may have waited.
                let rise_ms = FIXED_GAIN * (self.shortest_ms - fixed_ms).max(0.0);
                (
                    self.shortest_ms.min(fixed_ms + rise_ms),
                    token_ms + GAIN * (sample - token_ms),
                )
            });
        *self = Self {
            known: Some(known),
            window: (self.window * 2).min(WINDOW.1),
            ..Self::new()
        };
    }

    /// Returns the learned times to send to other instances, or `None` before the first window is
    /// complete.
    pub fn times(&self) -> Option<PrefillTimes> {
        self.known.map(|(fixed_ms, token_ms)| PrefillTimes {
            fixed_ms: fixed_ms as f32,
            token_ms: token_ms as f32,
            prefills: self.window / 2,
        })
    }

    /// Adopts the times of another instance if they are valid and come from more prefills than the
    /// own ones.
    pub fn adopt(&mut self, times: PrefillTimes) {
        let own = self.times().map_or(0, |own| own.prefills);
        let is_finite = times.fixed_ms.is_finite() && times.token_ms.is_finite();
        let is_valid = is_finite && times.fixed_ms >= 0.0 && times.token_ms > 0.0;
        if times.prefills > own && is_valid {
            *self = Self {
                known: Some((f64::from(times.fixed_ms), f64::from(times.token_ms))),
                window: times.prefills.saturating_mul(2).clamp(WINDOW.0, WINDOW.1),
                ..Self::new()
            };
        }
    }

    /// Returns the fixed time of a call in milliseconds, or 0 before it is known.
    pub fn fixed_ms(&self) -> f64 {
        self.known.map_or(0.0, |(fixed_ms, _)| fixed_ms)
    }

    /// Returns the prefill time per token in milliseconds. Before it is known, it is assumed from a
    /// prompt of `tokens` tokens whose first result is on time within `objective`.
    pub fn token_ms(&self, tokens: u32, objective: Duration) -> f64 {
        let initial = || {
            let objective_ms = objective.as_secs_f64() * 1e3;
            objective_ms * INITIAL_OBJECTIVE_FRACTION / f64::from(tokens.max(1))
        };
        self.known.map_or_else(initial, |(_, token_ms)| token_ms)
    }
}
