//! Requests that crash the upstreams that run them.
//!
//! Load pattern: now and then one request crashes each upstream that begins to run it, and its caller
//! sends it again at any instance, with a new identity but the same path, account and body. Beside it
//! run requests that break for no fault of theirs: of an upstream that crashes for another reason, of
//! one that breaks connections, of several that go down together.
//!
//! A request is refused after three runs in a row of which each was sent after the one before had
//! broken, and each broke with a life of its upstream that is over. One good answer in between clears
//! it. After a while one more run may show that it is harmless.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Runs in a row that crashed after which a request is refused. Two happen to harmless requests
/// where a third of the upstreams crash.
const MOST_CRASHES: usize = 3;

/// Time for which a request is refused after its last crash. A run after it costs one more crash, so
/// this bounds the crashes of one request to thirty an hour.
const REFUSED_FOR: Duration = Duration::from_mins(2);

/// Time after which a broken run is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_mins(5);

/// Requests that are remembered. A crash breaks as many as an upstream has slots.
const MOST_REQUESTS: usize = 2_048;

/// Runs that are remembered of one request, the newest ones. A request that breaks without an end may
/// be sent for as long as the process runs.
const MOST_RUNS: usize = 16;

/// One run of a request that broke with its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// What stays the same when a caller sends the request again.
    pub fingerprint: u64,
    /// Upstream and its start.
    pub life: u64,
    /// When it was sent, in milliseconds of true time.
    pub sent_ms: u64,
    /// When it broke, in milliseconds of true time.
    pub broke_ms: u64,
}

/// Broken runs of all requests, as far as this instance knows.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    requests: HashMap<u64, Suspect>,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Runs in the order in which they broke, each with whether the upstream's life is over.
    runs: Vec<(BrokenRun, bool)>,
    last: MonotonicTime,
}

impl Crashes {
    /// Notes a run that broke. `is_over` tells that the life of its upstream has ended.
    pub fn broke(&mut self, now: MonotonicTime, run: BrokenRun, is_over: bool) {
        if self.requests.len() >= MOST_REQUESTS && !self.requests.contains_key(&run.fingerprint) {
            self.requests
                .retain(|_, suspect| now.since(suspect.last) < FORGOTTEN_AFTER);
        }
        if self.requests.len() >= MOST_REQUESTS {
            return;
        }
        let suspect = self.requests.entry(run.fingerprint).or_default();
        if now.since(suspect.last) >= FORGOTTEN_AFTER {
            suspect.runs.clear();
        }
        suspect.last = now;
        match suspect.runs.iter_mut().find(|(known, _)| *known == run) {
            Some((_, known_over)) => *known_over |= is_over,
            None => {
                suspect.runs.push((run, is_over));
                suspect.runs.sort_by_key(|(run, _)| run.broke_ms);
                if suspect.runs.len() > MOST_RUNS {
                    suspect.runs.remove(0);
                }
            }
        }
    }

    /// Notes that the life of an upstream has ended. Returns the runs that broke with it.
    pub fn life_over(&mut self, life: u64) -> Vec<BrokenRun> {
        let mut broken = Vec::new();
        for (run, is_over) in self.requests.values_mut().flat_map(|s| &mut s.runs) {
            if run.life == life && !std::mem::replace(is_over, true) {
                broken.push(*run);
            }
        }
        broken
    }

    /// Notes a good answer: the request crashes nothing.
    pub fn served(&mut self, fingerprint: u64) {
        self.requests.remove(&fingerprint);
    }

    /// Whether any run has broken lately. If not, no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Time for which a request is refused.
    pub fn refused_for(&self, fingerprint: u64, now: MonotonicTime) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let left = suspect.last.plus(REFUSED_FOR).since(now);
        (!left.is_zero() && suspect.crashes_in_a_row() >= MOST_CRASHES).then_some(left)
    }
}

impl Suspect {
    /// Runs that crashed of which each was sent after the one before had broken.
    fn crashes_in_a_row(&self) -> usize {
        let mut count = 0;
        let mut broke_ms = 0;
        for (run, is_over) in &self.runs {
            if *is_over && run.sent_ms >= broke_ms {
                count += 1;
                broke_ms = run.broke_ms;
            }
        }
        count
    }
}
