//! Delay that this instance itself adds to what it receives: timers that fire late, and bytes that
//! wait for a full network link.
//!
//! Load pattern: while the other instances of a failure domain restart, one with a narrow link gets
//! their requests. Responses of upstreams, the store and peers then queue behind callers' bodies.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of intervals over which the received rate is averaged.
const WINDOW_INTERVALS: usize = 4;

/// Lateness of timers from which the instance is considered late.
pub const MAX_TIMER_LATENESS: Duration = Duration::from_millis(100);

/// Received fraction of the link's rate from which the link is considered full.
pub const MAX_LINK_SHARE: f64 = 0.8;

/// Maximum extension of a wait on a late instance, as a multiple of the usual wait.
const MAX_EXTENSION_FACTOR: u32 = 3;

/// State of the instance at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    /// Highest lateness of a timer within the window.
    pub timer_lateness: Duration,
    /// Bytes received per second.
    pub received_per_s: f64,
    /// Received fraction of the link's rate, or `None` if the rate is not known.
    pub link_share: Option<f64>,
    /// Age of the newest sample.
    pub age: Duration,
}

impl Measurement {
    /// Returns whether timers are late or the link is full.
    pub fn is_late(&self) -> bool {
        self.is_timer_late() || self.is_link_full()
    }

    /// Returns by how much to extend a wait that is over and takes `usual` on an instance that is
    /// on time. `extended` is the sum of its extensions so far. A late timer extends it by its
    /// lateness, since an answer that has come meanwhile may be unread; on a full link, an answer
    /// waits for an unknown time. Returns `None` if the wait has ended.
    pub fn extension(&self, usual: Duration, extended: Duration) -> Option<Duration> {
        let rest = (usual * MAX_EXTENSION_FACTOR).saturating_sub(extended);
        match () {
            () if rest.is_zero() => None,
            () if self.is_link_full() => Some(usual.min(rest)),
            () if self.is_timer_late() => Some(self.timer_lateness.min(rest)),
            () => None,
        }
    }

    fn is_timer_late(&self) -> bool {
        self.timer_lateness >= MAX_TIMER_LATENESS
    }

    fn is_link_full(&self) -> bool {
        self.link_share.is_some_and(|share| share >= MAX_LINK_SHARE)
    }
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: MonotonicTime,
    timer_lateness: Duration,
    received_bytes: u64,
}

/// Measures the lateness of timers and the received rate.
#[derive(Debug, Clone, Default)]
pub struct OwnDelay {
    /// Rate of the link in bytes per second, or `None` if it is not known.
    link_per_s: Option<f64>,
    /// Samples of the window and the one before it, newest last.
    samples: VecDeque<Sample>,
}

impl OwnDelay {
    /// Creates the measurement of an instance with a link of `mbps` megabits per second.
    pub fn new(mbps: Option<f64>) -> Self {
        Self {
            link_per_s: mbps.filter(|mbps| *mbps > 0.0).map(|mbps| mbps * 1e6 / 8.0),
            samples: VecDeque::with_capacity(WINDOW_INTERVALS + 1),
        }
    }

    /// Records a sample. A timer that was due `timer_lateness` ago has fired at `now`, and
    /// `received_bytes` have been received since the start.
    pub fn record(&mut self, now: MonotonicTime, timer_lateness: Duration, received_bytes: u64) {
        if self.samples.len() > WINDOW_INTERVALS {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            timer_lateness,
            received_bytes,
        });
    }

    /// Returns the state at `now`.
    pub fn measure(&self, now: MonotonicTime) -> Measurement {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return Measurement {
                timer_lateness: Duration::ZERO,
                received_per_s: 0.0,
                link_share: None,
                age: Duration::ZERO,
            };
        };
        let age = now.since(last.at);
        // A sample that is overdue shows lateness before it is taken.
        let overdue = age.saturating_sub(SAMPLE_INTERVAL);
        let latest = self.samples.iter().map(|sample| sample.timer_lateness);
        let elapsed_s = last.at.since(first.at).as_secs_f64();
        let received_per_s = if self.samples.len() > WINDOW_INTERVALS && elapsed_s > 0.0 {
            (last.received_bytes - first.received_bytes) as f64 / elapsed_s
        } else {
            0.0
        };
        Measurement {
            timer_lateness: latest.fold(overdue, Duration::max),
            received_per_s,
            link_share: self.link_per_s.map(|rate| received_per_s / rate),
            age,
        }
    }
}
