//! What is done with a stream whose upstream is silent.
//!
//! Load pattern: an upstream in order falls silent for a second within a stream and then goes on.
//! Others end silently, with their machine or the network.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::own_delay::Measurement;

/// Minimum time without a whole event after which another upstream is asked to go on.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a whole event after which another upstream is asked to go on, as a multiple of the
/// maximum gap between events.
const EVENT_TIMEOUT_FACTOR: u32 = 4;

/// Maximum time from the request to another upstream to the end of the work at one of the two. Both
/// may work on a stream for 400 ms; the rest is for the message that ends it.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

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
    /// End of the extended wait, if it was extended because the instance is late.
    extended_until: Option<MonotonicTime>,
    /// Sum of the extensions of the wait.
    extended: Duration,
}

impl Silence {
    /// Starts with an event, or with another upstream that has taken the stream, at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            since: now,
            asked_at: None,
            extended_until: None,
            extended: Duration::ZERO,
        }
    }

    /// Records that another upstream is asked.
    pub fn record_asked(&mut self, now: MonotonicTime) {
        self.asked_at = Some(now);
    }

    /// Records that there is no other upstream, that it does not go on, or that the request to it
    /// was ended.
    pub fn record_not_taken(&mut self, now: MonotonicTime) {
        *self = Self::new(now);
    }

    /// Returns what to do at `now`. `event_timeout` is `None` if no other upstream can go on. On an
    /// instance that is late by `measured`, the wait for an event is extended.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event_timeout: Option<Duration>,
        measured: &Measurement,
    ) -> Step {
        let (due, action, usual) = match (self.asked_at, event_timeout) {
            (Some(asked_at), _) => (asked_at.plus(MAX_OVERLAP), Step::KeepSilent, Duration::ZERO),
            (None, Some(timeout)) => {
                let due = self.since.plus(timeout);
                (self.extended_until.unwrap_or(due), Step::Ask, timeout)
            }
            (None, None) => return Step::Wait(None),
        };
        match measured.extension(usual, self.extended) {
            _ if now < due => Step::Wait(Some(due)),
            Some(extension) => {
                self.extended += extension;
                self.extended_until = Some(now.plus(extension));
                Step::Wait(self.extended_until)
            }
            None => action,
        }
    }
}
