//! Versions of a service's software with which a stream that can still be taken up may have begun.
//!
//! Load pattern: during a release, upstreams of several versions serve side by side. What two
//! versions write does not fit together, so a stream continues only at the version that began it.
//! An instance that has just started does not know with which version a stream began that another
//! instance carried. If one version alone has served since before the oldest such stream, the
//! stream is of that version; if there were more, it must not be continued on a guess. How long a
//! stream may be taken up depends on its caller alone, which states how long it waits.
//!
//! A version that is listed has begun no stream yet. It is in use once the store says so, which is
//! written before the first stream begins there; so a version that the store does not name is proved
//! to have begun none.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Maximum number of versions of one service that are remembered. Beyond it, the one that has been
/// out of use for the longest time is dropped, which would be dropped before the others anyway, and
/// one that is only listed before those in use.
const MAX_VERSIONS: usize = 16;

/// Number of steps in which the age of a version that is out of use is written to the store.
const AGE_STEPS: u32 = 2;

/// Maximum difference between the times at which two instances see a change of the list.
const MAX_LIST_LAG: Duration = Duration::from_secs(4);

/// Maximum time after the start of an instance for which it takes no new version into use: instances
/// that were killed with it may have carried streams which only the versions before can have begun.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// Longest time for which a caller is expected to wait. A caller that states a longer one must not
/// keep a version known forever.
pub const MAX_CALLER_WAIT: Duration = Duration::from_hours(24);

/// Bounds on the time for which a stream may be taken up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TakeUpBounds {
    /// Time for which an upstream gets requests after its entry was removed.
    pub drain: Duration,
    /// Longest time for which the answer to one attempt lasts.
    pub timeout: Duration,
    /// Longest time for which a caller has stated to wait, from its first attempt on. `None` before
    /// the first request.
    pub caller_wait: Option<Duration>,
}

impl TakeUpBounds {
    /// Returns the time after the last listing of an upstream until a stream that it began can no
    /// longer be taken up. A caller comes back until its own time is over, however short the answers
    /// are. As long as no caller has stated its time, there is no bound.
    pub fn retention(&self) -> Duration {
        let Some(caller_wait) = self.caller_wait else {
            return Duration::MAX;
        };
        let wait = caller_wait.max(self.timeout.saturating_mul(2));
        self.drain.saturating_add(wait)
    }
}

/// Version of an upstream's software. It is only compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionTag(pub u32);

/// What shows whether a connection leads to the start of an upstream that its entry describes, and
/// so to the version in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartEvidence {
    /// Start in the entry, in milliseconds since 1970.
    pub listed_ms: Option<u64>,
    /// Start that the upstream reports on the connection.
    pub reported_ms: Option<u64>,
    /// Whether the start in the entry is known to have ended.
    pub has_ended: bool,
    /// Whether the stream goes on there. One that begins may do so at any version.
    pub goes_on: bool,
}

/// Conclusion from [`StartEvidence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// It is the one in the entry.
    Proved,
    /// Nothing shows that it is another one, and little depends on it.
    Assumed,
    /// Nothing shows which one it is. The list has to be read again.
    Unknown,
    /// It is another one.
    Other,
}

impl StartEvidence {
    /// Returns the conclusion.
    pub fn verdict(&self) -> StartVerdict {
        match (self.listed_ms, self.reported_ms) {
            (Some(listed), Some(reported)) if listed == reported => StartVerdict::Proved,
            (Some(_), Some(_)) => StartVerdict::Other,
            _ if self.has_ended => StartVerdict::Other,
            _ if self.goes_on => StartVerdict::Unknown,
            _ => StartVerdict::Assumed,
        }
    }
}

/// Version of a service's software as written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// Version.
    pub version: VersionTag,
    /// Time for which it had been out of use when it was written, in milliseconds.
    pub unused_ms: u64,
}

/// Versions of one service's software that were in use recently.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    versions: Vec<Known>,
    /// Versions that have been out of use for long enough, to be removed from the store.
    dropped: Vec<Known>,
    /// Time from which on the list of upstreams has been current without a gap.
    current_from: Option<MonotonicTime>,
    /// Whether the versions from before that time are known too.
    knows_earlier: bool,
    /// Whether the list has been current for the whole retention, so that nothing from before
    /// matters.
    is_observed: bool,
    /// Time of the first list.
    listed_since: Option<MonotonicTime>,
    /// Time of the last list.
    listed_at: Option<MonotonicTime>,
    /// Whether the store had versions, or may have had some, when it was first read.
    had_earlier: Option<bool>,
    /// Start of the last read of all versions in use from the store.
    read_at: Option<MonotonicTime>,
    /// Whether the listed versions are to be taken into use at once.
    is_wanted: bool,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    version: VersionTag,
    at: MonotonicTime,
    /// Time for which the version had been out of use at `at`.
    unused: Duration,
    /// Whether streams may have begun at the version. If not, it is only listed.
    is_in_use: bool,
}

impl Known {
    fn unused(&self, now: MonotonicTime) -> Duration {
        self.unused.saturating_add(now.since(self.at))
    }

    fn stored(&self, now: MonotonicTime) -> StoredVersion {
        StoredVersion {
            version: self.version,
            unused_ms: u64::try_from(self.unused(now).as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl VersionHistory {
    /// Records the versions of all upstreams that this instance may use. `is_current` states
    /// whether the list of upstreams is current; other instances may use upstreams that a list
    /// lacks which is not. Returns whether one of the versions is new.
    pub fn record_listed(
        &mut self,
        listed: impl IntoIterator<Item = VersionTag>,
        is_current: bool,
        now: MonotonicTime,
    ) -> bool {
        if is_current {
            self.current_from.get_or_insert(now);
            self.listed_since.get_or_insert(now);
        } else {
            self.record_gap();
        }
        self.listed_at = Some(now);
        let mut has_new = false;
        for version in listed {
            has_new |= self.record_entry(version, now);
        }
        if is_current {
            // Nothing keeps streams from beginning at a version that is not held.
            let held: Vec<_> = self.held().collect();
            for known in &mut self.versions {
                known.is_in_use |= !held.contains(&known.version);
            }
        }
        has_new
    }

    /// Records that an entry of the list names a version. Returns whether the version is new.
    pub fn record_entry(&mut self, version: VersionTag, now: MonotonicTime) -> bool {
        self.record(Known {
            version,
            at: now,
            unused: Duration::ZERO,
            is_in_use: false,
        })
    }

    /// Records that a stream began or went on at an upstream of this version, here or at another
    /// instance. Returns whether the version is new.
    pub fn record_used(&mut self, version: VersionTag, now: MonotonicTime) -> bool {
        self.record(Known {
            version,
            at: now,
            unused: Duration::ZERO,
            is_in_use: true,
        })
    }

    /// Records that the store names these versions as in use.
    pub fn record_written(&mut self, written: &[StoredVersion]) {
        for known in &mut self.versions {
            known.is_in_use |= written.iter().any(|s| s.version == known.version);
        }
    }

    /// Records the versions in the store, as read at `as_of` or later. `is_complete` is false if
    /// the store may have lost some, so that they hold but others may be missing. If the earlier
    /// versions are known, it tells only which others are in use.
    pub fn record_earlier(
        &mut self,
        earlier: &[StoredVersion],
        is_complete: bool,
        as_of: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.had_earlier
            .get_or_insert(!is_complete || !earlier.is_empty());
        if is_complete {
            self.read_at = Some(as_of);
        }
        if self.knows_earlier {
            self.record_written(earlier);
            let is_missing = |s: &&StoredVersion| {
                let mut known = self.versions.iter().chain(&self.dropped);
                known.all(|known| known.version != s.version)
            };
            let missing: Vec<_> = earlier.iter().filter(is_missing).copied().collect();
            self.record_told(&missing, now);
            return;
        }
        self.record_told(earlier, now);
        self.knows_earlier = is_complete && self.current_from.is_some_and(|from| from <= as_of);
    }

    /// Drops versions that have been out of use for `retention`: the longest time from the last
    /// listing of an upstream of a version until the streams that it began can no longer be taken
    /// up.
    pub fn sweep(&mut self, retention: Duration, now: MonotonicTime) {
        let kept_for = retention.saturating_mul(2);
        self.dropped.retain(|known| known.unused(now) < kept_for);
        let dropped = self
            .versions
            .extract_if(.., |known| known.unused(now) >= retention);
        // Others may have taken into use what was only listed here.
        self.dropped.extend(dropped.filter(|known| known.is_in_use));
        // The retention may have grown since the last call.
        let has_held = self.held().next().is_some();
        self.is_wanted &= has_held;
        let observed_from = self.current_from;
        self.is_observed = observed_from.is_some_and(|from| now.since(from) >= retention);
    }

    /// Returns the version with which every stream began that could be taken up when the list was
    /// read, or `None` if there may be several.
    pub fn only(&self) -> Option<VersionTag> {
        if !self.is_complete() {
            return None;
        }
        let mut in_use = self.in_use();
        match (&self.versions[..], in_use.next(), in_use.next()) {
            ([known], _, _) | (_, Some(known), None) => Some(known.version),
            _ => None,
        }
    }

    /// Returns the version with which a stream began that was taken up at `taken_up_at`, if it is
    /// proved to be the only one. The list was last read at `list_read_at`: upstreams of another
    /// version may have joined and begun the stream since, also while this process was paused. Where
    /// others are listed, the store has to be read instead, which names those in use.
    pub fn proved(
        &self,
        list_read_at: Option<MonotonicTime>,
        taken_up_at: MonotonicTime,
    ) -> Option<VersionTag> {
        let read_at = if self.has_several() {
            self.read_at
        } else {
            list_read_at
        };
        self.only().filter(|_| read_at >= Some(taken_up_at))
    }

    /// Returns the start of the last read of all versions in use from the store.
    pub fn read_at(&self) -> Option<MonotonicTime> {
        self.read_at
    }

    fn in_use(&self) -> impl Iterator<Item = &Known> {
        self.versions.iter().filter(|known| known.is_in_use)
    }

    /// Returns whether several versions are in use.
    pub fn has_several_in_use(&self) -> bool {
        self.in_use().nth(1).is_some()
    }

    /// Returns whether no stream that can be taken up must begin at a version yet: the store does not
    /// name it as in use, and names others or has not been read.
    pub fn is_held(&self, version: VersionTag) -> bool {
        self.has_several()
            && (!self.is_complete() || self.in_use().next().is_some())
            && self.find(version).is_none_or(|known| !known.is_in_use)
    }

    /// Returns the versions at which no stream that can be taken up must begin yet.
    pub fn held(&self) -> impl Iterator<Item = VersionTag> {
        let versions = self.versions.iter().map(|known| known.version);
        versions.filter(|version| self.is_held(*version))
    }

    /// Takes the listed versions into use at once: the others lack room.
    pub fn want_listed(&mut self) {
        self.is_wanted = true;
    }

    /// Returns whether the listed versions are to be taken into use at once.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Returns whether listed versions are taken into use: none was in use before this instance
    /// started, the streams from before can no longer be taken up, or the versions in use lack room.
    fn takes_listed(&self, retention: Duration, now: MonotonicTime) -> bool {
        let hold = retention.min(MAX_HOLD);
        let since = self.listed_since;
        self.is_wanted
            || self.had_earlier == Some(false)
            || since.is_some_and(|since| now.since(since) >= hold)
    }

    /// Returns whether all versions are known with which such a stream may have begun.
    pub fn is_complete(&self) -> bool {
        self.current_from.is_some() && (self.knows_earlier || self.is_observed)
    }

    /// Returns whether the earlier versions have to be read from the store.
    pub fn needs_earlier(&self) -> bool {
        self.current_from.is_some() && !self.is_complete()
    }

    /// Returns whether it matters with which version a stream begins: another one is in use, or may
    /// have been.
    pub fn is_mixed(&self) -> bool {
        self.only().is_none()
    }

    /// Returns whether more than one version is known.
    pub fn has_several(&self) -> bool {
        self.versions.len() > 1
    }

    /// Number of known versions with which such a stream may have begun.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no version is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Returns the time for which the list of upstreams has been current.
    pub fn observed_for(&self, now: MonotonicTime) -> Duration {
        self.current_from
            .map_or(Duration::ZERO, |from| now.since(from))
    }

    /// Records that the list was not followed without a gap: versions may have come and gone in it.
    pub fn record_gap(&mut self) {
        self.current_from = None;
        self.knows_earlier = false;
        self.is_observed = false;
    }

    /// Returns the versions in use, as they are told to other instances.
    pub fn snapshot(&self, now: MonotonicTime) -> impl Iterator<Item = StoredVersion> {
        self.in_use().map(move |known| known.stored(now))
    }

    /// Records the versions that another instance knows. Unlike those of the store, they are not all
    /// that there were.
    pub fn record_told(&mut self, told: &[StoredVersion], now: MonotonicTime) {
        for stored in told {
            let unused = Duration::from_millis(stored.unused_ms);
            let known = self.find(stored.version);
            if known.is_none_or(|known| known.unused(now) > unused) {
                self.record(Known {
                    version: stored.version,
                    at: now,
                    unused,
                    is_in_use: true,
                });
            }
        }
        self.record_written(told);
    }

    /// Returns the versions to be written to the store in place of `stored`, or `None` if it need
    /// not be replaced. Versions that only others know yet are kept. An instance that has restarted
    /// learns from the store for how long a version has been out of use, so that instances which
    /// restart one after another do not keep it forever.
    pub fn replacement(
        &self,
        stored: &[StoredVersion],
        retention: Duration,
        now: MonotonicTime,
    ) -> Option<Vec<StoredVersion>> {
        if !self.is_complete() {
            return None;
        }
        let step = retention / AGE_STEPS;
        let lag = MAX_LIST_LAG.min(step);
        let is_covered = |known: &Known| {
            let stored = stored.iter().find(|s| s.version == known.version);
            // One that is missing may have just been dropped by another instance.
            let stored = stored.map_or(retention, |s| Duration::from_millis(s.unused_ms));
            let unused = known.unused(now);
            unused.saturating_add(lag) > stored && unused < stored.saturating_add(step)
        };
        let is_dropped =
            |s: &&StoredVersion| self.dropped.iter().any(|known| known.version == s.version);
        let mut written = self.written(retention, now);
        if written.all(is_covered) && !stored.iter().any(|s| is_dropped(&s)) {
            return None;
        }
        Some(self.merged(stored, retention, now))
    }

    /// Returns the versions that the store has to name: those in use, and those that are taken into
    /// use.
    fn written(&self, retention: Duration, now: MonotonicTime) -> impl Iterator<Item = &Known> {
        let takes_listed = self.takes_listed(retention, now);
        let is_listed = |known: &Known| Some(known.at) >= self.listed_at;
        let known = self.versions.iter();
        known.filter(move |known| known.is_in_use || (takes_listed && is_listed(known)))
    }

    /// Returns these versions together with those in `stored` that only others know.
    pub fn merged(
        &self,
        stored: &[StoredVersion],
        retention: Duration,
        now: MonotonicTime,
    ) -> Vec<StoredVersion> {
        let written: Vec<_> = self.written(retention, now).collect();
        let is_of_others = |s: &&StoredVersion| {
            let mut known = written.iter().copied().chain(&self.dropped);
            known.all(|known| known.version != s.version)
        };
        let of_others = stored.iter().filter(is_of_others).copied();
        let own = written.iter().map(|known| known.stored(now));
        let mut versions: Vec<_> = own.chain(of_others).collect();
        versions.sort_unstable_by_key(|stored| stored.version);
        versions
    }

    fn find(&self, version: VersionTag) -> Option<&Known> {
        self.versions.iter().find(|known| known.version == version)
    }

    /// Returns whether the version was not known.
    fn record(&mut self, new: Known) -> bool {
        self.dropped.retain(|known| known.version != new.version);
        let mut versions = self.versions.iter_mut();
        if let Some(known) = versions.find(|known| known.version == new.version) {
            let is_in_use = known.is_in_use || new.is_in_use;
            *known = Known { is_in_use, ..new };
            return false;
        }
        self.versions.push(new);
        if self.versions.len() > MAX_VERSIONS {
            let unused = |at: &usize| {
                let known = &self.versions[*at];
                (!known.is_in_use, known.unused(new.at))
            };
            if let Some(oldest) = (0..self.versions.len()).max_by_key(unused) {
                self.versions.remove(oldest);
            }
        }
        true
    }
}
