//! What an upstream states in its responses about further requests: that it leaves, or that it wants
//! none for some time.
//!
//! Load pattern: upstreams are replaced while they are in use, and an upstream that is full states
//! when it has room again. The list of instances shows the first late, or not at all while the
//! store is unavailable, and the second never.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Maximum time for which an upstream gets no requests because it stated so once. A longer time is
/// probably an error.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Time after the removal of an upstream for which its notices are kept. Its entry may return, and
/// an upstream that leaves serves for some seconds longer.
const RETENTION: Duration = Duration::from_mins(2);

/// Maximum number of removed upstreams whose notices are kept.
const MAX_KEPT: usize = 1_024;

/// What one incarnation of an upstream has stated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notices {
    is_leaving: bool,
    paused_until: Option<MonotonicTime>,
}

impl Notices {
    /// Records that the upstream leaves. Returns whether this is new. Only its next incarnation
    /// takes that back.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the upstream wants no requests for the time `pause` after `now`. Returns whether
    /// that ends later than known before.
    pub fn record_pause(&mut self, pause: Duration, now: MonotonicTime) -> bool {
        let until = now.plus(pause.min(MAX_PAUSE));
        let is_longer = until > now && self.paused_until.is_none_or(|known| known < until);
        if is_longer {
            self.paused_until = Some(until);
        }
        is_longer
    }

    /// Returns whether the upstream leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the time for which the upstream wants no requests.
    pub fn pause_left(&self, now: MonotonicTime) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }
}

/// Notices of upstreams that were removed from the list and may return to it.
#[derive(Debug, Default)]
pub struct KeptNotices {
    by_id: HashMap<Box<str>, Kept>,
}

#[derive(Debug)]
struct Kept {
    started_ms: Option<u64>,
    notices: Notices,
    removed_at: MonotonicTime,
}

impl KeptNotices {
    /// Keeps the notices of an upstream that is removed at `now`. `started_ms` is the start of its
    /// incarnation, if known.
    pub fn keep(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        notices: Notices,
        now: MonotonicTime,
    ) {
        if notices == Notices::default() {
            return;
        }
        self.by_id
            .retain(|_, kept| now.since(kept.removed_at) < RETENTION);
        if self.by_id.len() >= MAX_KEPT {
            let oldest = self.by_id.iter().min_by_key(|(_, kept)| kept.removed_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.by_id.remove(&id));
        }
        let kept = Kept {
            started_ms,
            notices,
            removed_at: now,
        };
        self.by_id.insert(id.into(), kept);
    }

    /// Takes the notices of an upstream that is added. Those of another incarnation are dropped.
    pub fn take(&mut self, id: &str, started_ms: Option<u64>) -> Notices {
        let kept = self.by_id.remove(id);
        kept.filter(|kept| kept.started_ms == started_ms)
            .map_or_else(Notices::default, |kept| kept.notices)
    }
}
