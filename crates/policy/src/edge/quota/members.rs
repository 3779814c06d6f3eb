//! Owners of each account among the instances that run.

use super::MAX_OWNERS;
use crate::edge::prefixes::rendezvous_weight;

/// Instances among which quotas are divided, from the view of one of them. They are identified by
/// the hashes of their names.
#[derive(Debug, Clone)]
pub struct QuotaMembers {
    own: u64,
    /// Other instances that run, in ascending order.
    others: Vec<u64>,
}

/// Owners of an account, in no particular order. Their number is the number of parts into which its
/// quota is divided.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerSet(Vec<u64>);

impl OwnerSet {
    /// Returns the owners.
    pub fn as_slice(&self) -> &[u64] {
        &self.0
    }
}

impl QuotaMembers {
    /// Creates the view of an instance that knows no others yet.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            others: Vec::new(),
        }
    }

    /// Returns the hash of the own name.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Returns the number of other instances.
    pub fn other_count(&self) -> usize {
        self.others.len()
    }

    /// Sets the other instances that run. Without `is_complete`, those known before still count:
    /// instances that cannot write their records look failed. Returns whether there was a change.
    pub fn update(&mut self, mut others: Vec<u64>, is_complete: bool) -> bool {
        if !is_complete {
            others.extend_from_slice(&self.others);
        }
        others.retain(|other| *other != self.own);
        others.sort_unstable();
        others.dedup();
        let is_changed = self.others != others;
        self.others = others;
        is_changed
    }

    /// Returns the owners of an account, given the hash of its name: the first instances in an order
    /// that all instances derive from their names.
    pub fn owners(&self, account: u64) -> OwnerSet {
        let mut first: Vec<(f64, u64)> = Vec::with_capacity(MAX_OWNERS + 1);
        for member in self.others.iter().copied().chain([self.own]) {
            let weight = rendezvous_weight(account, member, 1.0);
            let at = first.partition_point(|(other, _)| *other >= weight);
            if at < MAX_OWNERS {
                first.insert(at, (weight, member));
                first.truncate(MAX_OWNERS);
            }
        }
        OwnerSet(first.into_iter().map(|(_, member)| member).collect())
    }
}
