//! Which upstream is under suspicion.
//!
//! Load pattern: upstreams that crash, go dark, fail part of their requests while their health
//! check is good, or flap. Evidence is what this instance's own requests met.

use std::time::Duration;

use nutmegbay_core::world::Moment;

use crate::average::half_life_decay;

/// First time for which an unreachable upstream is avoided; doubles with each failure in a row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(300);

/// Longest time for which an upstream is avoided. Crashed upstreams are back after a few seconds.
const LONGEST_AVOIDANCE: Duration = Duration::from_millis(2_400);

/// Weight of one outcome in the failure rate.
const RATE_GAIN: f64 = 0.12;

/// Time in which a failure rate halves without new outcomes, so that an avoided upstream is tried
/// again.
const RATE_HALF_LIFE: Duration = Duration::from_secs(3);

/// How a request met an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered properly.
    Good,
    /// It answered with a failure, a broken answer, or refused work while it has room.
    Faulty,
    /// It could not be reached, or was silent for too long.
    Unreachable,
    /// It refused work that it had room for: it changes its role or is about to leave.
    Refusing,
}

/// Belief about one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    rate: f64,
    rated_at: Moment,
    unreachable: u32,
    avoid_until: Option<Moment>,
    probing: bool,
}

impl Health {
    /// Notes an outcome and returns whether the belief that the upstream is reachable changed.
    pub fn note(&mut self, now: Moment, outcome: Outcome) -> bool {
        let before = self.avoid_until.is_some();
        let failed = matches!(outcome, Outcome::Faulty | Outcome::Unreachable);
        self.rate =
            self.failure_rate(now) * (1.0 - RATE_GAIN) + if failed { RATE_GAIN } else { 0.0 };
        self.rated_at = now;
        self.probing = false;
        if matches!(outcome, Outcome::Unreachable | Outcome::Refusing) {
            let doubled = FIRST_AVOIDANCE * 2_u32.saturating_pow(self.unreachable.min(8));
            self.unreachable = self.unreachable.saturating_add(1);
            self.avoid_until = Some(now.plus(doubled.min(LONGEST_AVOIDANCE)));
        } else {
            self.unreachable = 0;
            self.avoid_until = None;
        }
        before != self.avoid_until.is_some()
    }

    /// Whether the upstream is avoided. Once its time is over, one request at a time may try it.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoid_until
            .is_some_and(|until| now < until || self.probing)
    }

    /// Notes that a request is on its way to the upstream.
    pub fn sent(&mut self) {
        self.probing = self.avoid_until.is_some();
    }

    /// Notes that a request ended without evidence, for example because its caller left.
    pub fn ended_unknown(&mut self) {
        self.probing = false;
    }

    /// Share of recent requests that failed, 0 to 1.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.rate * half_life_decay(now.since(self.rated_at), RATE_HALF_LIFE)
    }
}
