//! Detection of requests that crash the upstreams that run them.
//!
//! Load pattern: occasionally one request crashes every upstream that begins to run it, and its
//! caller sends it again to any instance, with a new identity but the same path, account and body.
//! Other requests break at the same time without causing a crash: the upstream crashes for another
//! reason, breaks connections, or goes down together with others.
//!
//! A request is refused after three consecutive runs of which each was sent after the previous one
//! had broken, and each broke with an incarnation of its upstream that has ended. A successful
//! answer in between clears the request. After two minutes, one more run may show that the
//! request is harmless.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Number of consecutive crashes after which a request is refused. Harmless requests reach two
/// crashes when a third of the upstreams crash.
const CRASHES_BEFORE_REFUSAL: usize = 3;

/// Time for which a request is refused after its last crash. A run after that may cost one more
/// crash, so this bounds the crashes by one request to thirty per hour.
const REFUSAL_PERIOD: Duration = Duration::from_mins(2);

/// Time after which a broken run is forgotten.
const RUN_RETENTION: Duration = Duration::from_mins(5);

/// Maximum number of tracked requests. One crash breaks as many as the upstream has slots.
const MAX_REQUESTS: usize = 2_048;

/// Maximum number of runs kept for one request; the oldest ones are dropped. A request that keeps
/// breaking may be sent for as long as the process runs.
const MAX_RUNS: usize = 16;

/// Run of a request whose connection to the upstream broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// Hash of what stays the same when a caller sends the request again.
    pub fingerprint: u64,
    /// Hash that identifies one incarnation of the upstream.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Wall-clock time at which the request was sent, in milliseconds since 1970.
    pub sent_ms: u64,
    /// Wall-clock time at which the run broke, in milliseconds since 1970.
    pub broke_ms: u64,
}

/// Broken runs of all requests that are known to this instance.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    requests: HashMap<u64, Suspect>,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Runs in the order in which they broke, each with whether the incarnation of its upstream has
    /// ended.
    runs: Vec<(BrokenRun, bool)>,
    last_broken: MonotonicTime,
}

impl CrashHistory {
    /// Records a run that broke. `has_ended` states whether the incarnation of its upstream has
    /// ended. A run that is known already counts once.
    pub fn record_broken_run(&mut self, now: MonotonicTime, run: BrokenRun, has_ended: bool) {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&run.fingerprint) {
            self.requests
                .retain(|_, suspect| now.since(suspect.last_broken) < RUN_RETENTION);
        }
        if self.requests.len() >= MAX_REQUESTS {
            return;
        }
        let suspect = self.requests.entry(run.fingerprint).or_default();
        if now.since(suspect.last_broken) >= RUN_RETENTION {
            suspect.runs.clear();
        }
        suspect.last_broken = now;
        match suspect.runs.iter_mut().find(|(known, _)| *known == run) {
            Some((_, known_ended)) => *known_ended |= has_ended,
            None => {
                suspect.runs.push((run, has_ended));
                suspect.runs.sort_by_key(|(run, _)| run.broke_ms);
                if suspect.runs.len() > MAX_RUNS {
                    suspect.runs.remove(0);
                }
            }
        }
    }

    /// Records that an incarnation of an upstream has ended. Returns the runs that broke with it
    /// and were not returned before.
    pub fn end_incarnation(&mut self, incarnation: u64) -> Vec<BrokenRun> {
        let mut broken = Vec::new();
        for (run, has_ended) in self.requests.values_mut().flat_map(|s| &mut s.runs) {
            if run.incarnation == incarnation && !std::mem::replace(has_ended, true) {
                broken.push(*run);
            }
        }
        broken
    }

    /// Records a complete answer, which clears the request.
    pub fn record_success(&mut self, fingerprint: u64) {
        self.requests.remove(&fingerprint);
    }

    /// Whether no broken run is known. If so, callers need not compute a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the time for which a request is still refused, or `None` if it may run.
    pub fn refused_for(&self, fingerprint: u64, now: MonotonicTime) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let left = suspect.last_broken.plus(REFUSAL_PERIOD).since(now);
        (!left.is_zero() && suspect.consecutive_crashes() >= CRASHES_BEFORE_REFUSAL).then_some(left)
    }
}

impl Suspect {
    /// Counts the runs that crashed of which each was sent after the previous one had broken.
    fn consecutive_crashes(&self) -> usize {
        let mut count = 0;
        let mut broke_ms = 0;
        for (run, has_ended) in &self.runs {
            if *has_ended && run.sent_ms >= broke_ms {
                count += 1;
                broke_ms = run.broke_ms;
            }
        }
        count
    }
}
