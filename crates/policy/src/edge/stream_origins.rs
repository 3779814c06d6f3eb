//! Versions of the software with which streams began, by attempt of the caller.
//!
//! Load pattern: a caller whose stream broke off takes it up at any instance within some tens of
//! milliseconds, also when the instance that carried the stream was killed or stands still. A second
//! version may appear at any time. Each origin is therefore copied to a few other instances (see
//! [`super::origin_replicas`]) as soon as the stream begins, however many versions are in use.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

use super::origin_replicas::{OriginReplicas, REPLICAS, ReplicaMember};
use super::software_versions::VersionTag;

/// Maximum number of attempts that are remembered. Beyond it, the oldest ones are dropped, and
/// their streams are not continued while several versions are in use.
pub const MAX_ATTEMPTS: usize = 128 * 1024;

/// Maximum number of attempts in one datagram, so that it fits into one packet.
pub const MAX_TOLD: usize = 150;

/// Maximum number of copies that wait to be sent. Further ones are not sent.
const MAX_WAITING: usize = 64 * 1024;

/// Time by which a copy has to be younger than what is known to replace its age: its stream was
/// taken up. Ages are sent in whole seconds.
const REFRESH_AFTER: Duration = Duration::from_secs(1);

/// Service, given by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

/// Attempt of a caller that brought the first event of a stream, given by a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptTag(pub u64);

/// What began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the upstream.
    pub service: ServiceTag,
    /// Version of the upstream.
    pub version: VersionTag,
}

/// Streams with one origin, as sent between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNews {
    /// What began them.
    pub origin: Origin,
    /// Attempts whose streams they are, as bytes, which take less space than random integers.
    attempts: Vec<[u8; 8]>,
}

impl OriginNews {
    /// Returns news about streams with one origin.
    pub fn new(origin: Origin, attempts: impl IntoIterator<Item = AttemptTag>) -> Self {
        let attempts = attempts.into_iter();
        Self {
            origin,
            attempts: attempts.map(|attempt| attempt.0.to_le_bytes()).collect(),
        }
    }

    /// Returns news without streams: the version is in use.
    pub fn in_use(origin: Origin) -> Self {
        Self {
            origin,
            attempts: Vec::new(),
        }
    }

    /// Returns the attempts whose streams they are.
    pub fn streams(&self) -> impl Iterator<Item = AttemptTag> {
        let attempts = self.attempts.iter();
        attempts.map(|attempt| AttemptTag(u64::from_le_bytes(*attempt)))
    }

    /// Whether there are streams.
    pub fn has_streams(&self) -> bool {
        !self.attempts.is_empty()
    }
}

/// Longest time for which a caller of a service's streams has stated to wait, as sent between
/// instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerWait {
    /// Service.
    pub service: ServiceTag,
    /// Wait in milliseconds.
    pub wait_ms: u64,
}

/// Streams with one origin that were recorded at about the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedOrigins {
    /// Time since they were recorded, in seconds.
    pub age_s: u64,
    /// The streams.
    pub news: OriginNews,
}

/// Versions with which streams began.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_attempt: HashMap<AttemptTag, Known>,
    /// Attempts in the order in which they were recorded. One that was recorded again stands there
    /// more than once.
    order: VecDeque<(MonotonicTime, AttemptTag)>,
    replicas: OriginReplicas,
    /// Attempts whose origins are still to be copied, by the name of the receiver.
    waiting: BTreeMap<u64, VecDeque<AttemptTag>>,
    /// Number of copies in `waiting`.
    waiting_count: usize,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    origin: Origin,
    at: MonotonicTime,
    /// Whether this instance carried the stream.
    is_own: bool,
    /// Whether the stream is complete, so that its caller need not take it up.
    is_complete: bool,
}

/// Origin known to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOrigin {
    /// Version that began the stream.
    pub version: VersionTag,
    /// Whether this instance carried the stream.
    pub is_own: bool,
    /// Time since this was recorded.
    pub age: Duration,
}

impl StreamOrigins {
    /// Records that a stream of this instance began, or was taken up by its caller. Others get
    /// copies.
    pub fn record_own(&mut self, attempt: AttemptTag, origin: Origin, now: MonotonicTime) {
        self.record(attempt, origin, true, now);
        for replica in self.replicas.of(attempt, REPLICAS) {
            self.queue(replica, attempt);
        }
    }

    /// Records that a stream of this instance is complete. Copies that have not been sent are not
    /// needed any more.
    pub fn record_complete(&mut self, attempt: AttemptTag) {
        if let Some(known) = self.by_attempt.get_mut(&attempt) {
            known.is_complete = true;
        }
    }

    /// Sets the instances that run. What this instance knows is copied to those that were not known
    /// before, and their names are returned.
    pub fn update_members(
        &mut self,
        own: ReplicaMember,
        others: impl IntoIterator<Item = ReplicaMember>,
    ) -> Vec<u64> {
        let joined = self.replicas.update(own, others);
        for member in &joined {
            self.copy_to(*member);
        }
        joined
    }

    /// Copies all origins that an instance is to keep to it: it has just started.
    pub fn copy_to(&mut self, member: u64) {
        let newest = self.order.iter().rev();
        let kept: Vec<_> = newest
            .filter(|(at, attempt)| {
                let known = self.by_attempt.get(attempt);
                known.is_some_and(|known| known.at == *at)
                    && self.replicas.of(*attempt, REPLICAS).contains(&member)
            })
            .map(|(_, attempt)| *attempt)
            .collect();
        for attempt in kept {
            self.queue(member, attempt);
        }
    }

    /// Copies what this instance keeps to those that keep it in its place. To be called before this
    /// instance ends.
    pub fn leave(&mut self) {
        let own = self.replicas.own();
        let replicas = |attempt: &AttemptTag| (*attempt, self.replicas.of(*attempt, REPLICAS));
        let known = self.by_attempt.keys().map(replicas);
        let kept: Vec<_> = known.filter(|(_, names)| names.contains(&own)).collect();
        self.replicas.leave();
        for (attempt, before) in kept {
            for name in self.replicas.of(attempt, REPLICAS) {
                if !before.contains(&name) {
                    self.queue(name, attempt);
                }
            }
        }
    }

    /// Returns the names of the instances that have copies of an origin, or may have.
    pub fn replicas(&self, attempt: AttemptTag, count: usize) -> Vec<u64> {
        self.replicas.of(attempt, count)
    }

    /// Records copies of another instance: of streams that began, or that were taken up again. They
    /// do not become younger by it, so that instances which start one after another do not keep
    /// them forever. Returns whether one was not known.
    pub fn merge(&mut self, copies: &AgedOrigins, now: MonotonicTime) -> bool {
        let age = Duration::from_secs(copies.age_s);
        let at = MonotonicTime(now.0.saturating_sub(age));
        let mut has_new = false;
        for attempt in copies.news.streams() {
            let known = self.by_attempt.get(&attempt);
            has_new |= known.is_none();
            if known.is_none_or(|known| at.since(known.at) >= REFRESH_AFTER) {
                self.record(attempt, copies.news.origin, false, at);
            }
        }
        has_new
    }

    /// Returns what is known of the stream of an attempt.
    pub fn origin(&self, attempt: AttemptTag, now: MonotonicTime) -> Option<KnownOrigin> {
        let known = self.by_attempt.get(&attempt)?;
        Some(KnownOrigin {
            version: known.origin.version,
            is_own: known.is_own,
            age: now.since(known.at),
        })
    }

    /// Drops attempts whose streams can no longer be taken up: those recorded `retention` ago.
    pub fn sweep(&mut self, retention: Duration, now: MonotonicTime) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) >= retention
        {
            self.drop_oldest();
        }
    }

    /// Returns the copies to be sent now, by the name of the receiver: as many for each as fit into
    /// one datagram.
    pub fn take_copies(&mut self, now: MonotonicTime) -> Vec<(u64, Vec<AgedOrigins>)> {
        let mut taken = Vec::new();
        for (to, waiting) in &mut self.waiting {
            let mut groups: BTreeMap<(u64, Origin), Vec<[u8; 8]>> = BTreeMap::new();
            let count = waiting.len().min(MAX_TOLD);
            self.waiting_count -= count;
            for attempt in waiting.drain(..count) {
                let known = self.by_attempt.get(&attempt);
                let Some(known) = known.filter(|known| !known.is_complete) else {
                    continue;
                };
                let age_s = now.since(known.at).as_secs();
                let group = groups.entry((age_s, known.origin)).or_default();
                group.push(attempt.0.to_le_bytes());
            }
            let copies = groups
                .into_iter()
                .map(|((age_s, origin), attempts)| AgedOrigins {
                    age_s,
                    news: OriginNews { origin, attempts },
                });
            taken.push((*to, copies.collect::<Vec<_>>()));
        }
        self.waiting.retain(|_, waiting| !waiting.is_empty());
        taken.retain(|(_, copies)| !copies.is_empty());
        taken
    }

    /// Returns whether copies wait to be sent.
    pub fn has_copies(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }

    fn queue(&mut self, to: u64, attempt: AttemptTag) {
        if to != self.replicas.own() && self.waiting_count < MAX_WAITING {
            self.waiting.entry(to).or_default().push_back(attempt);
            self.waiting_count += 1;
        }
    }

    /// Records an attempt. The first origin that was recorded stays.
    fn record(&mut self, attempt: AttemptTag, origin: Origin, is_own: bool, now: MonotonicTime) {
        if self.order.len() >= MAX_ATTEMPTS {
            self.drop_oldest();
        }
        let known = self.by_attempt.entry(attempt).or_insert(Known {
            origin,
            at: now,
            is_own,
            is_complete: false,
        });
        known.is_complete = false;
        known.at = now;
        known.is_own |= is_own;
        self.order.push_back((now, attempt));
    }

    fn drop_oldest(&mut self) {
        let Some((at, attempt)) = self.order.pop_front() else {
            return;
        };
        let known = self.by_attempt.get(&attempt);
        if known.is_some_and(|known| known.at <= at) {
            self.by_attempt.remove(&attempt);
        }
    }
}
