//! How long an upstream is used whose entry vanished from the list of instances.
//!
//! Load pattern: the store, or the way to it, is away for some seconds. Entries of upstreams that
//! could not renew them lapse and are back within two seconds of its return; an entry that an
//! upstream removes because it leaves must not be taken for one of these.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Shortest outage in which entries can lapse: their writers miss three heartbeats first.
const LAPSING_OUTAGE: Duration = Duration::from_secs(2);

/// Time after the store's return within which entries that lapsed come back.
const GRACE: Duration = Duration::from_millis(1_900);

/// The same for an entry whose removal was not in the first list after the return: it was removed
/// since, probably because its upstream leaves.
const LATER_GRACE: Duration = Duration::from_millis(700);

/// What is known of the last outage.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lapse {
    returned: Option<MonotonicTime>,
    is_first_list: bool,
}

impl Lapse {
    /// Notes a list that was read at `now` after the store had been away for `away`; none where the
    /// read before had been answered.
    pub fn listed(&mut self, now: MonotonicTime, away: Option<Duration>) {
        self.is_first_list = away.is_some_and(|away| away >= LAPSING_OUTAGE);
        if self.is_first_list {
            self.returned = Some(now);
        }
    }

    /// Until when an upstream is used whose entry the list read at `now` shows as removed; none where
    /// it is gone.
    pub fn until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let end = self.returned?.plus(GRACE);
        let until = if self.is_first_list {
            end
        } else {
            end.min(now.plus(LATER_GRACE))
        };
        (now < until).then_some(until)
    }
}
