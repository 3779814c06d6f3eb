//! Choice of the instances that keep copies of a stream's origin.
//!
//! Load pattern: the instance that carries some streams is killed, stands still or is cut off, and
//! their callers take them up at any other instance. Telling all instances of each stream costs more
//! than an instance may spend at several hundred of them. The copies go to a few instances, which
//! all derive from the attempt, so that the one that needs an origin knows whom to ask.

use super::prefixes::mix;
use super::stream_origins::AttemptTag;

/// Number of instances that keep a copy.
pub const REPLICAS: usize = 3;

/// Number of instances that are asked for a copy. An instance that joined after the stream began
/// takes the place of one that has a copy.
pub const ASKED_REPLICAS: usize = REPLICAS + 1;

/// Instance that may keep copies, given by the hash of its name and that of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaMember {
    /// Failure domain.
    pub domain: u64,
    /// Name.
    pub name: u64,
}

/// Instances that run, from the view of one of them.
#[derive(Debug, Clone, Default)]
pub struct OriginReplicas {
    /// Name of this instance.
    own: u64,
    /// All instances that may keep copies, by failure domain.
    members: Vec<ReplicaMember>,
    /// Whether this instance is about to end and keeps no more copies.
    is_leaving: bool,
}

impl OriginReplicas {
    /// Sets the instances that run. Returns the names of the others that were not known before.
    pub fn update(
        &mut self,
        own: ReplicaMember,
        others: impl IntoIterator<Item = ReplicaMember>,
    ) -> Vec<u64> {
        self.own = own.name;
        let own = (!self.is_leaving).then_some(own);
        let mut members: Vec<_> = others.into_iter().chain(own).collect();
        members.sort_unstable();
        members.dedup();
        let known = std::mem::replace(&mut self.members, members);
        let is_new = |name: u64| name != self.own && known.iter().all(|known| known.name != name);
        let names = self.members.iter().map(|member| member.name);
        names.filter(|name| is_new(*name)).collect()
    }

    /// Makes this instance keep no copies from now on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.members.retain(|member| member.name != self.own);
    }

    /// Returns the first `count` instances for an attempt: the highest ranked one of each failure
    /// domain before the second one of any.
    pub fn of(&self, attempt: AttemptTag, count: usize) -> Vec<u64> {
        let mut ranked: Vec<(usize, u64, u64)> = Vec::new();
        for domain in self.members.chunk_by(|a, b| a.domain == b.domain) {
            let mut first: Vec<(u64, u64)> = Vec::with_capacity(count + 1);
            for member in domain {
                let weight = mix(attempt.0 ^ mix(member.name));
                let at = first.partition_point(|(other, _)| *other >= weight);
                if at < count {
                    first.insert(at, (weight, member.name));
                    first.truncate(count);
                }
            }
            let by_rank = first.into_iter().enumerate();
            ranked.extend(by_rank.map(|(rank, (weight, name))| (rank, u64::MAX - weight, name)));
        }
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, _, name)| name).collect()
    }

    /// Name of this instance.
    pub fn own(&self) -> u64 {
        self.own
    }
}
