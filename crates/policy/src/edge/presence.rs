//! Announcements by which instances tell each other directly that they run.
//!
//! Load pattern: instances are added or replaced, and the others read their records in the store
//! only seconds later. Or the store is down for some instances, which cannot write their records
//! for longer than the time after which an instance counts as failed. An instance announces itself
//! in both cases. Announcements follow the way of load digests (see [`super::exchange`]): relays
//! forward them.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Time from the first announcement of an instance until all others know of it, also if one is
/// lost.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Time between two announcements of an instance that has just started.
const START_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an instance counts as running after an announcement.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(20);

/// Age of an instance's record in the store from which it announces itself, and time between two
/// such announcements. Three of them fit into [`ANNOUNCEMENT_TTL`].
const RECORD_MAX_AGE: Duration = Duration::from_millis(6_500);

/// Minimum time between two announcements of the same instance that are forwarded. Relays forward
/// them to each other, so each arrives several times.
const FORWARD_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of instances whose announcements are remembered.
const MAX_INSTANCES: usize = 1_024;

/// Maximum number of announcements in one datagram. The others wait for the next one.
const MAX_PER_DATAGRAM: usize = 64;

/// Announcements of one instance and those that it has heard. Instances are identified by the
/// hashes of their names.
#[derive(Debug, Clone)]
pub struct Presence {
    own: u64,
    /// Time of this instance's first announcement.
    first_at: Option<MonotonicTime>,
    /// Time of this instance's last announcement.
    last_at: Option<MonotonicTime>,
    /// Times at which others were last heard.
    heard: HashMap<u64, MonotonicTime>,
    /// Announcements to be forwarded.
    waiting: Vec<u64>,
}

impl Presence {
    /// Creates the state of an instance that has just started, given the hash of its name.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            first_at: None,
            last_at: None,
            heard: HashMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Records the announcement of another instance. `is_forwarded` states whether this instance
    /// passes it on.
    pub fn record(&mut self, instance: u64, is_forwarded: bool, now: MonotonicTime) {
        if instance == self.own {
            return;
        }
        if self.heard.len() >= MAX_INSTANCES && !self.heard.contains_key(&instance) {
            self.heard.retain(|_, at| now.since(*at) < ANNOUNCEMENT_TTL);
            if self.heard.len() >= MAX_INSTANCES {
                return;
            }
        }
        let before = self.heard.get(&instance).copied();
        if before.is_some_and(|at| now.since(at) < FORWARD_INTERVAL) {
            return;
        }
        self.heard.insert(instance, now);
        if is_forwarded && !self.waiting.contains(&instance) {
            self.waiting.push(instance);
        }
    }

    /// Returns the announcements that are due to be sent to other instances. `record_age` is the
    /// age of this instance's record in the store.
    pub fn take(&mut self, record_age: Duration, now: MonotonicTime) -> Vec<u64> {
        let sends = self.waiting.len().min(MAX_PER_DATAGRAM - 1);
        let mut announcements: Vec<_> = self.waiting.drain(..sends).collect();
        let interval = if !self.has_joined(now) {
            Some(START_INTERVAL)
        } else if record_age >= RECORD_MAX_AGE {
            Some(RECORD_MAX_AGE)
        } else {
            None
        };
        let is_due = |interval| self.last_at.is_none_or(|at| now.since(at) >= interval);
        if interval.is_some_and(is_due) {
            self.first_at.get_or_insert(now);
            self.last_at = Some(now);
            announcements.push(self.own);
        }
        announcements
    }

    /// Records that there is no other instance to which this one could announce itself.
    pub fn record_alone(&mut self, now: MonotonicTime) {
        self.first_at.get_or_insert(now);
    }

    /// Announces this instance again as if it had just started: the others may have taken it for
    /// failed.
    pub fn announce_again(&mut self) {
        self.first_at = None;
        self.last_at = None;
    }

    /// Returns the time since this instance first announced itself, if it has.
    pub fn announced_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.first_at.map(|at| now.since(at))
    }

    /// Returns whether this instance announced itself so long ago that the others know of it.
    pub fn has_joined(&self, now: MonotonicTime) -> bool {
        self.first_at.is_some_and(|at| now.since(at) >= SPREAD_TIME)
    }

    /// Returns the instances that have announced themselves recently.
    pub fn heard(&self, now: MonotonicTime) -> impl Iterator<Item = u64> {
        let is_recent = move |at: &MonotonicTime| now.since(*at) < ANNOUNCEMENT_TTL;
        let heard = self.heard.iter();
        heard
            .filter(move |(_, at)| is_recent(at))
            .map(|(instance, _)| *instance)
    }
}
