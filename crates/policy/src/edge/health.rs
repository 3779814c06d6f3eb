//! Health of one upstream, as seen from this instance's own requests.
//!
//! Load pattern: upstreams crash, become unresponsive, flap, or fail a fraction of their requests
//! while their health check succeeds.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::average::half_life_decay;

/// Time for which an upstream is avoided after the first outcome `Unreachable` or `Refusing`. It
/// doubles with each further such outcome in a row.
const MIN_AVOIDANCE: Duration = Duration::from_millis(300);

/// Maximum time for which an upstream is avoided. Crashed upstreams are back after a few seconds.
const MAX_AVOIDANCE: Duration = Duration::from_millis(2_400);

/// Weight of one outcome in the failure rate.
const RATE_GAIN: f64 = 0.12;

/// Half-life of the failure rate without new outcomes, so that an avoided upstream is tried again.
const RATE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Outcome of a request at an upstream, as evidence of the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered properly.
    Good,
    /// The upstream answered with a failure or a broken answer.
    Faulty,
    /// The upstream could not be reached, or was unresponsive for too long.
    Unreachable,
    /// The upstream refused work that it has capacity for: it changes its role or is about to
    /// leave.
    Refusing,
}

/// Health of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Failure rate as of `rate_at`.
    rate: f64,
    rate_at: MonotonicTime,
    /// Number of outcomes `Unreachable` or `Refusing` in a row.
    avoidances: u32,
    avoid_until: Option<MonotonicTime>,
    /// Whether a request is probing the upstream after its avoidance.
    is_probing: bool,
}

impl Health {
    /// Records an outcome. Returns whether the upstream became reachable or ceased to be.
    pub fn record(&mut self, now: MonotonicTime, outcome: Outcome) -> bool {
        let before = self.avoid_until.is_some();
        let has_failed = matches!(outcome, Outcome::Faulty | Outcome::Unreachable);
        self.rate =
            self.failure_rate(now) * (1.0 - RATE_GAIN) + if has_failed { RATE_GAIN } else { 0.0 };
        self.rate_at = now;
        self.is_probing = false;
        if matches!(outcome, Outcome::Unreachable | Outcome::Refusing) {
            let doubled = MIN_AVOIDANCE * 2_u32.saturating_pow(self.avoidances.min(8));
            self.avoidances = self.avoidances.saturating_add(1);
            self.avoid_until = Some(now.plus(doubled.min(MAX_AVOIDANCE)));
        } else {
            self.avoidances = 0;
            self.avoid_until = None;
        }
        before != self.avoid_until.is_some()
    }

    /// Whether the upstream is avoided. After the avoidance time, one request at a time may probe
    /// it.
    pub fn is_avoided(&self, now: MonotonicTime) -> bool {
        self.avoid_until
            .is_some_and(|until| now < until || self.is_probing)
    }

    /// Records that a request is being sent to the upstream.
    pub fn record_sent(&mut self) {
        self.is_probing = self.avoid_until.is_some();
    }

    /// Records that a request ended without an outcome, for example because its caller left.
    pub fn record_end_without_outcome(&mut self) {
        self.is_probing = false;
    }

    /// Returns the fraction of recent requests that failed, 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime) -> f64 {
        self.rate * half_life_decay(now.since(self.rate_at), RATE_HALF_LIFE)
    }
}
