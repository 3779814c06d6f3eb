//! Time in which a prefill engine reads a prompt.
//!
//! Load pattern: engines of one deployment read seven times as fast as those of another one, nothing
//! states their rate, and each instance sees a few long reads a second. Until the rate is known, all
//! predictions are wrong by that factor. Most reads wait behind others, which nothing shows, so only
//! the shortest of several tell the rate. A window over many of them is exact but comes late; windows
//! therefore begin short and grow.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fewest tokens of a read from which the time of a token is learned: shorter ones tell more of the
/// fixed time of a call.
const LEAST_TOKENS: u32 = 1_024;

/// Part of such a read that is the fixed time at most. The shortest call so far may be the read itself.
const MOST_FIXED_PART: f64 = 0.5;

/// Reads of the first window and of the longest one.
const WINDOW: (u32, u32) = (4, 64);

/// Reads of a window from which its shortest one is left out: a prompt that is sent again is found in
/// memory and takes almost no time.
const OUTLIER_WINDOW: u32 = 64;

/// Weight of a window after the first one.
const GAIN: f64 = 0.5;

/// Part of its objective that reading a whole prompt is taken to need before any read was seen: an
/// operator sets objectives that can be met.
const FIRST_OBJECTIVE_PART: f64 = 0.25;

/// Weight of a window whose shortest call was longer than the fixed time.
const FIXED_GAIN: f64 = 0.1;

/// What one instance knows of the times of reading.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReadTimes {
    /// Milliseconds of a call beside reading.
    pub fixed_ms: f32,
    /// Milliseconds in which a token is read.
    pub token_ms: f32,
    /// Reads in the last window from which they were learned.
    pub reads: u32,
}

/// Rate of reading, learned from calls that only read a prompt.
#[derive(Debug, Clone, Copy)]
pub struct ReadRate {
    /// Time of a call beside reading, and time of a token; none before the first window is over.
    known: Option<(f64, f64)>,
    window: u32,
    seen: u32,
    /// Shortest time of a call in this window.
    shortest_ms: f64,
    /// Shortest times of a token in this window, ascending.
    shortest: [f64; 2],
}

impl Default for ReadRate {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadRate {
    /// Begins without knowledge.
    pub const fn new() -> Self {
        Self {
            known: None,
            window: WINDOW.0,
            seen: 0,
            shortest_ms: f64::INFINITY,
            shortest: [f64::INFINITY; 2],
        }
    }

    /// Notes that a call took `ms` in which `tokens` were read that no engine held.
    pub fn saw(&mut self, tokens: u32, ms: f64) {
        if !ms.is_finite() || ms <= 0.0 {
            return;
        }
        self.shortest_ms = self.shortest_ms.min(ms);
        if tokens < LEAST_TOKENS {
            return;
        }
        let fixed_ms = self.known_fixed_ms().min(ms * MOST_FIXED_PART);
        let mut sample = (ms - fixed_ms) / f64::from(tokens);
        for kept in &mut self.shortest {
            if sample < *kept {
                std::mem::swap(&mut sample, kept);
            }
        }
        self.seen += 1;
        if self.seen >= self.window {
            self.close_window();
        }
    }

    /// Time of a call beside reading, as far as it is known.
    fn known_fixed_ms(&self) -> f64 {
        self.known.map_or(self.shortest_ms, |(fixed_ms, _)| {
            fixed_ms.min(self.shortest_ms)
        })
    }

    fn close_window(&mut self) {
        let sample = self.shortest[usize::from(self.window >= OUTLIER_WINDOW)];
        let known = self
            .known
            .map_or((self.shortest_ms, sample), |(fixed_ms, token_ms)| {
                // No call is shorter than the fixed time; a longer one may have waited.
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

    /// What is known, to tell others; none before the first window is over.
    pub fn times(&self) -> Option<ReadTimes> {
        self.known.map(|(fixed_ms, token_ms)| ReadTimes {
            fixed_ms: fixed_ms as f32,
            token_ms: token_ms as f32,
            reads: self.window / 2,
        })
    }

    /// Takes over what another instance knows where it comes from more reads.
    pub fn heard(&mut self, times: ReadTimes) {
        let own = self.times().map_or(0, |own| own.reads);
        let is_sound = times.fixed_ms >= 0.0 && times.token_ms > 0.0 && times.token_ms.is_finite();
        if times.reads > own && is_sound {
            *self = Self {
                known: Some((f64::from(times.fixed_ms), f64::from(times.token_ms))),
                window: times.reads.saturating_mul(2).clamp(WINDOW.0, WINDOW.1),
                ..Self::new()
            };
        }
    }

    /// Milliseconds of a call beside reading.
    pub fn fixed_ms(&self) -> f64 {
        self.known.map_or(0.0, |(fixed_ms, _)| fixed_ms)
    }

    /// Milliseconds in which a token of a prompt of `tokens` is read, whose first result is on time
    /// within `objective`.
    pub fn token_ms(&self, tokens: u32, objective: Duration) -> f64 {
        let first_guess = || {
            let objective_ms = objective.as_secs_f64() * 1e3;
            objective_ms * FIRST_OBJECTIVE_PART / f64::from(tokens.max(1))
        };
        self.known
            .map_or_else(first_guess, |(_, token_ms)| token_ms)
    }
}
