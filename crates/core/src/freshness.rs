//! Tracks how current a replica is, and whether it may answer keyed requests.
//!
//! A replica is fresh as of the start of the last read that returned the head of the log: its own
//! read, or one of another endpoint whose records it has caught up with. Without such a read it
//! cannot know of a withdrawn key, unless every known peer answered and none of them can read the
//! log either.
//!
//! ```
//! use std::time::Duration;
//!
//! use nutmegbay_core::freshness::{Freshness, LogProgress};
//! use nutmegbay_core::ids::Offset;
//! use nutmegbay_core::environment::MonotonicTime;
//!
//! let at = |ms| MonotonicTime(Duration::from_millis(ms));
//! let mut freshness = Freshness::default();
//! freshness.set_peers(["g2"]);
//! assert!(!freshness.may_serve_keyed(at(0)), "the log was not read yet");
//!
//! freshness.on_head_read(at(100));
//! freshness.on_tick(at(100), Offset(5));
//! assert!(freshness.may_serve_keyed(at(3000)));
//!
//! // Without the log and its peer, it stops 3 s after the last read of the head.
//! assert!(!freshness.may_serve_keyed(at(3200)));
//!
//! // If the peer cannot read the log either, no new record can have been accepted.
//! let progress = LogProgress { next: Offset(5), head_read_age: Some(Duration::from_secs(3)) };
//! freshness.on_progress("g2", at(3100), progress);
//! freshness.on_tick(at(3200), Offset(5));
//! assert_eq!(freshness.state(), "outage");
//! assert!(freshness.may_serve_keyed(at(3200)));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmegbay_chart::{Chart, Machine};

use crate::environment::MonotonicTime;
use crate::ids::Offset;
use crate::mutation::{Mutation, Mutations};

const CHART: &str = include_str!("../charts/freshness.json");

/// Age of the last read of the head from which the replica is lagging and the other endpoints are
/// queried. A long poll of the log must be answered well within this time.
pub const LAG_AFTER: Duration = Duration::from_millis(1500);

/// Age of the last read of the head from which keyed requests are refused.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// Age from which the answer of a peer no longer proves an outage. With one query every
/// [`QUERY_INTERVAL`] this tolerates one lost answer.
pub const PROGRESS_MAX_AGE: Duration = Duration::from_millis(1250);

/// Time between two rounds of queries to the other endpoints.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// How far an endpoint has read the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LogProgress {
    /// Offset after the last record that the endpoint has applied or keeps.
    pub next: Offset,
    /// Time since the start of the last read that reached the head, `None` if there was none.
    pub head_read_age: Option<Duration>,
}

/// Freshness of the replica of one process.
pub struct Freshness {
    machine: Machine,
    /// Start of the last read that returned the head.
    fresh_at: Option<MonotonicTime>,
    /// Names of all other gateways, `None` until the instance list was read.
    peers: Option<BTreeSet<Box<str>>>,
    progress: BTreeMap<Box<str>, ReceivedProgress>,
    mutations: Mutations,
}

/// Last answer of an endpoint.
#[derive(Debug, Clone, Copy)]
struct ReceivedProgress {
    queried_at: MonotonicTime,
    progress: LogProgress,
}

impl Default for Freshness {
    /// Creates the state of a process that has not read the log yet.
    ///
    /// # Panics
    ///
    /// Does not panic: the state chart is compiled into the crate.
    fn default() -> Self {
        let chart = Chart::parse(CHART).expect("the freshness chart is part of the build");
        Self {
            machine: Machine::new(chart),
            fresh_at: None,
            peers: None,
            progress: BTreeMap::new(),
            mutations: Mutations::default(),
        }
    }
}

impl Freshness {
    /// Adds a deliberate fault, which the tests must detect.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Sets the names of all other gateways. Until this is called, no outage is detected.
    pub fn set_peers<I: IntoIterator<Item: Into<Box<str>>>>(&mut self, peers: I) {
        self.peers = Some(peers.into_iter().map(Into::into).collect());
    }

    /// Handles that a read which started at `started` returned the head, and that all its records
    /// were applied.
    pub fn on_head_read(&mut self, started: MonotonicTime) {
        self.fresh_at = self.fresh_at.max(Some(started));
    }

    /// Handles the answer of a peer or sidecar to a query that was sent at `queried_at`.
    pub fn on_progress(
        &mut self,
        endpoint: &str,
        queried_at: MonotonicTime,
        progress: LogProgress,
    ) {
        self.progress.insert(
            endpoint.into(),
            ReceivedProgress {
                queried_at,
                progress,
            },
        );
    }

    /// Handles that a peer or sidecar did not answer.
    pub fn on_no_answer(&mut self, endpoint: &str) {
        self.progress.remove(endpoint);
    }

    /// Updates the state for a replica whose next offset is `next`, and returns whether it changed.
    pub fn on_tick(&mut self, now: MonotonicTime, next: Offset) -> bool {
        self.progress
            .retain(|_, answered| now.since(answered.queried_at) < PROGRESS_MAX_AGE);
        self.advance_from_endpoints(next);
        let age = self.head_read_age(now);
        let event = match age {
            Some(age) if age < LAG_AFTER => "fresh",
            _ if self.is_outage(now, next) => "outage",
            Some(age) if age < ISOLATED_AFTER => "stale",
            _ => "isolated",
        };
        self.machine.handle(event)
    }

    /// Returns whether a keyed request may be answered at `now`. This is also correct if the
    /// process was paused since the last tick.
    pub fn may_serve_keyed(&self, now: MonotonicTime) -> bool {
        let is_recent = self
            .head_read_age(now)
            .is_some_and(|age| age < ISOLATED_AFTER);
        let is_outage = self.state() == "outage" && self.all_peers_reached(now);
        is_recent || is_outage || self.mutations.has(Mutation::ServeWhenIsolated)
    }

    /// Returns the state of the chart: `fresh`, `lagging`, `outage` or `isolated`.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Returns whether the head of the log was read within the last [`LAG_AFTER`].
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.head_read_age(now).is_some_and(|age| age < LAG_AFTER)
    }

    /// In an outage, returns the time as of which no other gateway had applied a record that this
    /// replica lacks: the earliest of the queries that all of them answered. While none of them can
    /// read the log, none can have dispatched an attempt that this replica does not contain.
    pub fn outage_as_of(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.state() != "outage" || !self.all_peers_reached(now) {
            return None;
        }
        let peers = self.peers.iter().flatten();
        let queried_at =
            peers.filter_map(|peer| self.progress.get(peer).map(|progress| progress.queried_at));
        Some(queried_at.min().unwrap_or(now))
    }

    /// Returns the time since the start of the last read of the head, `None` if there was none.
    pub fn head_read_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.fresh_at.map(|at| now.since(at))
    }

    /// Returns the progress to report to other endpoints.
    pub fn progress(&self, now: MonotonicTime, next: Offset) -> LogProgress {
        let head_read_age = self.head_read_age(now);
        LogProgress {
            next,
            head_read_age,
        }
    }

    /// Returns the endpoint that has read furthest past `next`, if any.
    pub fn endpoint_ahead(&self, next: Offset) -> Option<&str> {
        self.progress
            .iter()
            .filter(|(_, answered)| answered.progress.next > next)
            .max_by_key(|(_, answered)| answered.progress.next)
            .map(|(endpoint, _)| &**endpoint)
    }

    /// A replica that contains all records of another endpoint is as fresh as that endpoint was
    /// when it answered.
    fn advance_from_endpoints(&mut self, next: Offset) {
        for answered in self.progress.values() {
            let Some(age) = answered
                .progress
                .head_read_age
                .filter(|_| answered.progress.next <= next)
            else {
                continue;
            };
            // The endpoint measured the age after the query was sent, so the computed time is not
            // too late, even if its clock is slower by up to 5 %.
            if let Some(at) = answered.queried_at.0.checked_sub(age + age / 20) {
                self.fresh_at = self.fresh_at.max(Some(MonotonicTime(at)));
            }
        }
    }

    fn is_outage(&self, now: MonotonicTime, next: Offset) -> bool {
        let reads_log =
            |a: &ReceivedProgress| a.progress.head_read_age.is_some_and(|age| age < LAG_AFTER);
        let is_contradicted = self
            .progress
            .values()
            .any(|answered| answered.progress.next > next || reads_log(answered));
        self.all_peers_reached(now) && !is_contradicted && self.fresh_at.is_some()
    }

    fn all_peers_reached(&self, now: MonotonicTime) -> bool {
        let is_reached = |peer: &str| {
            let answered = self.progress.get(peer);
            answered.is_some_and(|answered| now.since(answered.queried_at) < PROGRESS_MAX_AGE)
        };
        self.peers
            .as_ref()
            .is_some_and(|peers| peers.iter().all(|peer| is_reached(peer)))
    }
}
