//! Wait for the first result, from the work that has none and the rate at which it is done.
//!
//! Load pattern: the rate of requests doubles within a tenth of a second. First results show that
//! only after they have become late, and by then as many requests again were admitted. The work
//! without a result grows at once. It is counted in engine time and by urgency, since one long prompt
//! takes as much of it as ten short ones, which do not wait for it.

use std::time::Duration;

use nutmegbay_core::world::Moment;

use super::urgency::{ByUrgency, Urgency};
use crate::average::{exponential_decay, half_life_decay};

/// Time over which the rate of results is averaged.
const RATE_TIME: Duration = Duration::from_millis(700);

/// Time in which the highest rate that was seen halves, so that it follows upstreams that leave. A
/// calm quarter of a minute must not make it forget what they can do.
const PEAK_HALF_LIFE: Duration = Duration::from_mins(1);

/// Part of the wait that counts. An instance among thirty has about four requests without a result,
/// and by chance often half as many again.
const CERTAIN_PART: f64 = 0.7;

/// Part of the time in which an engine reads where work is waiting for it; the rest are the steps of
/// the streams there.
const BUSY_PART: f64 = 0.25;

/// Results in [`RATE_TIME`] from which the rate is used.
const LEAST_RESULTS: f64 = 6.0;

/// Work of one service that this instance has admitted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    /// Milliseconds of engine time of the requests without a result.
    pending_ms: ByUrgency<f64>,
    pending: u32,
    /// Results a millisecond, and the engine time of their requests a millisecond.
    results: f64,
    work: f64,
    rate_at: Moment,
    peak_work: f64,
    peak_at: Moment,
}

impl Flow {
    /// Notes an admitted request that takes `cost_ms` of an engine's time.
    pub fn began(&mut self, urgency: Urgency, cost_ms: f64) {
        self.pending += 1;
        self.pending_ms[urgency] += cost_ms;
    }

    /// Notes the end of a wait, with or without a first result.
    pub fn ended(&mut self, now: Moment, urgency: Urgency, cost_ms: f64, has_result: bool) {
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 {
            self.pending_ms = ByUrgency::default();
        } else {
            self.pending_ms[urgency] = (self.pending_ms[urgency] - cost_ms).max(0.0);
        }
        if !has_result {
            return;
        }
        let time_ms = RATE_TIME.as_secs_f64() * 1e3;
        let rest = exponential_decay(now.since(self.rate_at), RATE_TIME);
        self.results = self.results * rest + 1.0 / time_ms;
        self.work = self.work * rest + cost_ms / time_ms;
        self.rate_at = now;
        let is_known = self.results * time_ms >= LEAST_RESULTS;
        if is_known && self.work >= self.peak_work(now) {
            self.peak_work = self.work;
            self.peak_at = now;
        }
    }

    /// Milliseconds after which one more request of `cost_ms` has its first result at the earliest, at
    /// the highest rate that was seen.
    ///
    /// `engines` is this instance's part of the engines. A calm time does not show what they can do.
    pub fn wait_ms(&self, now: Moment, urgency: Urgency, cost_ms: f64, engines: f64) -> f64 {
        let peak = self.peak_work(now);
        if peak <= 0.0 {
            return 0.0;
        }
        let peak = peak.max(engines * BUSY_PART);
        let ahead_ms: f64 = self.pending_ms.ahead_of(urgency).sum();
        (ahead_ms + cost_ms) / peak * CERTAIN_PART
    }

    fn peak_work(&self, now: Moment) -> f64 {
        self.peak_work * half_life_decay(now.since(self.peak_at), PEAK_HALF_LIFE)
    }
}
