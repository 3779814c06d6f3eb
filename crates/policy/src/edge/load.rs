//! Work that an upstream has ahead, as far as this instance can tell.
//!
//! Load pattern: several instances choose among the same upstreams. Each knows its own requests
//! exactly, and the others' from the load that answers carry; that knowledge ages fast. What both
//! miss, such as an upstream that has become slow, shows in first results that come later than
//! predicted and corrects the next predictions.

use std::time::Duration;

use nutmegbay_core::world::Moment;

use super::urgency::{ByUrgency, Urgency};
use crate::average::{exponential_decay, half_life_decay};

/// Time in which a count of other instances' requests comes half of the way to what is usual.
const FOREIGN_HALF_LIFE: Duration = Duration::from_millis(300);

/// Weight of one observed error in the correction of predictions.
const ERROR_GAIN: f64 = 0.2;

/// Time in which the correction halves without new observations.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(1);

/// Bounds of the correction, in mean costs of a request. One stuck request must not make an upstream
/// look lost for longer than its health does.
const ERROR_BOUNDS: (f64, f64) = (-3.3, 27.0);

/// Time over which counts are averaged to what is usual.
const USUAL_TIME: Duration = Duration::from_millis(300);

/// Least weight of one count in what is usual.
const USUAL_GAIN: f64 = 0.05;

/// Time over which the excess is averaged. It has to fall as fast as the queues of the upstreams do
/// once requests are refused.
const EXCESS_TIME: Duration = Duration::from_millis(200);

/// Least weight of one observation in the excess.
const EXCESS_GAIN: f64 = 0.1;

/// Time in which the excess halves without observations, so that requests are admitted again after
/// a time in which all were refused.
const EXCESS_HALF_LIFE: Duration = Duration::from_millis(700);

/// Most by which one observation counts as later than the excess, in mean costs of a request: a few
/// requests are late by seconds for reasons of their own.
const EXCESS_STEP: f64 = 2.0;

/// Bounds of the excess, in mean costs of a request.
const EXCESS_BOUNDS: (f64, f64) = (-1.3, 20.0);

/// Weight of a new cost in the mean cost of a request.
const COST_GAIN: f64 = 0.05;

/// Difference between predicted and actual first results, averaged over the upstreams that serve one
/// kind of placement.
///
/// Load pattern: many instances share many upstreams. Each instance meets one upstream about once a
/// second, too seldom to learn its queue, but sees some tens of first results in that time. What
/// they have in common is the load that all instances make together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Excess {
    ms: f64,
    at: Moment,
}

impl Excess {
    /// Notes that a first result came `late_ms` after its prediction without the excess, where a
    /// request takes `mean_ms` of an engine's time.
    pub fn observed(&mut self, now: Moment, late_ms: f64, mean_ms: f64) {
        let gain = gain(now.since(self.at), EXCESS_TIME, EXCESS_GAIN);
        let late_ms = late_ms.clamp(EXCESS_BOUNDS.0 * mean_ms, EXCESS_BOUNDS.1 * mean_ms);
        let before_ms = self.ms(now);
        let most_ms = EXCESS_STEP * mean_ms;
        self.ms = before_ms + gain * (late_ms - before_ms).min(most_ms);
        self.at = now;
    }

    /// Milliseconds to add to a prediction at `now`.
    pub fn ms(&self, now: Moment) -> f64 {
        self.ms * half_life_decay(now.since(self.at), EXCESS_HALF_LIFE)
    }
}

/// Requests of other instances that upstreams of one kind usually have.
///
/// Load pattern: an instance among thirty hears of one upstream about once a second. If a count
/// that has grown old meant none, the upstream heard of least recently would look idle and each
/// instance would send there.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usual {
    mean: f64,
    at: Moment,
}

impl Usual {
    /// Notes a count.
    pub fn reported(&mut self, now: Moment, foreign: f64) {
        self.mean += gain(now.since(self.at), USUAL_TIME, USUAL_GAIN) * (foreign - self.mean);
        self.at = now;
    }

    /// Mean count.
    pub fn get(self) -> f64 {
        self.mean
    }
}

/// What is ahead of a new request at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Ahead {
    /// Milliseconds of work that is served before it.
    pub backlog_ms: f64,
    /// Requests that are there.
    pub requests: f64,
}

/// Work that one upstream has ahead.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLoad {
    /// Milliseconds of work that this instance sent and that has not shown its first result.
    pending_ms: ByUrgency<f64>,
    /// Requests of this instance in flight.
    in_flight: u32,
    /// Requests of this instance that show no result yet.
    pending: u32,
    /// Requests of other instances as of `foreign_at`.
    foreign: f64,
    foreign_at: Moment,
    mean_cost_ms: f64,
    /// Correction of predictions, from those that first results have shown to be wrong.
    errors: ByUrgency<PredictionError>,
}

/// Difference between predicted and actual first results at one upstream, as of a moment.
#[derive(Debug, Clone, Copy, Default)]
struct PredictionError {
    ms: f64,
    at: Moment,
}

impl PredictionError {
    fn ms(&self, now: Moment) -> f64 {
        self.ms * half_life_decay(now.since(self.at), ERROR_HALF_LIFE)
    }
}

impl UpstreamLoad {
    /// An idle upstream whose requests take about `mean_cost_ms` each.
    pub fn new(mean_cost_ms: f64) -> Self {
        Self {
            pending_ms: ByUrgency::default(),
            in_flight: 0,
            pending: 0,
            foreign: 0.0,
            foreign_at: Moment::default(),
            mean_cost_ms,
            errors: ByUrgency::default(),
        }
    }

    /// Notes a request of `cost_ms` that is being sent behind what is `ahead`, and returns the time
    /// to its first result that is predicted, in milliseconds.
    pub fn sent(&mut self, urgency: Urgency, cost_ms: f64, ahead: Ahead) -> f64 {
        let predicted_ms = ahead.backlog_ms + cost_ms;
        self.in_flight += 1;
        self.pending += 1;
        self.pending_ms[urgency] += cost_ms;
        self.mean_cost_ms += COST_GAIN * (cost_ms - self.mean_cost_ms);
        predicted_ms
    }

    /// Notes that a first result came after `actual_ms` where `predicted_ms` were predicted.
    pub fn observed(&mut self, urgency: Urgency, now: Moment, predicted_ms: f64, actual_ms: f64) {
        let error = &mut self.errors[urgency];
        let error_ms = error.ms(now) + ERROR_GAIN * (actual_ms - predicted_ms);
        let mean_ms = self.mean_cost_ms;
        error.ms = error_ms.clamp(ERROR_BOUNDS.0 * mean_ms, ERROR_BOUNDS.1 * mean_ms);
        error.at = now;
    }

    /// Notes the first result of a request that was sent with `cost_ms`.
    pub fn began(&mut self, urgency: Urgency, cost_ms: f64) {
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 {
            self.pending_ms = ByUrgency::default();
        } else {
            self.pending_ms[urgency] = (self.pending_ms[urgency] - cost_ms).max(0.0);
        }
    }

    /// Notes the end of a request; `began` comes first.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes what an answer says: requests at the upstream from all instances, the answered one
    /// included or not. Returns those of other instances.
    pub fn reported(&mut self, now: Moment, requests: u32) -> f64 {
        self.foreign = f64::from(requests.saturating_sub(self.in_flight));
        self.foreign_at = now;
        self.foreign
    }

    /// Requests of other instances at `now`, where an upstream of its kind has `usual` of them.
    pub fn foreign(&self, now: Moment, usual: f64) -> f64 {
        let weight = half_life_decay(now.since(self.foreign_at), FOREIGN_HALF_LIFE);
        usual + (self.foreign - usual) * weight
    }

    /// What is ahead of a new request at `now`, where other instances have told of `requests` with
    /// `pending_ms` of work that is served before it.
    pub fn ahead_of(&self, urgency: Urgency, now: Moment, pending_ms: f64, requests: f64) -> Ahead {
        let own_ms: f64 = self.pending_ms.ahead_of(urgency).sum();
        Ahead {
            backlog_ms: (own_ms + pending_ms + self.errors[urgency].ms(now)).max(0.0),
            requests: f64::from(self.in_flight) + requests,
        }
    }

    /// What is ahead of a new request at `now`, where an upstream of its kind has `usual` requests of
    /// other instances. Their urgency is not known: all of them count.
    pub fn ahead(&self, urgency: Urgency, now: Moment, usual: f64) -> Ahead {
        let foreign = self.foreign(now, usual);
        self.ahead_of(urgency, now, foreign * self.mean_cost_ms, foreign)
    }

    /// Milliseconds of this instance's work that shows no first result yet.
    pub fn pending_ms(&self) -> ByUrgency<f64> {
        self.pending_ms
    }

    /// Requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

/// Weight of an observation that comes `since` after the one before in an average over `time`.
fn gain(since: Duration, time: Duration, least: f64) -> f64 {
    (1.0 - exponential_decay(since, time)).max(least)
}
