//! Exchange of load digests between instances: which work each instance has sent to which upstream.
//!
//! Load pattern: many instances choose among the same upstreams, and the request rate doubles
//! within a tenth of a second. The load that answers report is a hundred milliseconds old and
//! reaches one instance among thirty about once per second, while a queue lasts a tenth of a
//! second. With that alone, all instances would choose the upstream that looks idle, and none would
//! know that another one has just had the shared prefix of a prompt prefilled elsewhere.
//!
//! Relays, which are the instances that read the store for others (see [`super::relay`]), forward
//! digests: each other instance sends its own work to its relay, relays exchange the work of their
//! groups, and each instance receives the work of all others from its relay. The number of digests
//! grows linearly with the number of instances, not with its square.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

use super::prefill_rate::PrefillTimes;
use super::urgency::ByUrgency;

/// Minimum time between two digests to the same instance. A burst of 1,500 requests per second
/// brings eight requests in 5 ms; with 20 ms, instances that choose at the same time pick the same
/// upstreams.
const MIN_SPACING: Duration = Duration::from_millis(5);

/// Minimum time between two digests, per running instance. Both the size of a digest and the number
/// of its receivers grow with the number of instances: with one spacing at all sizes, 300 instances
/// exchanged a megabyte per second each.
const SPACING_PER_INSTANCE: Duration = Duration::from_micros(160);

/// Maximum of the spacing: three digests fit into [`DIGEST_TTL`].
const MAX_SPACING: Duration = Duration::from_millis(130);

/// Age from which a digest no longer counts. Digests arrive every few tens of milliseconds, and the
/// queues that an older digest describes have drained.
const DIGEST_TTL: Duration = Duration::from_millis(400);

/// Maximum number of upstreams in one digest, so that it fits into one packet. Upstreams with the
/// most work come first.
const MAX_DIGEST_UPSTREAMS: usize = 140;

/// Maximum number of prefix block uses in one digest.
const MAX_DIGEST_BLOCK_USES: usize = 60;

/// Maximum number of upstream tags that are remembered, including those of removed upstreams.
/// Beyond it, the state of the exchange is reset.
const MAX_TAGS: usize = 4_096;

/// Work of one or more instances at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWork {
    /// Engine time of the requests without a first result, by urgency, in milliseconds.
    pub pending_ms: ByUrgency<u32>,
    /// Requests in flight.
    pub requests: u32,
    /// Long streams among `requests`.
    pub streams: u32,
}

/// Use of a prefix block at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlockUse {
    /// Id of the prefix block.
    #[serde(rename = "part")]
    pub block: u64,
    /// Tag of the upstream.
    pub upstream: u32,
}

/// Instances whose work a digest sums up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender alone.
    Own,
    /// A relay and its followers.
    Group,
    /// All instances except the receiver.
    Others,
}

/// Returns the minimum time between two digests to the same instance where `instances` run.
pub fn spacing(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let spacing = SPACING_PER_INSTANCE.saturating_mul(instances);
    spacing.clamp(MIN_SPACING, MAX_SPACING)
}

/// Load digest that one instance sends to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Instances whose work it sums up.
    pub scope: Scope,
    /// Number of instances that it sums up.
    pub instances: u32,
    /// Work by tag of the upstream. Upstreams without work are left out.
    pub work: Vec<(u32, UpstreamWork)>,
    /// Prefix blocks that were used since the last digest.
    #[serde(rename = "uses")]
    pub block_uses: Vec<PrefixBlockUse>,
    /// Prefill times that the sender has learned, by tag of the service.
    #[serde(rename = "reads")]
    pub prefill_times: Vec<(u32, PrefillTimes)>,
}

/// Role of an instance in the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role<K> {
    /// Forwards digests, together with the given other relays.
    Relay(Vec<K>),
    /// Exchanges digests with the given relay only.
    Follower(K),
}

/// Work of other instances, as summed up from their digests.
#[derive(Debug)]
pub struct LoadExchange<K> {
    role: Option<Role<K>>,
    received: BTreeMap<K, ReceivedDigest>,
    /// Index of each upstream in `tags` and in the sums, by its tag.
    indexes: HashMap<u32, usize>,
    tags: Vec<u32>,
    /// Work of all other instances.
    all: WorkSum,
    /// Work of the followers of this instance.
    followers: WorkSum,
    /// Block uses that are still to be sent, each with the instance that sent it and the scope of
    /// its digest, or `None` for a use by this instance.
    block_uses: Vec<(Option<(K, Scope)>, PrefixBlockUse)>,
}

/// Work of several instances, by index of the upstream.
#[derive(Debug, Clone, Default)]
struct WorkSum {
    instances: u32,
    work: Vec<UpstreamWork>,
}

#[derive(Debug)]
struct ReceivedDigest {
    at: MonotonicTime,
    scope: Scope,
    instances: u32,
    work: Vec<(usize, UpstreamWork)>,
}

impl<K> Default for LoadExchange<K> {
    fn default() -> Self {
        Self {
            role: None,
            received: BTreeMap::new(),
            indexes: HashMap::new(),
            tags: Vec::new(),
            all: WorkSum::default(),
            followers: WorkSum::default(),
            block_uses: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Ord> LoadExchange<K> {
    /// Sets the role of this instance. Digests that were received in another role are dropped,
    /// since their work would count twice.
    pub fn set_role(&mut self, role: Option<Role<K>>) {
        let is_same = match (&self.role, &role) {
            (Some(Role::Relay(_)), Some(Role::Relay(_))) => true,
            (before, after) => before == after,
        };
        if !is_same {
            *self = Self::default();
        }
        self.role = role;
    }

    /// Whether this instance has a role.
    pub fn has_role(&self) -> bool {
        self.role.is_some()
    }

    /// Whether this instance forwards digests.
    pub fn is_relay(&self) -> bool {
        matches!(self.role, Some(Role::Relay(_)))
    }

    /// Records a digest, which replaces the previous one of the same sender. Returns false and
    /// ignores it if this instance expects no digest of that scope from `from` in its role.
    pub fn record_digest(&mut self, from: K, digest: &Digest, now: MonotonicTime) -> bool {
        let is_expected = match (&self.role, digest.scope) {
            (Some(Role::Relay(_)), Scope::Own) => true,
            (Some(Role::Relay(others)), Scope::Group) => others.contains(&from),
            (Some(Role::Follower(relay)), Scope::Others) => *relay == from,
            _ => false,
        };
        if !is_expected {
            return false;
        }
        if self.is_relay() {
            let shared = digest
                .block_uses
                .iter()
                .map(|block_use| (Some((from, digest.scope)), *block_use));
            self.block_uses.extend(shared);
        }
        let indexed = self.index_work(&digest.work);
        self.remove(from);
        let received = ReceivedDigest {
            at: now,
            scope: digest.scope,
            instances: digest.instances,
            work: indexed,
        };
        self.all.add(&received);
        if received.scope == Scope::Own {
            self.followers.add(&received);
        }
        self.received.insert(from, received);
        true
    }

    /// Records that a request of this instance used a prefix block at an upstream.
    pub fn record_use(&mut self, block_use: PrefixBlockUse) {
        if self.role.is_some() {
            self.block_uses.push((None, block_use));
        }
    }

    /// Drops digests that are too old to count.
    pub fn sweep(&mut self, now: MonotonicTime) {
        let expired = |(from, received): (&K, &ReceivedDigest)| {
            (now.since(received.at) >= DIGEST_TTL).then_some(*from)
        };
        let expired: Vec<K> = self.received.iter().filter_map(expired).collect();
        for from in expired {
            self.remove(from);
        }
        if self.tags.len() > MAX_TAGS {
            *self = Self {
                role: self.role.take(),
                ..Self::default()
            };
        }
    }

    /// Returns the digests to send now, with their receivers. `own` is the work of this instance by
    /// tag of the upstream. Block uses recorded so far are taken into these digests.
    pub fn digests(&mut self, own: &[(u32, UpstreamWork)]) -> Vec<(K, Digest)> {
        let own = ReceivedDigest {
            at: MonotonicTime::default(),
            scope: Scope::Own,
            instances: 1,
            work: self.index_work(own),
        };
        let block_uses = std::mem::take(&mut self.block_uses);
        match &self.role {
            None => Vec::new(),
            Some(Role::Follower(relay)) => {
                let mut sum = WorkSum::default();
                sum.add(&own);
                vec![(
                    *relay,
                    self.digest(Scope::Own, &sum, filter_uses(&block_uses, |_| true)),
                )]
            }
            Some(Role::Relay(others)) => {
                let mut group = self.followers.clone();
                group.add(&own);
                let uses_of_group = filter_uses(&block_uses, |from| {
                    from.is_none_or(|(_, scope)| scope != Scope::Group)
                });
                let group_digest = self.digest(Scope::Group, &group, uses_of_group);
                let to_relays = others.iter().map(|other| (*other, group_digest.clone()));
                let mut all = self.all.clone();
                all.add(&own);
                let followers = self
                    .received
                    .iter()
                    .filter(|(_, received)| received.scope == Scope::Own);
                let to_followers = followers.map(|(follower, received)| {
                    let mut rest = all.clone();
                    rest.subtract(received);
                    let uses_of_others = filter_uses(&block_uses, |from| {
                        from.is_none_or(|(from, _)| from != *follower)
                    });
                    (*follower, self.digest(Scope::Others, &rest, uses_of_others))
                });
                to_relays.chain(to_followers).collect()
            }
        }
    }

    /// Number of other instances whose work is included in the sums.
    pub fn reporting_instances(&self) -> u32 {
        self.all.instances
    }

    /// Returns the mean age at `now` of the work of other instances, where digests to the same
    /// instance are `spacing` apart. `None` if none is known. Each digest on the way of a figure
    /// waits for half a spacing; how long it travels is not known and is left out.
    pub fn known_age(&self, spacing: Duration, now: MonotonicTime) -> Option<Duration> {
        let mut sum = Duration::ZERO;
        let mut instances = 0;
        for received in self.received.values() {
            let digests = match received.scope {
                Scope::Own => 1,
                Scope::Group => 2,
                Scope::Others => 3,
            };
            let age = now.since(received.at) + spacing * digests / 2;
            sum += age * received.instances;
            instances += received.instances;
        }
        (instances > 0).then(|| sum / instances)
    }

    /// Returns the work of other instances at an upstream, given by its tag.
    pub fn work(&self, upstream: u32) -> UpstreamWork {
        let index = self.indexes.get(&upstream);
        let work = index.and_then(|index| self.all.work.get(*index));
        work.copied().unwrap_or_default()
    }

    /// Drops the digest of `from` and subtracts it from the sums.
    fn remove(&mut self, from: K) {
        let Some(received) = self.received.remove(&from) else {
            return;
        };
        self.all.subtract(&received);
        if received.scope == Scope::Own {
            self.followers.subtract(&received);
        }
    }

    /// Replaces tags by indexes into the sums. Unknown tags get a new index.
    fn index_work(&mut self, work: &[(u32, UpstreamWork)]) -> Vec<(usize, UpstreamWork)> {
        let Self { indexes, tags, .. } = self;
        let to_indexed = |(tag, work): &(u32, UpstreamWork)| {
            let index = *indexes.entry(*tag).or_insert_with(|| {
                tags.push(*tag);
                tags.len() - 1
            });
            (index, *work)
        };
        work.iter().map(to_indexed).collect()
    }

    fn digest(&self, scope: Scope, sum: &WorkSum, block_uses: Vec<PrefixBlockUse>) -> Digest {
        let tagged = self.tags.iter().zip(&sum.work);
        let mut work: Vec<_> = tagged
            .filter(|(_, work)| **work != UpstreamWork::default())
            .map(|(tag, work)| (*tag, *work))
            .collect();
        if work.len() > MAX_DIGEST_UPSTREAMS {
            work.sort_unstable_by_key(|(_, work)| {
                std::cmp::Reverse(work.pending_ms.all().map(u64::from).sum::<u64>())
            });
            work.truncate(MAX_DIGEST_UPSTREAMS);
        }
        Digest {
            scope,
            instances: sum.instances,
            work,
            block_uses,
            prefill_times: Vec::new(),
        }
    }
}

impl WorkSum {
    fn add(&mut self, received: &ReceivedDigest) {
        self.instances = self.instances.saturating_add(received.instances);
        self.apply(received, u32::saturating_add);
    }

    fn subtract(&mut self, received: &ReceivedDigest) {
        self.instances = self.instances.saturating_sub(received.instances);
        self.apply(received, u32::saturating_sub);
    }

    fn apply(&mut self, received: &ReceivedDigest, change: fn(u32, u32) -> u32) {
        for (index, work) in &received.work {
            if self.work.len() <= *index {
                self.work.resize(*index + 1, UpstreamWork::default());
            }
            let sum = &mut self.work[*index];
            sum.pending_ms.zip_with(&work.pending_ms, change);
            sum.requests = change(sum.requests, work.requests);
            sum.streams = change(sum.streams, work.streams);
        }
    }
}

/// Returns the block uses whose origin matches `is_included`, at most [`MAX_DIGEST_BLOCK_USES`].
fn filter_uses<K: Copy>(
    block_uses: &[(Option<(K, Scope)>, PrefixBlockUse)],
    is_included: impl Fn(Option<(K, Scope)>) -> bool,
) -> Vec<PrefixBlockUse> {
    let included = block_uses.iter().filter(|(from, _)| is_included(*from));
    included
        .map(|(_, block_use)| *block_use)
        .take(MAX_DIGEST_BLOCK_USES)
        .collect()
}
