use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::{Epoch, Incarnation, Offset};
use crate::record::{LeaseChange, LeaseClaim, LeaseRole};

/// Last accepted state of each lease.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    roles: BTreeMap<LeaseRole, LeaseState>,
}

/// Last accepted state of one lease. Replay has no clock, so expiry is not part of it: the holder
/// and the candidates measure it by their own clocks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseState {
    /// Fencing number: offset of the accepted claim.
    pub epoch: Epoch,
    /// Instance that holds the lease.
    pub holder: Box<str>,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Length of the lease in milliseconds.
    pub ttl_ms: u64,
    /// Last accepted record of this lease, which the next one must name in `prev`.
    pub last: Offset,
    /// Whether the holder released it.
    pub released: bool,
}

impl Leases {
    /// Last state of the lease of `role`, `None` before its first claim.
    pub fn get(&self, role: LeaseRole) -> Option<&LeaseState> {
        self.roles.get(&role)
    }

    /// Fencing number under which records of `role` are accepted, `None` if the lease was released
    /// or never claimed.
    pub fn current(&self, role: LeaseRole) -> Option<Epoch> {
        self.get(role)
            .filter(|lease| !lease.released)
            .map(|lease| lease.epoch)
    }

    /// All leases that were ever claimed, including released ones.
    pub fn iter(&self) -> impl Iterator<Item = (LeaseRole, &LeaseState)> {
        self.roles.iter().map(|(role, lease)| (*role, lease))
    }

    pub(super) fn claim(
        &mut self,
        offset: Offset,
        claim: &LeaseClaim,
        ignore_prev: bool,
    ) -> Result<(), RejectReason> {
        if claim.prev != self.get(claim.role).map(|lease| lease.last) && !ignore_prev {
            return Err(RejectReason::Overtaken);
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
    ) -> Result<(), RejectReason> {
        self.held_lease(author, change)?.last = offset;
        Ok(())
    }

    pub(super) fn release(
        &mut self,
        offset: Offset,
        author: &str,
        change: &LeaseChange,
    ) -> Result<(), RejectReason> {
        let lease = self.held_lease(author, change)?;
        lease.last = offset;
        lease.released = true;
        Ok(())
    }

    fn held_lease(
        &mut self,
        author: &str,
        change: &LeaseChange,
    ) -> Result<&mut LeaseState, RejectReason> {
        let lease = self
            .roles
            .get_mut(&change.role)
            .ok_or(RejectReason::Unknown)?;
        if lease.released || lease.epoch != change.epoch {
            return Err(RejectReason::OldEpoch);
        }
        if *lease.holder != *author {
            return Err(RejectReason::NotHolder);
        }
        if lease.last != change.prev {
            return Err(RejectReason::Overtaken);
        }
        Ok(lease)
    }
}
