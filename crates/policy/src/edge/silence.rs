//! What is done with a stream whose upstream is silent.
//!
//! Load pattern: an upstream in order falls silent for a second within a stream and then goes on.
//! Others end silently, with their machine or the network.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::own_delay::{Measurement, SAMPLE_INTERVAL};

/// Minimum time without a whole event after which another upstream is asked to go on.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a whole event after which another upstream is asked to go on, as a multiple of the
/// maximum gap between events.
const EVENT_TIMEOUT_FACTOR: u32 = 4;

/// Maximum time from the request to another upstream to the end of the work at one of the two. Both
/// may work on a stream for 400 ms; the rest is for the message that ends it.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Maximum number of requests to other upstreams in one silence. Each of them takes a retry from the
/// budget of all requests.
const MAX_ASKS: u32 = 2;

/// Returns the time without a whole event after which another upstream is asked to go on with a
/// stream, given the maximum gap between its events.
pub fn event_timeout(max_gap: Duration) -> Duration {
    (max_gap * EVENT_TIMEOUT_FACTOR).max(MIN_EVENT_TIMEOUT)
}

/// What to do with a stream until its next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait until the given time, or until an event if there is none.
    Wait(Option<MonotonicTime>),
    /// Ask another upstream to go on, and keep the silent one until it answers.
    Ask,
    /// End the request to the other upstream and keep the silent one.
    KeepSilent,
}

/// Silence of the upstream of one stream. An upstream is never given up for it: only the answer of
/// another one replaces it.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// Time of the last whole event, or of the end of the last request to another upstream.
    since: MonotonicTime,
    /// Time of the request to another upstream that has no answer yet.
    asked_at: Option<MonotonicTime>,
    /// Number of requests to other upstreams.
    asks: u32,
}

impl Silence {
    /// Starts with an event, or with another upstream that has taken the stream, at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            since: now,
            asked_at: None,
            asks: 0,
        }
    }

    /// Records that another upstream is asked.
    pub fn record_asked(&mut self, now: MonotonicTime) {
        self.asked_at = Some(now);
        self.asks += 1;
    }

    /// Records that there is no other upstream, that it does not go on, or that the request to it
    /// was ended.
    pub fn record_not_taken(&mut self, now: MonotonicTime) {
        self.since = now;
        self.asked_at = None;
    }

    /// Returns for how long the request to another upstream may still wait for its answer.
    pub fn overlap_left(&self, now: MonotonicTime) -> Duration {
        let asked_at = self.asked_at;
        asked_at.map_or(Duration::ZERO, |at| at.plus(MAX_OVERLAP).since(now))
    }

    /// Returns what to do at `now`. `event_timeout` is `None` if no other upstream can go on. An
    /// instance that is late by `measured` asks no other upstream, since its response would wait like
    /// the events of the silent one while both work.
    pub fn step(
        &self,
        now: MonotonicTime,
        event_timeout: Option<Duration>,
        measured: &Measurement,
    ) -> Step {
        let (due, action) = match (self.asked_at, event_timeout) {
            (Some(asked_at), _) => (asked_at.plus(MAX_OVERLAP), Step::KeepSilent),
            (None, Some(timeout)) if self.asks < MAX_ASKS => (self.since.plus(timeout), Step::Ask),
            (None, _) => return Step::Wait(None),
        };
        match action {
            _ if now < due => Step::Wait(Some(due)),
            Step::Ask if measured.is_late() => Step::Wait(Some(now.plus(SAMPLE_INTERVAL))),
            action => action,
        }
    }
}
