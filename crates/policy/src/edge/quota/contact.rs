//! Whether an instance may gain tokens as an owner, and take over the parts of others.
//!
//! Load pattern: instances are cut off from the others and from the store for longer than the time
//! after which they are taken for failed. Others own their parts from then on. Of two groups that do
//! not hear each other, at most one hears a majority: only that one takes parts over, and of those
//! whose records are old only that one goes on to gain. An instance that may have lost its parts
//! announces itself again when it hears a majority, since the others read its record only seconds
//! later. After all were killed, each gains as soon as it hears a majority again.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Age of the own record in the store up to which no other instance takes this one for failed. The
/// others do so 20 s after its last record, or later while the store does not answer them.
const SAFE_RECORD_AGE: Duration = Duration::from_secs(10);

/// Time from the first announcement until an instance that hears a majority counts as known to the
/// others: the way of the announcement through a relay. The others update their
/// view every tenth of a second, and lose no more than the gain of that time.
const ANNOUNCE_TIME: Duration = Duration::from_millis(150);

/// Time for which others count as heard. An instance whose relay has ended hears nobody until it
/// has found another one.
const HEARD_TIME: Duration = Duration::from_secs(3);

/// Time for which an instance must have heard a majority, and its list of instances must have been
/// current, before others that look failed lose their parts. The records of instances are read every
/// 8 s, so those that were written meanwhile are known only then.
const CURRENT_TIME: Duration = Duration::from_secs(10);

/// Time after which instances that hear no majority take over the parts of others that look failed.
const MINORITY_TIME: Duration = Duration::from_mins(1);

/// What an instance knows of its contact to the others.
#[derive(Debug, Clone, Copy)]
pub struct ContactReport {
    /// Time since this instance first announced itself, if it has.
    pub announced_for: Option<Duration>,
    /// Whether it did so long enough ago that the others know of it in any case.
    pub has_joined: bool,
    /// Age of the own record in the store.
    pub record_age: Duration,
    /// Whether the known list of instances is current.
    pub is_current: bool,
    /// Number of other instances that are heard.
    pub heard: usize,
    /// Number of other instances considered to run.
    pub known: usize,
}

/// Contact of an instance to the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    heard: usize,
    heard_at: MonotonicTime,
    /// Last times at which it heard a majority, and none.
    majority_at: MonotonicTime,
    minority_at: MonotonicTime,
    /// Last time at which the list of instances was not current.
    outdated_at: MonotonicTime,
    updated_at: MonotonicTime,
    /// Whether others may have taken this instance for failed.
    may_be_dropped: bool,
    has_joined: bool,
    has_met_others: bool,
}

impl Contact {
    /// Records the contact at `now`. Returns whether this instance must announce itself as if it had
    /// just started.
    pub fn update(&mut self, report: ContactReport, now: MonotonicTime) -> bool {
        let stood_still = now.since(self.updated_at) > SAFE_RECORD_AGE;
        self.updated_at = now;
        if !report.is_current || stood_still {
            self.outdated_at = now;
        }
        if report.heard >= self.heard || now.since(self.heard_at) >= HEARD_TIME {
            (self.heard, self.heard_at) = (report.heard, now);
        }
        let has_majority = 2 * (self.heard + 1) > report.known + 1;
        if has_majority {
            self.majority_at = now;
        } else {
            self.minority_at = now;
        }
        let is_safe = report.record_age <= SAFE_RECORD_AGE;
        self.may_be_dropped |= stood_still || (!is_safe && !has_majority);
        if self.may_be_dropped {
            self.has_joined = false;
            // What is heard right after a standstill may be from before it.
            self.may_be_dropped = stood_still || !has_majority;
            return !self.may_be_dropped && report.announced_for.is_some();
        }
        let is_announced = report
            .announced_for
            .is_some_and(|since| since >= ANNOUNCE_TIME);
        // An instance that hears more than it knows has not read all records yet.
        let knows_all = report.known >= report.heard;
        self.has_joined =
            report.has_joined || (is_announced && has_majority && knows_all && report.heard > 0);
        self.has_met_others |= self.has_joined;
        false
    }

    /// Returns whether the others know of this instance, so that it gains tokens as an owner.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Returns whether this instance has joined since its start, so that it knows how many others there
    /// are, also if it is cut off now.
    pub fn has_met_others(&self) -> bool {
        self.has_met_others
    }

    /// Returns whether others that look failed no longer count as owners.
    pub fn may_take_over(&self, now: MonotonicTime) -> bool {
        let has_majority = now.since(self.minority_at) >= CURRENT_TIME;
        let is_alone = now.since(self.majority_at) >= MINORITY_TIME;
        now.since(self.outdated_at) >= CURRENT_TIME && (has_majority || is_alone)
    }
}
