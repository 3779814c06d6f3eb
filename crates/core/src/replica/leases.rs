use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::{Epoch, Incarnation, Offset};
use crate::record::{LeaseChange, LeaseClaim, LeaseRole};

/// Leases by role, as decided by the order of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    roles: BTreeMap<LeaseRole, LeaseState>,
}

/// Last accepted state of one lease. Expiry is not part of it: that is judged by the clocks of the
/// holder and of the candidates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseState {
    /// Fencing number: offset of the claim.
    pub epoch: Epoch,
    /// Instance that holds it.
    pub holder: Box<str>,
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Length in milliseconds.
    pub ttl_ms: u64,
    /// Last accepted record of this lease, which the next one must name.
    pub last: Offset,
    /// Whether the holder gave it back.
    pub released: bool,
}

impl Leases {
    /// Last state of the lease of `role`, none before its first claim.
    pub fn get(&self, role: LeaseRole) -> Option<&LeaseState> {
        self.roles.get(&role)
    }

    /// Fencing number under which records of `role` are accepted.
    pub fn current(&self, role: LeaseRole) -> Option<Epoch> {
        self.get(role)
            .filter(|lease| !lease.released)
            .map(|lease| lease.epoch)
    }

    /// All leases that were ever claimed.
    pub fn iter(&self) -> impl Iterator<Item = (LeaseRole, &LeaseState)> {
        self.roles.iter().map(|(role, lease)| (*role, lease))
    }

    pub(super) fn claim(
        &mut self,
        offset: Offset,
        claim: &LeaseClaim,
        any_prev: bool,
    ) -> Result<(), Reason> {
        if claim.prev != self.get(claim.role).map(|lease| lease.last) && !any_prev {
            return Err(Reason::Overtaken);
        }
        let lease = LeaseState {
            epoch: offset.into(),
            holder: claim.holder.clone(),
            incarnation: claim.incarnation,
            ttl_ms: claim.ttl_ms,
            last: offset,
            released: false,
        };
        self.roles.insert(claim.role, lease);
        Ok(())
    }

    pub(super) fn renew(
        &mut self,
        offset: Offset,
        author: &str,
        change: &LeaseChange,
    ) -> Result<(), Reason> {
        self.held(author, change)?.last = offset;
        Ok(())
    }

    pub(super) fn release(
        &mut self,
        offset: Offset,
        author: &str,
        change: &LeaseChange,
    ) -> Result<(), Reason> {
        let lease = self.held(author, change)?;
        lease.last = offset;
        lease.released = true;
        Ok(())
    }

    fn held(&mut self, author: &str, change: &LeaseChange) -> Result<&mut LeaseState, Reason> {
        let lease = self.roles.get_mut(&change.role).ok_or(Reason::Unknown)?;
        if lease.released || lease.epoch != change.epoch {
            return Err(Reason::OldEpoch);
        }
        if *lease.holder != *author {
            return Err(Reason::NotHolder);
        }
        if lease.last != change.prev {
            return Err(Reason::Overtaken);
        }
        Ok(lease)
    }
}
