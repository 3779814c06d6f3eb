//! Prediction of the time to the first result, from the requests that have none yet and the rate at
//! which this instance's requests get theirs.
//!
//! Load pattern: the request rate doubles within a tenth of a second. First results show that only
//! after they have become late, and by then as many requests again were admitted. The work without
//! a first result grows at once. It is counted in engine time, because one long prompt takes as
//! much of it as ten short ones, and by urgency, because the short ones do not wait for the long
//! one.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::urgency::{ByUrgency, Urgency};
use crate::average::{exponential_decay, half_life_decay};

/// Time constant of the average over first results.
const RATE_WINDOW: Duration = Duration::from_millis(700);

/// Half-life of the peak rate, so that it follows upstreams that leave. It is long enough that a
/// quiet quarter of a minute does not make the peak too low.
const PEAK_HALF_LIFE: Duration = Duration::from_mins(1);

/// Fraction of the computed wait that the prediction uses. An instance among thirty has about four
/// requests without a first result, and random variation often adds half as many again.
const WAIT_FRACTION: f64 = 0.7;

/// Fraction of an engine's time that it spends on prefill while prompts are waiting for it. The
/// rest of its time goes to the decode steps of its streams.
const PREFILL_TIME_FRACTION: f64 = 0.25;

/// Minimum number of first results in [`RATE_WINDOW`] for the rate to be used.
const MIN_RESULTS: f64 = 6.0;

/// Requests of one service that this instance has admitted and that have no first result yet, and
/// the rate of first results.
#[derive(Debug, Clone, Copy, Default)]
pub struct PendingWork {
    /// Engine time of the requests without a first result, in milliseconds.
    pending_ms: ByUrgency<f64>,
    /// Number of requests without a first result.
    pending: u32,
    /// First results per millisecond.
    result_rate: f64,
    /// Engine time of the requests behind `result_rate`, in milliseconds per millisecond.
    work_rate: f64,
    rate_at: MonotonicTime,
    /// Highest `work_rate` so far, as of `peak_at`.
    peak_work_rate: f64,
    peak_at: MonotonicTime,
}

impl PendingWork {
    /// Records an admitted request that takes `cost_ms` milliseconds of an engine's time.
    pub fn record_admitted(&mut self, urgency: Urgency, cost_ms: f64) {
        self.pending += 1;
        self.pending_ms[urgency] += cost_ms;
    }

    /// Records that a request stopped waiting, with a first result or without one, for example
    /// because its caller left.
    pub fn record_wait_end(
        &mut self,
        now: MonotonicTime,
        urgency: Urgency,
        cost_ms: f64,
        has_result: bool,
    ) {
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 {
            self.pending_ms = ByUrgency::default();
        } else {
            self.pending_ms[urgency] = (self.pending_ms[urgency] - cost_ms).max(0.0);
        }
        if !has_result {
            return;
        }
        let window_ms = RATE_WINDOW.as_secs_f64() * 1e3;
        let rest = exponential_decay(now.since(self.rate_at), RATE_WINDOW);
        self.result_rate = self.result_rate * rest + 1.0 / window_ms;
        self.work_rate = self.work_rate * rest + cost_ms / window_ms;
        self.rate_at = now;
        let is_known = self.result_rate * window_ms >= MIN_RESULTS;
        if is_known && self.work_rate >= self.peak_work_rate(now) {
            self.peak_work_rate = self.work_rate;
            self.peak_at = now;
        }
    }

    /// Predicts the minimum time to the first result of one more request of `cost_ms`, in
    /// milliseconds, at the peak rate. Returns 0 while no rate is known.
    ///
    /// `engines` is the number of the service's engines divided by the number of instances. It
    /// gives a lower bound of the rate, since a quiet period does not show what the engines can do.
    pub fn wait_ms(&self, now: MonotonicTime, urgency: Urgency, cost_ms: f64, engines: f64) -> f64 {
        let peak = self.peak_work_rate(now);
        if peak <= 0.0 {
            return 0.0;
        }
        let peak = peak.max(engines * PREFILL_TIME_FRACTION);
        let ahead_ms: f64 = self.pending_ms.ahead_of(urgency).sum();
        (ahead_ms + cost_ms) / peak * WAIT_FRACTION
    }

    fn peak_work_rate(&self, now: MonotonicTime) -> f64 {
        self.peak_work_rate * half_life_decay(now.since(self.peak_at), PEAK_HALF_LIFE)
    }
}
