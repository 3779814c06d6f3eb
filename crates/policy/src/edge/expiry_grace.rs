//! Grace time in which an upstream is used although its entry vanished from the list of instances.
//!
//! Load pattern: the store, or the network path to it, is unavailable for some seconds. Entries of
//! upstreams that could not renew them expire, and are back within two seconds after the store's
//! return. An entry that an upstream removes because it leaves must not be treated as expired.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Minimum length of an outage in which entries can expire: their writers miss three heartbeats
/// first.
const MIN_EXPIRING_OUTAGE: Duration = Duration::from_secs(2);

/// Time after the store's return within which the writers of expired entries renew them.
const GRACE: Duration = Duration::from_millis(1_900);

/// Time before the end of the contact bound by which the grace ends: a request that was sent on just
/// before has reached its upstream by then.
const CONTACT_MARGIN: Duration = Duration::from_millis(200);

/// Maximum grace time of an entry that the first list after the return still contained. It was
/// removed after the outage, probably because its upstream leaves.
const LATER_GRACE: Duration = Duration::from_millis(700);

/// Last outage of the store, as seen from reads of the list of instances.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpiryGrace {
    /// End of the grace after the last outage that was long enough for entries to expire.
    end: Option<MonotonicTime>,
    /// Start of the last read that failed in the current outage. The store was away then.
    failed_at: Option<MonotonicTime>,
    /// Whether the newest list is that first one.
    is_first_list: bool,
}

impl ExpiryGrace {
    /// Records that a read of the list failed that began at `began`.
    pub fn record_failure(&mut self, began: MonotonicTime) {
        self.failed_at = Some(began);
    }

    /// Records that the list was read at `now`. `outage` is the time for which the store was
    /// unavailable before, or `None` if the previous read succeeded. `is_restored` is true for the
    /// first list after the store was restored from a copy, which lacks newer entries. `contact` is
    /// the operator's bound for the time from the end of an outage until an instance that was cut
    /// off has to keep to the list again.
    pub fn record_list(
        &mut self,
        now: MonotonicTime,
        outage: Option<Duration>,
        is_restored: bool,
        contact: Duration,
    ) {
        let can_expire = outage.is_some_and(|outage| outage >= MIN_EXPIRING_OUTAGE);
        let failed_at = self.failed_at.take();
        self.is_first_list = can_expire || is_restored;
        if self.is_first_list {
            let in_contact = contact.saturating_sub(CONTACT_MARGIN);
            let bound = failed_at.map(|at| at.plus(in_contact));
            let end = now.plus(GRACE);
            self.end = Some(bound.map_or(end, |bound| bound.min(end)));
        }
    }

    /// Returns the time until which an upstream is still used if the list read at `now` shows its
    /// entry as removed, or `None` if the upstream is removed at once.
    pub fn usable_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let end = self.end?;
        let until = if self.is_first_list {
            end
        } else {
            end.min(now.plus(LATER_GRACE))
        };
        (now < until).then_some(until)
    }
}
