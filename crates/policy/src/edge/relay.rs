//! Which instances read the store, and from whom the others hear of changes.
//!
//! Load pattern: some hundred instances follow the same few records, which change a few times a
//! minute. Every call to the store has a price, and all instances together have one rate of them. A
//! few instances read the store and pass on what changed; an instance that hears nothing reads the
//! store itself again within the bound for a change.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Least number of instances that read the store: up to this many, no instance depends on another.
const LEAST_RELAYS: usize = 4;

/// Instances for each relay: each then answers some ten others about once a second.
const INSTANCES_PER_RELAY: usize = 16;

/// Reads of each topic that a relay finishes after its first reply before it is trusted. The second
/// one began after that reply, so that a relay which was paused cannot pass off an old read as a
/// new one.
const READS_BEFORE_TRUST: u64 = 2;

/// Time for which a relay that failed is not asked again.
const SUSPECTED_FOR: Duration = Duration::from_secs(5);

/// Time for the first reply of a relay to an instance that has just started, for each instance that
/// runs. Where all start at once and each read the whole list, the store had no answer for any of them
/// in the time that a call may take.
const FIRST_REPLY: Duration = Duration::from_millis(6);

/// Number of instances that read the store where `instances` run.
pub fn relays(instances: usize) -> usize {
    instances.div_ceil(INSTANCES_PER_RELAY).max(LEAST_RELAYS)
}

/// Reads of the store that an instance has finished since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reads {
    /// Of the configuration.
    pub config: u64,
    /// Of the list of instances.
    pub instances: u64,
}

/// An instance that reads the store, as another one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Relay<K> {
    /// Identity.
    pub key: K,
    /// Whether it is in the failure domain of the instance that asks.
    pub is_near: bool,
    /// Rank among equals, different for each instance that asks, so that they spread.
    pub spread: u64,
}

/// From whom one instance hears of changes.
#[derive(Debug)]
pub struct Feed<K> {
    relay: Option<K>,
    /// Reads that the relay had finished when it first replied.
    first: Option<Reads>,
    /// Reads that it had finished when it last replied.
    last: Option<Reads>,
    /// Until when the store need not be read, since the next reply is due by then.
    until: Option<MonotonicTime>,
    suspects: Vec<(K, MonotonicTime)>,
    /// Until when the instance counts as just started: no bound on changes holds for it yet, so that it
    /// follows a relay without the proof that this one was not paused.
    starting_until: Option<MonotonicTime>,
    is_starting: bool,
}

impl<K> Default for Feed<K> {
    fn default() -> Self {
        Self {
            relay: None,
            first: None,
            last: None,
            until: None,
            suspects: Vec::new(),
            starting_until: None,
            is_starting: false,
        }
    }
}

impl<K: Copy + PartialEq> Feed<K> {
    /// Feed of an instance that starts, for which no bound on changes holds until the given moment.
    pub fn starting(until: MonotonicTime) -> Self {
        Self {
            starting_until: Some(until),
            ..Self::default()
        }
    }

    /// Notes that an instance that has just started waits for the first reply of its relay before it
    /// reads the store itself, where `instances` run.
    pub fn await_first(&mut self, instances: usize, now: MonotonicTime) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        if self.is_starting && self.last.is_none() && self.until.is_none() {
            self.until = Some(now.plus(FIRST_REPLY.saturating_mul(instances)));
        }
    }

    /// Chooses whom to ask next among `relays`: the same as before while it is one of them and does
    /// not fail, else a near one. None where all are suspected.
    pub fn choose(&mut self, relays: &[Relay<K>], now: MonotonicTime) -> Option<K> {
        self.suspects
            .retain(|(_, at)| now.since(*at) < SUSPECTED_FOR);
        self.is_starting = self.starting_until.is_some_and(|until| now < until);
        let usable = relays
            .iter()
            .filter(|relay| self.suspects.iter().all(|(key, _)| *key != relay.key));
        let kept = self
            .relay
            .filter(|kept| usable.clone().any(|relay| relay.key == *kept));
        let chosen = kept.or_else(|| {
            usable
                .min_by_key(|relay| (!relay.is_near, relay.spread))
                .map(|relay| relay.key)
        });
        if chosen != self.relay {
            self.relay = chosen;
            self.first = None;
            self.last = None;
        }
        chosen
    }

    /// Notes a reply of the chosen relay, which has finished `reads` since its start. The next reply
    /// is due at `next_due`.
    pub fn replied(&mut self, reads: Reads, next_due: MonotonicTime) {
        self.last = Some(reads);
        // Fewer reads than before are those of a new incarnation.
        let first = *self.first.get_or_insert(reads);
        if reads.config < first.config || reads.instances < first.instances {
            self.first = Some(reads);
            return;
        }
        let is_trusted = reads.config - first.config >= READS_BEFORE_TRUST
            && reads.instances - first.instances >= READS_BEFORE_TRUST;
        if is_trusted || self.is_starting {
            self.until = Some(next_due);
        }
    }

    /// The chosen relay.
    pub fn relay(&self) -> Option<K> {
        self.relay
    }

    /// Reads of the chosen relay that this instance has heard of.
    pub fn heard(&self) -> Option<Reads> {
        self.last
    }

    /// Notes that the chosen relay did not reply, or has not read the store itself of late. The
    /// store is to be read at once.
    pub fn failed(&mut self, now: MonotonicTime) {
        self.suspects
            .extend(self.relay.take().map(|relay| (relay, now)));
        self.leave();
    }

    /// Notes that the instance reads the store itself from now on.
    pub fn leave(&mut self) {
        self.first = None;
        self.last = None;
        self.until = None;
    }

    /// Until when the store need not be read; none where it is to be read now.
    pub fn relayed_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.until.filter(|until| now < *until)
    }
}
