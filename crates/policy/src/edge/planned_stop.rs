//! Planned stop: decides whether a request that comes after SIGTERM still runs.
//!
//! Load pattern: callers keep sending until they learn that an instance stops, and heads, bodies
//! and connections that wait to be accepted arrive later still. A request that is passed on late is
//! cut off when the process exits, although it may not be repeated. Most requests end long before
//! their deadline, so the time that such requests usually take decides, and not the deadline alone.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Fraction of the recent requests that the usual duration covers, where requests may be repeated.
const REPEATABLE_FRACTION: f32 = 0.9;

/// Fraction of the recent requests that the usual duration covers, where requests may run only
/// once.
const ONCE_FRACTION: f32 = 0.99;

/// Factor on the usual duration, since upstreams get more work when other instances stop too.
const DURATION_MARGIN: f64 = 1.5;

/// Time after which a recorded duration counts for half.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Number of classes of durations. Each is wider than the one before by the square root of two; the
/// last one begins at about two minutes.
const CLASSES: usize = 35;

/// Durations of recent requests of one kind, in classes.
#[derive(Debug, Clone)]
pub struct RecentDurations {
    /// Weight of the requests in each class.
    weights: [f32; CLASSES],
    halved_at: MonotonicTime,
}

impl Default for RecentDurations {
    fn default() -> Self {
        Self {
            weights: [0.0; CLASSES],
            halved_at: MonotonicTime::default(),
        }
    }
}

impl RecentDurations {
    /// Records the time from the arrival of a request to the end of its response.
    pub fn record(&mut self, took: Duration, now: MonotonicTime) {
        if now.since(self.halved_at) >= HALF_LIFE {
            self.halved_at = now;
            for weight in &mut self.weights {
                *weight /= 2.0;
            }
        }
        self.weights[class(took)] += 1.0;
    }

    /// Returns the duration within which most requests end, or `None` if none was recorded. Where
    /// requests may run only once, it covers more of them.
    pub fn usual(&self, is_repeatable: bool) -> Option<Duration> {
        let fraction = if is_repeatable {
            REPEATABLE_FRACTION
        } else {
            ONCE_FRACTION
        };
        let total: f32 = self.weights.iter().sum();
        let mut rest = total * fraction;
        let class = self.weights.iter().position(|weight| {
            rest -= weight;
            *weight > 0.0 && rest <= 0.0
        })?;
        Some(end(class))
    }
}

/// Returns the class of a duration.
fn class(took: Duration) -> usize {
    let class = 2.0 * (took.as_secs_f64() * 1e3 + 1.0).log2();
    (class as usize).min(CLASSES - 1)
}

/// Returns the end of a class.
fn end(class: usize) -> Duration {
    let ms = (f64::from(u32::try_from(class).unwrap_or(u32::MAX) + 1) / 2.0).exp2() - 1.0;
    Duration::from_secs_f64(ms / 1e3)
}

/// Returns whether a request can be finished before the process exits. It usually takes `usual` in
/// all, and ends within `limit` in any case.
pub fn can_finish(usual: Option<Duration>, limit: Duration, until_exit: Duration) -> bool {
    let usual = usual.map_or(limit, |usual| usual.mul_f64(DURATION_MARGIN));
    usual.min(limit) <= until_exit
}
