//! Bound on the request bodies that an upstream holds, for all instances together.
//!
//! Load pattern: callers upload large bodies through many instances at once, and an upstream
//! crashes if the requests that it holds exceed its memory, which it states nowhere. Every request
//! that it holds is lost with it, and the next upstream gets the repeats. The instances tell each
//! other what they have sent and what is not yet answered. The limit is learned for each service
//! from crashes: one at which an upstream held more than any that answered shows where its memory
//! ends. Other crashes happen at sizes that upstreams have survived, and set no limit.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Time after which what another instance has told no longer counts. Instances repeat it several
/// times within this time.
const NEWS_LIFETIME: Duration = Duration::from_secs(2);

/// Time after which an unchanged size is told again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of sizes known from other instances.
const MAX_ENTRIES: usize = 4_096;

/// Maximum number of sizes in one datagram.
const MAX_NEWS: usize = 100;

/// Number of times that a crash is told to other instances. Datagrams may be lost.
const SENDS_PER_CRASH: u8 = 3;

/// Unit of the sizes that instances tell each other, in bytes.
const UNIT_BYTES: u64 = 1024;

/// Size from which the bodies at an upstream are told, in units. Smaller ones of 300 instances
/// together take 20 MB.
const MIN_TOLD_UNITS: u64 = 64;

/// Time in which a limit grows by a quarter of the size at the last crash, to find out whether it
/// still holds.
const GROWTH_TIME: Duration = Duration::from_mins(1);

/// Fraction of a limit up to which a body counts as small. Small bodies may use the whole limit,
/// and larger ones three quarters of it, so that a few uploads do not keep out all other requests.
const SMALL_FRACTION: u64 = 32;

/// Bodies that one instance has sent to an upstream and that are not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNews {
    /// Hash of the name of the instance.
    pub instance: u64,
    /// Tag of the upstream.
    pub upstream: u32,
    /// Size in KiB.
    pub kib: u32,
    /// Number that rises with each statement of the instance.
    pub sequence: u32,
}

/// Crash of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Tag of the service.
    pub service: u32,
    /// Bodies that the upstream held, in KiB.
    pub kib: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    kib: u32,
    sequence: u32,
    at: MonotonicTime,
    is_due: bool,
}

/// What other instances have told of the bodies at upstreams.
#[derive(Debug, Default)]
pub struct HeldElsewhere {
    entries: BTreeMap<(u32, u64), Entry>,
}

impl HeldElsewhere {
    /// Applies what another instance tells. `is_forwarded` states whether this instance passes it
    /// on.
    pub fn merge(&mut self, news: &HeldNews, is_forwarded: bool, now: MonotonicTime) {
        let key = (news.upstream, news.instance);
        let is_known = self.entries.get(&key).is_some_and(|known| {
            known.sequence >= news.sequence && now.since(known.at) < NEWS_LIFETIME
        });
        if is_known {
            return;
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&key) {
            self.sweep(now);
            if self.entries.len() >= MAX_ENTRIES {
                return;
            }
        }
        self.entries.insert(
            key,
            Entry {
                kib: news.kib,
                sequence: news.sequence,
                at: now,
                is_due: is_forwarded,
            },
        );
    }

    /// Returns the bytes that other instances have at an upstream.
    pub fn bytes(&self, upstream: u32, now: MonotonicTime) -> u64 {
        self.entries
            .range((upstream, 0)..=(upstream, u64::MAX))
            .filter(|(_, entry)| now.since(entry.at) < NEWS_LIFETIME)
            .map(|(_, entry)| u64::from(entry.kib) * UNIT_BYTES)
            .sum()
    }

    /// Returns what is due to be passed on.
    pub fn take_news(&mut self) -> Vec<HeldNews> {
        self.entries
            .iter_mut()
            .filter_map(|(&(upstream, instance), entry)| {
                std::mem::take(&mut entry.is_due).then_some(HeldNews {
                    instance,
                    upstream,
                    kib: entry.kib,
                    sequence: entry.sequence,
                })
            })
            .take(MAX_NEWS)
            .collect()
    }

    fn sweep(&mut self, now: MonotonicTime) {
        self.entries
            .retain(|_, entry| now.since(entry.at) < NEWS_LIFETIME);
    }
}

/// Bodies that this instance has sent to one upstream and that are not answered.
#[derive(Debug, Default)]
pub struct HeldHere {
    bytes: u64,
    told_units: u64,
    told_at: MonotonicTime,
}

impl HeldHere {
    /// Records a body that is being sent.
    pub fn record_sent(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Records that the request with a body has ended.
    pub fn record_end(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Returns the bytes of the bodies.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the bytes that `others` instances may have sent at the same time as this one, which
    /// they have not told yet: as many each as this one has not told them.
    pub fn untold_elsewhere(&self, others: usize) -> u64 {
        let untold = self.bytes.saturating_sub(self.told_units * UNIT_BYTES);
        if untold < MIN_TOLD_UNITS * UNIT_BYTES {
            return 0;
        }
        untold.saturating_mul(others as u64)
    }

    /// Returns the size in KiB if it is due to be told to the other instances.
    pub fn take_news(&mut self, now: MonotonicTime) -> Option<u32> {
        let units = self.bytes / UNIT_BYTES;
        let units = if units < MIN_TOLD_UNITS { 0 } else { units };
        let is_old = units > 0 && now.since(self.told_at) >= REPEAT_INTERVAL;
        if units == self.told_units && !is_old {
            return None;
        }
        self.told_units = units;
        self.told_at = now;
        Some(u32::try_from(units).unwrap_or(u32::MAX))
    }
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    bytes: u64,
    at: MonotonicTime,
    unsent: u8,
}

/// What is known of the memory of the upstreams of one service.
#[derive(Debug, Default)]
pub struct MemoryEstimate {
    /// Most bytes with which an upstream has answered.
    survived: u64,
    crash: Option<Crash>,
}

impl MemoryEstimate {
    /// Records that an upstream has answered while it held `bytes`.
    pub fn record_survived(&mut self, bytes: u64) {
        self.survived = self.survived.max(bytes);
        self.crash = self.crash.filter(|crash| crash.bytes > self.survived);
    }

    /// Records that an upstream crashed while it held `bytes`. A crash with no more than one body
    /// of `max_body` bytes shows nothing of the sum. Returns whether the limit has changed.
    pub fn record_crash(&mut self, bytes: u64, max_body: u64, now: MonotonicTime) -> bool {
        let is_lower = self.crash.is_none_or(|crash| bytes < crash.bytes);
        let is_evidence = bytes > max_body && bytes > self.survived;
        if !is_evidence || !is_lower {
            return false;
        }
        self.crash = Some(Crash {
            bytes,
            at: now,
            unsent: SENDS_PER_CRASH,
        });
        true
    }

    /// Returns the most bytes that an upstream may hold, or `None` if no limit is known.
    pub fn limit(&self, now: MonotonicTime) -> Option<u64> {
        let crash = self.crash?;
        let quarter = crash.bytes / 4;
        let growth = now.since(crash.at).as_secs_f64() / GROWTH_TIME.as_secs_f64();
        let grown = (crash.bytes - quarter).saturating_add((quarter as f64 * growth) as u64);
        Some(grown.max(self.survived))
    }

    /// Returns the size at the last crash in KiB if it is due to be told to the other instances.
    pub fn take_news(&mut self) -> Option<u32> {
        let crash = self.crash.as_mut()?;
        crash.unsent = crash.unsent.checked_sub(1)?;
        Some(u32::try_from(crash.bytes / UNIT_BYTES).unwrap_or(u32::MAX))
    }

    /// Applies a crash that another instance tells. `is_forwarded` states whether this instance
    /// passes it on.
    pub fn merge_crash(&mut self, kib: u32, is_forwarded: bool, now: MonotonicTime) -> bool {
        let is_changed = self.record_crash(u64::from(kib) * UNIT_BYTES, 0, now);
        if let Some(crash) = self.crash.as_mut()
            && is_changed
            && !is_forwarded
        {
            crash.unsent = 0;
        }
        is_changed
    }
}

/// Returns whether an upstream that holds `held` bytes may be sent a body. One that holds none may
/// be sent any: it must be able to run a request alone.
pub fn has_room(held: u64, body: u64, limit: u64) -> bool {
    let limit = if body <= limit / SMALL_FRACTION {
        limit
    } else {
        limit - limit / 4
    };
    held == 0 || held.saturating_add(body) <= limit
}
