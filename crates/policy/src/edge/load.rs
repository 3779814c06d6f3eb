//! Work that is ahead of a new request at an upstream, as far as this instance can tell.
//!
//! Load pattern: several instances choose among the same upstreams. Each knows its own requests
//! exactly, and those of the others from the load that answers report, which is outdated soon. What
//! both miss, such as an upstream that has become slow, shows in first results that come later than
//! predicted. These correct the next predictions.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::urgency::{ByUrgency, Urgency};
use crate::average::{exponential_decay, half_life_decay};

/// Half-life of the difference between a reported count of other instances' requests and the
/// typical count.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);

/// Weight of one observed error in the correction of predictions.
const ERROR_GAIN: f64 = 0.2;

/// Half-life of the correction without new observations.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(1);

/// Bounds of the correction, in mean costs of a request. One stuck request must not exclude an
/// upstream for longer than its health does.
const ERROR_BOUNDS: (f64, f64) = (-3.3, 27.0);

/// Time constant of the average over counts in [`TypicalLoad`].
const TYPICAL_WINDOW: Duration = Duration::from_millis(300);

/// Minimum weight of one count in [`TypicalLoad`].
const TYPICAL_GAIN: f64 = 0.05;

/// Time constant of the average in [`MeanLateness`]. It has to fall as fast as the queues of the
/// upstreams do once requests are refused.
const LATENESS_WINDOW: Duration = Duration::from_millis(200);

/// Minimum weight of one observation in [`MeanLateness`].
const LATENESS_GAIN: f64 = 0.1;

/// Half-life of [`MeanLateness`] without observations, so that requests are admitted again after a
/// time in which all were refused.
const LATENESS_HALF_LIFE: Duration = Duration::from_millis(700);

/// Maximum amount by which one observation counts above the mean lateness, in mean costs of a
/// request. A few requests are late by seconds for reasons of their own.
const LATENESS_STEP: f64 = 2.0;

/// Bounds of the observed lateness, in mean costs of a request.
const LATENESS_BOUNDS: (f64, f64) = (-1.3, 20.0);

/// Weight of a new request's cost in the mean cost.
const COST_GAIN: f64 = 0.05;

/// Average difference between actual and predicted times to the first result, over all upstreams
/// that serve one kind of placement.
///
/// Load pattern: many instances share many upstreams. Each instance uses one upstream about once
/// per second, too rarely to learn its queue, but observes some tens of first results in that time.
/// What these have in common is the load from all instances together.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanLateness {
    ms: f64,
    at: MonotonicTime,
}

impl MeanLateness {
    /// Records that a first result came `late_ms` after a prediction that does not include this
    /// correction. `mean_ms` is the mean engine time of a request.
    pub fn record_observation(&mut self, now: MonotonicTime, late_ms: f64, mean_ms: f64) {
        let gain = gain(now.since(self.at), LATENESS_WINDOW, LATENESS_GAIN);
        let late_ms = late_ms.clamp(LATENESS_BOUNDS.0 * mean_ms, LATENESS_BOUNDS.1 * mean_ms);
        let before_ms = self.ms(now);
        let max_step_ms = LATENESS_STEP * mean_ms;
        self.ms = before_ms + gain * (late_ms - before_ms).min(max_step_ms);
        self.at = now;
    }

    /// Returns the milliseconds to add to a prediction at `now`.
    pub fn ms(&self, now: MonotonicTime) -> f64 {
        self.ms * half_life_decay(now.since(self.at), LATENESS_HALF_LIFE)
    }
}

/// Average number of other instances' requests at upstreams of one kind.
///
/// Load pattern: an instance among thirty receives a report of one upstream about once per second.
/// If an outdated count decayed to zero, the upstream with the oldest report would look idle and
/// every instance would send there.
#[derive(Debug, Clone, Copy, Default)]
pub struct TypicalLoad {
    mean: f64,
    at: MonotonicTime,
}

impl TypicalLoad {
    /// Records a count of other instances' requests at one upstream.
    pub fn record(&mut self, now: MonotonicTime, other_requests: f64) {
        self.mean +=
            gain(now.since(self.at), TYPICAL_WINDOW, TYPICAL_GAIN) * (other_requests - self.mean);
        self.at = now;
    }

    /// Returns the average count.
    pub fn get(self) -> f64 {
        self.mean
    }
}

/// Work that is ahead of a new request at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueAhead {
    /// Work that is served before the request, in milliseconds.
    pub backlog_ms: f64,
    /// Requests at the upstream.
    pub requests: f64,
}

/// Load of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLoad {
    /// Engine time of this instance's requests without a first result, in milliseconds.
    pending_ms: ByUrgency<f64>,
    /// Requests of this instance in flight.
    in_flight: u32,
    /// Requests of this instance without a first result.
    pending: u32,
    /// Requests of other instances as of `reported_at`.
    other_requests: f64,
    reported_at: MonotonicTime,
    mean_cost_ms: f64,
    /// Correction of predictions, from observed first results.
    errors: ByUrgency<PredictionError>,
}

/// Average difference between actual and predicted times to the first result at one upstream, as of
/// `at`.
#[derive(Debug, Clone, Copy, Default)]
struct PredictionError {
    ms: f64,
    at: MonotonicTime,
}

impl PredictionError {
    fn ms(&self, now: MonotonicTime) -> f64 {
        self.ms * half_life_decay(now.since(self.at), ERROR_HALF_LIFE)
    }
}

impl UpstreamLoad {
    /// Creates the load of an idle upstream whose requests take about `mean_cost_ms` each.
    pub fn new(mean_cost_ms: f64) -> Self {
        Self {
            pending_ms: ByUrgency::default(),
            in_flight: 0,
            pending: 0,
            other_requests: 0.0,
            reported_at: MonotonicTime::default(),
            mean_cost_ms,
            errors: ByUrgency::default(),
        }
    }

    /// Records a request of `cost_ms` that is being sent behind the work in `ahead`. Returns the
    /// predicted time to its first result, in milliseconds.
    pub fn record_sent(&mut self, urgency: Urgency, cost_ms: f64, ahead: QueueAhead) -> f64 {
        let predicted_ms = ahead.backlog_ms + cost_ms;
        self.in_flight += 1;
        self.pending += 1;
        self.pending_ms[urgency] += cost_ms;
        self.mean_cost_ms += COST_GAIN * (cost_ms - self.mean_cost_ms);
        predicted_ms
    }

    /// Records that a first result came after `actual_ms` where `predicted_ms` were predicted.
    pub fn record_observation(
        &mut self,
        urgency: Urgency,
        now: MonotonicTime,
        predicted_ms: f64,
        actual_ms: f64,
    ) {
        let error = &mut self.errors[urgency];
        let error_ms = error.ms(now) + ERROR_GAIN * (actual_ms - predicted_ms);
        let mean_ms = self.mean_cost_ms;
        error.ms = error_ms.clamp(ERROR_BOUNDS.0 * mean_ms, ERROR_BOUNDS.1 * mean_ms);
        error.at = now;
    }

    /// Records that a request that was sent with `cost_ms` is no longer pending: it has its first
    /// result, or it ends without one.
    pub fn record_first_result(&mut self, urgency: Urgency, cost_ms: f64) {
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 {
            self.pending_ms = ByUrgency::default();
        } else {
            self.pending_ms[urgency] = (self.pending_ms[urgency] - cost_ms).max(0.0);
        }
    }

    /// Records the end of a request, after [`Self::record_first_result`].
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the number of requests at the upstream from all instances, as an answer reports it.
    /// The answered request may be included or not. Returns the number of other instances'
    /// requests.
    pub fn record_report(&mut self, now: MonotonicTime, requests: u32) -> f64 {
        self.other_requests = f64::from(requests.saturating_sub(self.in_flight));
        self.reported_at = now;
        self.other_requests
    }

    /// Estimates the number of other instances' requests at `now`. `typical_requests` is the
    /// average of [`TypicalLoad`] for upstreams of this kind.
    pub fn other_requests(&self, now: MonotonicTime, typical_requests: f64) -> f64 {
        let weight = half_life_decay(now.since(self.reported_at), REPORT_HALF_LIFE);
        typical_requests + (self.other_requests - typical_requests) * weight
    }

    /// Returns the work ahead of a new request at `now`, where the digests of other instances
    /// report `requests` with `pending_ms` of work that is served before it.
    pub fn ahead_of(
        &self,
        urgency: Urgency,
        now: MonotonicTime,
        pending_ms: f64,
        requests: f64,
    ) -> QueueAhead {
        let own_ms: f64 = self.pending_ms.ahead_of(urgency).sum();
        QueueAhead {
            backlog_ms: (own_ms + pending_ms + self.errors[urgency].ms(now)).max(0.0),
            requests: f64::from(self.in_flight) + requests,
        }
    }

    /// Returns the work ahead of a new request at `now`, without digests of other instances.
    /// `typical_requests` is the average of [`TypicalLoad`] for upstreams of this kind. The urgency
    /// of other instances' requests is not known, so all of them count.
    pub fn ahead(&self, urgency: Urgency, now: MonotonicTime, typical_requests: f64) -> QueueAhead {
        let other_requests = self.other_requests(now, typical_requests);
        self.ahead_of(
            urgency,
            now,
            other_requests * self.mean_cost_ms,
            other_requests,
        )
    }

    /// Engine time of this instance's requests without a first result, in milliseconds.
    pub fn pending_ms(&self) -> ByUrgency<f64> {
        self.pending_ms
    }

    /// Requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

/// Weight of an observation that comes `since` after the previous one, in an average with time
/// constant `window`. It is at least `min`.
fn gain(since: Duration, window: Duration, min: f64) -> f64 {
    (1.0 - exponential_decay(since, window)).max(min)
}
