//! Instances tell each other where they have sent work.
//!
//! Load pattern: many instances choose among the same upstreams, and the rate of requests doubles
//! within a tenth of a second. What answers say of an upstream's load is a hundred milliseconds old
//! and comes to one instance among thirty about once a second, while a queue lasts a tenth of one: all
//! of them would choose the upstream that looked idle, and none would know that another one has just
//! had the shared part of a prompt read elsewhere.
//!
//! The instances that read the store for others (see [`super::relay`]) pass digests on: each other
//! instance tells its relay of its own work, relays tell each other of their group's, and each
//! instance hears from its relay of the work of all others. The number of digests grows with the
//! number of instances and not with its square.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

use super::read_rate::ReadTimes;
use super::urgency::ByUrgency;

/// Least time between two digests to the same instance. In 5 ms a burst of 1,500 requests a second
/// brings eight; with 20 ms, instances that choose at once meet at the same upstreams.
const LEAST_SPACING: Duration = Duration::from_millis(5);

/// Least time between two digests for each instance. A digest grows with the number of instances, and
/// the number of those that it is passed on to as well; with one spacing at all sizes, 300 instances
/// exchanged a megabyte a second each.
const SPACING_PER_INSTANCE: Duration = Duration::from_micros(160);

/// Longest such time: three digests in the time for which one counts.
const LONGEST_SPACING: Duration = Duration::from_millis(130);

/// Age from which a digest no longer counts. Digests come every few tens of milliseconds; queues that one
/// of them describes are gone by then.
const KEPT_FOR: Duration = Duration::from_millis(400);

/// Upstreams that one digest names at most, those with the most work first, so that it fits into one
/// packet.
const MOST_UPSTREAMS: usize = 140;

/// Uses of prompt parts that one digest names at most.
const MOST_USES: usize = 60;

/// Upstreams whose places are remembered, gone ones included; then all begins anew.
const MOST_TAGS: usize = 4_096;

/// Work at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Milliseconds of work that shows no result yet, by urgency.
    pub pending_ms: ByUrgency<u32>,
    /// Requests.
    pub requests: u32,
    /// Long streams among them.
    pub streams: u32,
}

/// A prompt part that was used at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUse {
    /// Part.
    pub part: u64,
    /// Tag of the upstream.
    pub upstream: u32,
}

/// Whose work a digest describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender's own.
    Own,
    /// That of a relay and of those that follow it.
    Group,
    /// That of all instances but the receiver.
    Others,
}

/// Least time between two digests to the same instance where `instances` run.
pub fn spacing(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let spacing = SPACING_PER_INSTANCE.saturating_mul(instances);
    spacing.clamp(LEAST_SPACING, LONGEST_SPACING)
}

/// What one instance tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Whose work it is.
    pub scope: Scope,
    /// Instances that it sums up.
    pub instances: u32,
    /// Work by tag of the upstream. An upstream that is not named has none.
    pub work: Vec<(u32, Work)>,
    /// Prompt parts that were used since the last digest.
    pub uses: Vec<PartUse>,
    /// Times of reading that the sender knows, by tag of the service.
    pub reads: Vec<(u32, ReadTimes)>,
}

/// Part that an instance takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role<K> {
    /// It passes digests on, as the given other ones do.
    Relay(Vec<K>),
    /// It follows a relay.
    Follower(K),
}

/// Work of other instances, as one of them knows it.
#[derive(Debug)]
pub struct Exchange<K> {
    role: Option<Role<K>>,
    received: BTreeMap<K, Received>,
    /// Place of each upstream in the sums, by its tag.
    places: HashMap<u32, usize>,
    tags: Vec<u32>,
    /// Work of all other instances.
    all: Sum,
    /// Work of those that follow this one.
    followers: Sum,
    /// Uses that are to be shared, with the instance that sent them and the scope of its digest; none for own ones.
    uses: Vec<(Option<(K, Scope)>, PartUse)>,
}

/// Work of several instances, by place of the upstream.
#[derive(Debug, Clone, Default)]
struct Sum {
    instances: u32,
    work: Vec<Work>,
}

#[derive(Debug)]
struct Received {
    at: MonotonicTime,
    scope: Scope,
    instances: u32,
    work: Vec<(usize, Work)>,
}

impl<K> Default for Exchange<K> {
    fn default() -> Self {
        Self {
            role: None,
            received: BTreeMap::new(),
            places: HashMap::new(),
            tags: Vec::new(),
            all: Sum::default(),
            followers: Sum::default(),
            uses: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Ord> Exchange<K> {
    /// Takes a part. What was received in another part is dropped, since it would count twice.
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

    /// Whether this instance passes digests on.
    pub fn passes_on(&self) -> bool {
        matches!(self.role, Some(Role::Relay(_)))
    }

    /// Notes a digest. Returns whether it counts in the part that this instance takes.
    pub fn received(&mut self, from: K, digest: &Digest, now: MonotonicTime) -> bool {
        let counts = match (&self.role, digest.scope) {
            (Some(Role::Relay(_)), Scope::Own) => true,
            (Some(Role::Relay(others)), Scope::Group) => others.contains(&from),
            (Some(Role::Follower(relay)), Scope::Others) => *relay == from,
            _ => false,
        };
        if !counts {
            return false;
        }
        if self.passes_on() {
            let shared = digest
                .uses
                .iter()
                .map(|part| (Some((from, digest.scope)), *part));
            self.uses.extend(shared);
        }
        let placed = self.placed(&digest.work);
        self.forget(from);
        let received = Received {
            at: now,
            scope: digest.scope,
            instances: digest.instances,
            work: placed,
        };
        self.all.add(&received);
        if received.scope == Scope::Own {
            self.followers.add(&received);
        }
        self.received.insert(from, received);
        true
    }

    /// Notes that this instance has a prompt part used at an upstream.
    pub fn used(&mut self, part: PartUse) {
        if self.role.is_some() {
            self.uses.push((None, part));
        }
    }

    /// Drops digests that are too old.
    pub fn sweep(&mut self, now: MonotonicTime) {
        let is_old = |(from, received): (&K, &Received)| {
            (now.since(received.at) >= KEPT_FOR).then_some(*from)
        };
        let old: Vec<K> = self.received.iter().filter_map(is_old).collect();
        for from in old {
            self.forget(from);
        }
        if self.tags.len() > MOST_TAGS {
            *self = Self {
                role: self.role.take(),
                ..Self::default()
            };
        }
    }

    /// Digests to send now, where `own` is the work of this instance.
    pub fn digests(&mut self, own: &[(u32, Work)]) -> Vec<(K, Digest)> {
        let own = Received {
            at: MonotonicTime::default(),
            scope: Scope::Own,
            instances: 1,
            work: self.placed(own),
        };
        let uses = std::mem::take(&mut self.uses);
        match &self.role {
            None => Vec::new(),
            Some(Role::Follower(relay)) => {
                let mut sum = Sum::default();
                sum.add(&own);
                vec![(
                    *relay,
                    self.digest(Scope::Own, &sum, chosen(&uses, |_| true)),
                )]
            }
            Some(Role::Relay(others)) => {
                let mut group = self.followers.clone();
                group.add(&own);
                let of_members = chosen(&uses, |from| {
                    from.is_none_or(|(_, scope)| scope != Scope::Group)
                });
                let of_group = self.digest(Scope::Group, &group, of_members);
                let to_relays = others.iter().map(|other| (*other, of_group.clone()));
                let mut all = self.all.clone();
                all.add(&own);
                let followers = self
                    .received
                    .iter()
                    .filter(|(_, received)| received.scope == Scope::Own);
                let to_followers = followers.map(|(follower, received)| {
                    let mut rest = all.clone();
                    rest.subtract(received);
                    let of_others =
                        chosen(&uses, |from| from.is_none_or(|(from, _)| from != *follower));
                    (*follower, self.digest(Scope::Others, &rest, of_others))
                });
                to_relays.chain(to_followers).collect()
            }
        }
    }

    /// Other instances whose work is known.
    pub fn instances(&self) -> u32 {
        self.all.instances
    }

    /// Work of other instances at an upstream.
    pub fn work(&self, upstream: u32) -> Work {
        let place = self.places.get(&upstream);
        let work = place.and_then(|place| self.all.work.get(*place));
        work.copied().unwrap_or_default()
    }

    fn forget(&mut self, from: K) {
        let Some(received) = self.received.remove(&from) else {
            return;
        };
        self.all.subtract(&received);
        if received.scope == Scope::Own {
            self.followers.subtract(&received);
        }
    }

    fn placed(&mut self, work: &[(u32, Work)]) -> Vec<(usize, Work)> {
        let Self { places, tags, .. } = self;
        let place = |(tag, work): &(u32, Work)| {
            let place = *places.entry(*tag).or_insert_with(|| {
                tags.push(*tag);
                tags.len() - 1
            });
            (place, *work)
        };
        work.iter().map(place).collect()
    }

    fn digest(&self, scope: Scope, sum: &Sum, uses: Vec<PartUse>) -> Digest {
        let named = self.tags.iter().zip(&sum.work);
        let mut work: Vec<_> = named
            .filter(|(_, work)| **work != Work::default())
            .map(|(tag, work)| (*tag, *work))
            .collect();
        if work.len() > MOST_UPSTREAMS {
            work.sort_unstable_by_key(|(_, work)| {
                std::cmp::Reverse(work.pending_ms.all().map(u64::from).sum::<u64>())
            });
            work.truncate(MOST_UPSTREAMS);
        }
        Digest {
            scope,
            instances: sum.instances,
            work,
            uses,
            reads: Vec::new(),
        }
    }
}

impl Sum {
    fn add(&mut self, received: &Received) {
        self.instances = self.instances.saturating_add(received.instances);
        self.apply(received, u32::saturating_add);
    }

    fn subtract(&mut self, received: &Received) {
        self.instances = self.instances.saturating_sub(received.instances);
        self.apply(received, u32::saturating_sub);
    }

    fn apply(&mut self, received: &Received, change: fn(u32, u32) -> u32) {
        for (place, work) in &received.work {
            if self.work.len() <= *place {
                self.work.resize(*place + 1, Work::default());
            }
            let sum = &mut self.work[*place];
            sum.pending_ms.zip_with(&work.pending_ms, change);
            sum.requests = change(sum.requests, work.requests);
            sum.streams = change(sum.streams, work.streams);
        }
    }
}

/// Chooses uses by where they were received.
fn chosen<K: Copy>(
    uses: &[(Option<(K, Scope)>, PartUse)],
    is_chosen: impl Fn(Option<(K, Scope)>) -> bool,
) -> Vec<PartUse> {
    let chosen = uses.iter().filter(|(from, _)| is_chosen(*from));
    chosen.map(|(_, part)| *part).take(MOST_USES).collect()
}
