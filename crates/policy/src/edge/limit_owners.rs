//! Division of the limits of upstreams among instances.
//!
//! Load pattern: instances join, are replaced and fail while upstreams state limits, and learn of
//! each other at different times. One that joins gets no share until the others know of it. The
//! owners of a limit are chosen so that each other instance then has the same share as before or a
//! smaller one, and that the end of an instance adds at most the share that it had.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::prefixes::rendezvous_weight;

/// Owners per request per second of the limit.
const OWNERS_PER_LIMIT: f64 = 1.5;

/// Owners in addition, so that the loss of one does not end the use of a small limit.
const ADDITIONAL_OWNERS: f64 = 2.0;

/// Time for which the list of instances must have been current before others that look failed lose
/// their shares. Their records are read every 8 s, and those that they wrote while the list was out
/// of date are known only then.
const CURRENT_TIME: Duration = Duration::from_secs(10);

/// Instances among which limits are divided, from the view of one of them. They are identified by
/// the hashes of their names.
#[derive(Debug, Clone)]
pub struct LimitOwners {
    own: u64,
    /// Other instances that run, in ascending order.
    others: Vec<u64>,
    /// Whether the others know of this instance.
    has_joined: bool,
    /// Last time at which the list of instances was not current, and the time of the last update.
    outdated_at: MonotonicTime,
    updated_at: MonotonicTime,
}

impl LimitOwners {
    /// Creates the view of an instance that knows no others yet.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            others: Vec::new(),
            has_joined: false,
            outdated_at: MonotonicTime::default(),
            updated_at: MonotonicTime::default(),
        }
    }

    /// Sets the other instances that run, and whether they know of this one. Those known before count
    /// until the list of instances has been current for long enough, as `is_current` states for now.
    /// Returns whether shares may have changed.
    pub fn update(
        &mut self,
        mut others: Vec<u64>,
        is_current: bool,
        has_joined: bool,
        now: MonotonicTime,
    ) -> bool {
        // A process that stood still has read nothing meanwhile.
        let stood_still = now.since(self.updated_at) >= CURRENT_TIME;
        self.updated_at = now;
        if !is_current || stood_still {
            self.outdated_at = now;
        }
        if now.since(self.outdated_at) < CURRENT_TIME {
            others.extend_from_slice(&self.others);
        }
        others.sort_unstable();
        others.dedup();
        let is_changed = self.others != others || self.has_joined != has_joined;
        self.others = others;
        self.has_joined = has_joined;
        is_changed
    }

    /// Returns this instance's share of a limit of the upstream with the hash `upstream`, in
    /// requests per second. The shares of all instances add up to the limit at most.
    pub fn share(&self, upstream: u64, limit_per_s: f64) -> f64 {
        let owners = (OWNERS_PER_LIMIT * limit_per_s + ADDITIONAL_OWNERS) as usize;
        let owners = owners.clamp(1, self.count());
        if self.has_joined && self.rank(upstream) < owners {
            limit_per_s / owners as f64
        } else {
            0.0
        }
    }

    /// Returns the number of instances, including this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the number of instances that come before this one in the order for the upstream with
    /// the hash `upstream`.
    pub fn rank(&self, upstream: u64) -> usize {
        let own_weight = rendezvous_weight(upstream, self.own, 1.0);
        let others = self.others.iter();
        others
            .filter(|other| rendezvous_weight(upstream, **other, 1.0) > own_weight)
            .count()
    }
}
