//! Versions of a service's software with which a stream that can still be taken up may have begun.
//!
//! Load pattern: during a release, upstreams of several versions serve side by side. What two
//! versions write does not fit together, so a stream continues only at the version that began it.
//! An instance that has just started does not know with which version a stream began that another
//! instance carried. If one version alone has served since before the oldest such stream, the
//! stream is of that version; if there were more, it must not be continued on a guess.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Maximum number of versions of one service that are remembered. Beyond it, the oldest one is
/// dropped, and the history counts as incomplete.
const MAX_VERSIONS: usize = 16;

/// Version of an upstream's software. It is only compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionTag(pub u32);

/// Versions of one service's software that were in use recently.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    versions: Vec<Known>,
    /// Time from which on every version in use is known.
    complete_from: Option<MonotonicTime>,
    /// Whether the versions from before that time are known too.
    knows_earlier: bool,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    version: VersionTag,
    /// Time at which an upstream of the version was last listed, or the version was read from the
    /// store.
    seen_at: MonotonicTime,
}

impl VersionHistory {
    /// Records the versions of all upstreams in the current list. Returns whether one is new.
    pub fn record_listed(
        &mut self,
        listed: impl IntoIterator<Item = VersionTag>,
        now: MonotonicTime,
    ) -> bool {
        self.complete_from.get_or_insert(now);
        let mut has_new = false;
        for version in listed {
            has_new |= self.record(version, now);
        }
        has_new
    }

    /// Records the versions that may have been in use before this instance read its first list,
    /// according to the store.
    pub fn record_earlier(&mut self, earlier: &[VersionTag], now: MonotonicTime) {
        for version in earlier {
            self.record(*version, now);
        }
        self.knows_earlier = true;
    }

    /// Drops versions that no listed upstream has had for `retention`: the longest time from the
    /// last request to an upstream of a version until its stream can no longer be taken up.
    pub fn sweep(&mut self, retention: Duration, now: MonotonicTime) {
        self.versions
            .retain(|known| now.since(known.seen_at) < retention);
        if self.observed_for(now) >= retention {
            self.knows_earlier = true;
        }
    }

    /// Returns the versions with which a stream that can still be taken up may have begun, in order.
    pub fn possible(&self) -> Vec<VersionTag> {
        let mut versions: Vec<_> = self.versions.iter().map(|known| known.version).collect();
        versions.sort_unstable();
        versions
    }

    /// Returns the version with which every stream began that can still be taken up, or `None` if
    /// there may be several.
    pub fn only(&self) -> Option<VersionTag> {
        match self.versions[..] {
            [known] if self.is_complete() => Some(known.version),
            _ => None,
        }
    }

    /// Returns whether all versions are known with which such a stream may have begun.
    pub fn is_complete(&self) -> bool {
        self.complete_from.is_some() && self.knows_earlier
    }

    /// Returns whether it matters with which version a stream begins: another one is in use, or may
    /// have been.
    pub fn is_mixed(&self) -> bool {
        self.only().is_none()
    }

    /// Returns the time for which this instance has known the list of upstreams.
    pub fn observed_for(&self, now: MonotonicTime) -> Duration {
        self.complete_from
            .map_or(Duration::ZERO, |from| now.since(from))
    }

    /// Returns whether the version was not known.
    fn record(&mut self, version: VersionTag, now: MonotonicTime) -> bool {
        let known = self
            .versions
            .iter_mut()
            .find(|known| known.version == version);
        if let Some(known) = known {
            known.seen_at = known.seen_at.max(now);
            return false;
        }
        if self.versions.len() >= MAX_VERSIONS {
            self.versions.remove(0);
            self.knows_earlier = false;
            self.complete_from = Some(now);
        }
        self.versions.push(Known {
            version,
            seen_at: now,
        });
        true
    }
}
