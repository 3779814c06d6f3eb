//! Selection of relays, which are the instances that read the store, and of the relay from which an
//! instance receives changes.
//!
//! Load pattern: some hundred instances follow the same few records, which change a few times per
//! minute. Every call to the store has a cost, and all instances share one rate limit. A few
//! instances therefore read the store and pass on what changed. An instance whose relay does not
//! reply reads the store itself again, within the bound on the delay of a change.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Minimum number of relays. Up to this many instances, none depends on another.
const MIN_RELAYS: usize = 4;

/// Instances per relay. Each relay then answers some ten others about once per second.
const INSTANCES_PER_RELAY: usize = 16;

/// Number of reads of each topic that a relay has to finish after its first reply before it is
/// trusted. The second of them began after that reply, so a relay that was paused cannot pass off
/// an old read as a new one.
const READS_BEFORE_TRUST: u64 = 2;

/// Time for which a relay that failed is not asked again.
const SUSPECT_PERIOD: Duration = Duration::from_secs(5);

/// Time that an instance that has just started waits for the first reply of its relay, per running
/// instance. When all instances started at the same time and each read the whole list, the store
/// answered none of them within the timeout of a call.
const FIRST_REPLY_WAIT: Duration = Duration::from_millis(6);

/// Returns the number of relays where `instances` run.
pub fn relay_count(instances: usize) -> usize {
    instances.div_ceil(INSTANCES_PER_RELAY).max(MIN_RELAYS)
}

/// Number of reads of the store that an instance has finished since its start, by topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadCounts {
    /// Reads of the configuration.
    pub config: u64,
    /// Reads of the list of instances.
    pub instances: u64,
}

/// Relay that an instance may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Relay<K> {
    /// Identity of the relay.
    pub key: K,
    /// Whether it is in the failure domain of the follower.
    pub is_same_domain: bool,
    /// Order among relays that are otherwise equal; the lowest value is chosen. It differs between
    /// followers, so that they spread over the relays.
    pub tie_break: u64,
}

/// State of an instance that receives changes from a relay instead of reading the store.
#[derive(Debug)]
pub struct RelayFollower<K> {
    relay: Option<K>,
    /// Reads that the relay had finished at its first reply.
    first_reads: Option<ReadCounts>,
    /// Reads that the relay had finished at its newest reply.
    last_reads: Option<ReadCounts>,
    /// Time at which the next reply is due. Until then, the instance need not read the store.
    relayed_until: Option<MonotonicTime>,
    suspects: Vec<(K, MonotonicTime)>,
    /// End of the start phase. No bound on the delay of changes holds during it, so the instance
    /// follows a relay without proof that the relay was not paused.
    starting_until: Option<MonotonicTime>,
    is_starting: bool,
}

impl<K> Default for RelayFollower<K> {
    fn default() -> Self {
        Self {
            relay: None,
            first_reads: None,
            last_reads: None,
            relayed_until: None,
            suspects: Vec::new(),
            starting_until: None,
            is_starting: false,
        }
    }
}

impl<K: Copy + PartialEq> RelayFollower<K> {
    /// Creates the state of an instance whose start phase lasts until `until`. No bound on the
    /// delay of changes holds during it.
    pub fn starting(until: MonotonicTime) -> Self {
        Self {
            starting_until: Some(until),
            ..Self::default()
        }
    }

    /// Makes an instance in its start phase wait for the first reply of its relay before it reads
    /// the store itself. `instances` is the number of running instances.
    pub fn await_first_reply(&mut self, instances: usize, now: MonotonicTime) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        if self.is_starting && self.last_reads.is_none() && self.relayed_until.is_none() {
            self.relayed_until = Some(now.plus(FIRST_REPLY_WAIT.saturating_mul(instances)));
        }
    }

    /// Chooses the relay to ask next among `relays`: the current one while it is among them and has
    /// not failed, otherwise one of the same failure domain if possible. Returns `None` if all of
    /// them have failed recently.
    pub fn choose(&mut self, relays: &[Relay<K>], now: MonotonicTime) -> Option<K> {
        self.suspects
            .retain(|(_, at)| now.since(*at) < SUSPECT_PERIOD);
        self.is_starting = self.starting_until.is_some_and(|until| now < until);
        let usable = relays
            .iter()
            .filter(|relay| self.suspects.iter().all(|(key, _)| *key != relay.key));
        let kept = self
            .relay
            .filter(|kept| usable.clone().any(|relay| relay.key == *kept));
        let chosen = kept.or_else(|| {
            usable
                .min_by_key(|relay| (!relay.is_same_domain, relay.tie_break))
                .map(|relay| relay.key)
        });
        if chosen != self.relay {
            self.relay = chosen;
            self.first_reads = None;
            self.last_reads = None;
        }
        chosen
    }

    /// Records a reply of the chosen relay, which has finished `reads` since its start. The next
    /// reply is due at `next_due`.
    pub fn record_reply(&mut self, reads: ReadCounts, next_due: MonotonicTime) {
        self.last_reads = Some(reads);
        // Lower counts than before belong to a new incarnation of the relay.
        let first = *self.first_reads.get_or_insert(reads);
        if reads.config < first.config || reads.instances < first.instances {
            self.first_reads = Some(reads);
            return;
        }
        let is_trusted = reads.config - first.config >= READS_BEFORE_TRUST
            && reads.instances - first.instances >= READS_BEFORE_TRUST;
        if is_trusted || self.is_starting {
            self.relayed_until = Some(next_due);
        }
    }

    /// Returns the chosen relay.
    pub fn relay(&self) -> Option<K> {
        self.relay
    }

    /// Returns the reads that the chosen relay reported in its newest reply.
    pub fn reported_reads(&self) -> Option<ReadCounts> {
        self.last_reads
    }

    /// Records that the chosen relay did not reply, or has not read the store itself recently. The
    /// instance has to read the store at once.
    pub fn record_relay_failure(&mut self, now: MonotonicTime) {
        self.suspects
            .extend(self.relay.take().map(|relay| (relay, now)));
        self.stop_following();
    }

    /// Makes the instance read the store itself from now on.
    pub fn stop_following(&mut self) {
        self.first_reads = None;
        self.last_reads = None;
        self.relayed_until = None;
    }

    /// Returns the time until which the instance need not read the store, or `None` if it has to
    /// read it now.
    pub fn relayed_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.relayed_until.filter(|until| now < *until)
    }
}
