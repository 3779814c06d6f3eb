//! How current a replica is, and whether it may still answer for keys.
//!
//! A replica is fresh as of the start of the last read that returned the head, its own or that of a
//! party whose records it has caught up with. Without such a read it cannot know of a withdrawn key,
//! unless every known peer was reached and none of them can read the log either.
//!
//! ```
//! use std::time::Duration;
//!
//! use nutmegbay_core::freshness::{Freshness, LogView};
//! use nutmegbay_core::ids::Offset;
//! use nutmegbay_core::environment::MonotonicTime;
//!
//! let at = |ms| MonotonicTime(Duration::from_millis(ms));
//! let mut freshness = Freshness::default();
//! freshness.set_peers(["g2"]);
//! assert!(!freshness.may_serve_keyed(at(0)), "nothing was read yet");
//!
//! freshness.on_head(at(100));
//! freshness.on_tick(at(100), Offset(5));
//! assert!(freshness.may_serve_keyed(at(3000)));
//!
//! // Cut off from the log and from its peer, it stops 3 s after the last fresh read.
//! assert!(!freshness.may_serve_keyed(at(3200)));
//!
//! // If the peer answers that it cannot read the log either, nothing new can have been accepted.
//! let view = LogView { next: Offset(5), fresh_age: Some(Duration::from_secs(3)) };
//! freshness.on_view("g2", at(3100), view);
//! freshness.on_tick(at(3200), Offset(5));
//! assert_eq!(freshness.state(), "outage");
//! assert!(freshness.may_serve_keyed(at(3200)));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmegbay_chart::{Chart, Machine};

use crate::ids::Offset;
use crate::mutation::{Mutation, Mutations};
use crate::environment::MonotonicTime;

const CHART: &str = include_str!("../charts/freshness.json");

/// Age of the last fresh read from which the other parties are asked. A long poll of the log has to
/// be answered well within this time.
pub const LAG_AFTER: Duration = Duration::from_millis(1500);

/// Age of the last fresh read from which keyed requests are refused.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// Age from which the answer of a peer no longer supports an outage. With one question every
/// [`ASK_EVERY`] it allows for one lost answer.
pub const VIEW_VALID: Duration = Duration::from_millis(1250);

/// Time between two rounds of questions to the other parties.
pub const ASK_EVERY: Duration = Duration::from_millis(500);

/// How current a party is with respect to the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LogView {
    /// Offset after the last record applied or remembered.
    pub next: Offset,
    /// Time since the start of the last read that reached the head, none if never.
    pub fresh_age: Option<Duration>,
}

/// Judges how current the replica of one process is.
pub struct Freshness {
    machine: Machine,
    /// Start of the last read that returned the head.
    fresh_at: Option<MonotonicTime>,
    /// Gateways that exist, none until the instance list was read.
    peers: Option<BTreeSet<Box<str>>>,
    views: BTreeMap<Box<str>, Answered>,
    mutations: Mutations,
}

/// Last answer of a party.
#[derive(Debug, Clone, Copy)]
struct Answered {
    asked: MonotonicTime,
    view: LogView,
}

impl Default for Freshness {
    /// State of a process that has read nothing.
    ///
    /// # Panics
    ///
    /// Never: the chart is part of the build.
    fn default() -> Self {
        let chart = Chart::parse(CHART).expect("the freshness chart is part of the build");
        Self {
            machine: Machine::new(chart),
            fresh_at: None,
            peers: None,
            views: BTreeMap::new(),
            mutations: Mutations::default(),
        }
    }
}

impl Freshness {
    /// A judge with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Names all other gateways. Until this is called, no outage is recognised.
    pub fn set_peers<I: IntoIterator<Item: Into<Box<str>>>>(&mut self, peers: I) {
        self.peers = Some(peers.into_iter().map(Into::into).collect());
    }

    /// A read that started then returned the head, and all its records were applied.
    pub fn on_head(&mut self, started: MonotonicTime) {
        self.fresh_at = self.fresh_at.max(Some(started));
    }

    /// A peer or sidecar answered a question that was sent at `asked`.
    pub fn on_view(&mut self, party: &str, asked: MonotonicTime, view: LogView) {
        self.views.insert(party.into(), Answered { asked, view });
    }

    /// A peer or sidecar did not answer.
    pub fn on_silence(&mut self, party: &str) {
        self.views.remove(party);
    }

    /// Judges again, for a replica whose next offset is `next`, and returns whether the state
    /// changed.
    pub fn on_tick(&mut self, now: MonotonicTime, next: Offset) -> bool {
        self.views
            .retain(|_, answered| now.since(answered.asked) < VIEW_VALID);
        self.adopt(next);
        let age = self.fresh_age(now);
        let event = match age {
            Some(age) if age < LAG_AFTER => "fresh",
            _ if self.is_outage(now, next) => "outage",
            Some(age) if age < ISOLATED_AFTER => "stale",
            _ => "isolated",
        };
        self.machine.handle(event)
    }

    /// Whether a keyed request may be answered at `now`. Also correct if the process was paused
    /// since the last tick.
    pub fn may_serve_keyed(&self, now: MonotonicTime) -> bool {
        let is_recent = self.fresh_age(now).is_some_and(|age| age < ISOLATED_AFTER);
        let is_outage = self.state() == "outage" && self.all_reached(now);
        is_recent || is_outage || self.mutations.has(Mutation::ServeWhenIsolated)
    }

    /// State of the chart: `fresh`, `lagging`, `outage` or `isolated`.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Whether the log was read within the last [`LAG_AFTER`].
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.fresh_age(now).is_some_and(|age| age < LAG_AFTER)
    }

    /// In an outage, the moment as of which no other gateway had applied a record that this replica
    /// lacks: the earliest of the questions that all of them answered. As long as none of them
    /// can read on, none can have dispatched anything that this replica does not show.
    pub fn outage_as_of(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.state() != "outage" || !self.all_reached(now) {
            return None;
        }
        let peers = self.peers.iter().flatten();
        let asked = peers.filter_map(|peer| self.views.get(peer).map(|view| view.asked));
        Some(asked.min().unwrap_or(now))
    }

    /// Time since the start of the last fresh read.
    pub fn fresh_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.fresh_at.map(|at| now.since(at))
    }

    /// What to tell other parties.
    pub fn view(&self, now: MonotonicTime, next: Offset) -> LogView {
        let fresh_age = self.fresh_age(now);
        LogView { next, fresh_age }
    }

    /// Party that has records after `next`, the most advanced one first.
    pub fn ahead(&self, next: Offset) -> Option<&str> {
        self.views
            .iter()
            .filter(|(_, answered)| answered.view.next > next)
            .max_by_key(|(_, answered)| answered.view.next)
            .map(|(party, _)| &**party)
    }

    /// A replica that has all records of another party is as fresh as that party was.
    fn adopt(&mut self, next: Offset) {
        for answered in self.views.values() {
            let Some(age) = answered
                .view
                .fresh_age
                .filter(|_| answered.view.next <= next)
            else {
                continue;
            };
            // The age was measured after the question was sent, so this is not too late, even by a
            // clock that is slower by up to 5 %.
            if let Some(at) = answered.asked.0.checked_sub(age + age / 20) {
                self.fresh_at = self.fresh_at.max(Some(MonotonicTime(at)));
            }
        }
    }

    fn is_outage(&self, now: MonotonicTime, next: Offset) -> bool {
        let works = |a: &Answered| a.view.fresh_age.is_some_and(|age| age < LAG_AFTER);
        let is_told_otherwise = self
            .views
            .values()
            .any(|answered| answered.view.next > next || works(answered));
        self.all_reached(now) && !is_told_otherwise && self.fresh_at.is_some()
    }

    fn all_reached(&self, now: MonotonicTime) -> bool {
        let is_reached = |peer: &str| {
            let answered = self.views.get(peer);
            answered.is_some_and(|answered| now.since(answered.asked) < VIEW_VALID)
        };
        self.peers
            .as_ref()
            .is_some_and(|peers| peers.iter().all(|peer| is_reached(peer)))
    }
}
