//! Versions of the software with which streams began, by attempt of the caller.
//!
//! Load pattern: a caller whose stream broke off takes it up at any instance within some tens of
//! milliseconds, also when the instance that carried the stream was killed. Each instance therefore
//! tells the others with which version its streams begin, for as long as several versions may be in
//! use. What it carries itself, it remembers at all times, since a second version may appear while
//! the stream is open.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

use super::software_versions::VersionTag;

/// Maximum number of attempts that are remembered. Beyond it, the oldest ones are dropped, and
/// their streams are not continued while several versions are in use.
pub const MAX_ATTEMPTS: usize = 128 * 1024;

/// Maximum number of attempts in one datagram.
const MAX_NEWS: usize = 400;

/// Maximum number of attempts that wait to be sent. The oldest ones are dropped; other instances ask
/// for what they lack.
const MAX_WAITING: usize = 4 * 1024;

/// Time after which a piece of news is sent again, since datagrams may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(40);

/// Time from which an attempt that is told again counts as news: its stream was taken up. Until
/// then it is a repeat, and not forwarded.
const REFRESH_AFTER: Duration = Duration::from_secs(1);

/// Service, given by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

/// Attempt of a caller that brought the first event of a stream, given by a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptTag(pub u64);

/// What began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the upstream.
    pub service: ServiceTag,
    /// Version of the upstream.
    pub version: VersionTag,
}

/// Streams with one origin, as sent between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNews {
    /// What began them.
    pub origin: Origin,
    /// Attempts whose streams they are, as bytes, which take less space than random integers.
    attempts: Vec<[u8; 8]>,
}

/// Longest time for which a caller of a service's streams has stated to wait, as sent between
/// instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerWait {
    /// Service.
    pub service: ServiceTag,
    /// Wait in milliseconds.
    pub wait_ms: u64,
}

/// Streams with one origin that were recorded at about the same time, as handed over to an instance
/// that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedOrigins {
    /// Time since they were recorded, in seconds.
    pub age_s: u64,
    /// The streams.
    pub news: OriginNews,
}

/// Versions with which streams began.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_attempt: HashMap<AttemptTag, Known>,
    /// Attempts in the order in which they were recorded. One that was recorded again stands there
    /// more than once.
    order: VecDeque<(MonotonicTime, AttemptTag)>,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    origin: Origin,
    at: MonotonicTime,
    /// Whether this instance carried the stream.
    is_own: bool,
}

/// Origin known to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOrigin {
    /// Version that began the stream.
    pub version: VersionTag,
    /// Whether this instance carried the stream.
    pub is_own: bool,
    /// Time since this was recorded.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    attempt: AttemptTag,
    origin: Origin,
    since: MonotonicTime,
    is_repeat: bool,
}

impl StreamOrigins {
    /// Records that a stream of this instance began, or was taken up by its caller. It is told to
    /// the others if `is_mixed`, that is, while several versions may be in use.
    pub fn record_own(
        &mut self,
        attempt: AttemptTag,
        origin: Origin,
        is_mixed: bool,
        now: MonotonicTime,
    ) {
        let origin = self.record(attempt, origin, true, now);
        if is_mixed {
            self.tell(attempt, origin, now);
        }
    }

    /// Tells the others of all streams of `service` that this instance has carried, the latest ones
    /// last. To be called when a second version appears, and before this instance ends.
    pub fn tell_all(&mut self, service: ServiceTag, now: MonotonicTime) {
        let is_told = |(at, attempt): &(MonotonicTime, AttemptTag)| {
            let known = self.by_attempt.get(attempt)?;
            let is_told = known.is_own && known.at == *at && known.origin.service == service;
            is_told.then_some((*attempt, known.origin))
        };
        let own: Vec<_> = self.order.iter().filter_map(is_told).collect();
        for (attempt, origin) in own {
            self.tell(attempt, origin, now);
        }
    }

    /// Records what another instance tells: streams that began, or that were taken up again.
    /// `is_forwarded` states whether this instance passes it on. Returns whether it was news.
    pub fn merge(&mut self, news: &OriginNews, is_forwarded: bool, now: MonotonicTime) -> bool {
        let mut has_new = false;
        for attempt in &news.attempts {
            let attempt = AttemptTag(u64::from_le_bytes(*attempt));
            let known = self.by_attempt.get(&attempt);
            if known.is_some_and(|known| now.since(known.at) < REFRESH_AFTER) {
                continue;
            }
            has_new = true;
            let origin = self.record(attempt, news.origin, false, now);
            if is_forwarded {
                self.tell(attempt, origin, now);
            }
        }
        has_new
    }

    /// Returns the streams that this instance knows, for one that has just started.
    pub fn snapshot(&self, now: MonotonicTime) -> Vec<AgedOrigins> {
        let mut known: BTreeMap<(u64, Origin), Vec<[u8; 8]>> = BTreeMap::new();
        for (attempt, Known { origin, at, .. }) in &self.by_attempt {
            let attempts = known
                .entry((now.since(*at).as_secs(), *origin))
                .or_default();
            attempts.push(attempt.0.to_le_bytes());
        }
        let groups = known
            .into_iter()
            .map(|((age_s, origin), attempts)| AgedOrigins {
                age_s,
                news: OriginNews { origin, attempts },
            });
        groups.collect()
    }

    /// Takes over streams that another instance knows. They do not become younger by it, so that
    /// instances which start one after another do not keep them forever.
    pub fn take_over(&mut self, known: &AgedOrigins, now: MonotonicTime) {
        let age = Duration::from_secs(known.age_s);
        let at = MonotonicTime(now.0.saturating_sub(age));
        for attempt in &known.news.attempts {
            let attempt = AttemptTag(u64::from_le_bytes(*attempt));
            if !self.by_attempt.contains_key(&attempt) {
                self.record(attempt, known.news.origin, false, at);
            }
        }
    }

    /// Returns what is known of the stream of an attempt.
    pub fn origin(&self, attempt: AttemptTag, now: MonotonicTime) -> Option<KnownOrigin> {
        let known = self.by_attempt.get(&attempt)?;
        Some(KnownOrigin {
            version: known.origin.version,
            is_own: known.is_own,
            age: now.since(known.at),
        })
    }

    /// Drops attempts whose streams can no longer be taken up: those recorded `retention` ago.
    pub fn sweep(&mut self, retention: Duration, now: MonotonicTime) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) >= retention
        {
            self.drop_oldest();
        }
    }

    /// Returns the news that are due, at most as many as fit into a datagram.
    pub fn take_news(&mut self, now: MonotonicTime) -> Vec<OriginNews> {
        let mut news: BTreeMap<Origin, Vec<[u8; 8]>> = BTreeMap::new();
        let mut taken = 0;
        let mut kept = VecDeque::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_due = !waiting.is_repeat || now.since(waiting.since) >= REPEAT_AFTER;
            if !is_due || taken >= MAX_NEWS {
                kept.push_back(waiting);
                continue;
            }
            taken += 1;
            let attempts = news.entry(waiting.origin).or_default();
            attempts.push(waiting.attempt.0.to_le_bytes());
            if !waiting.is_repeat {
                kept.push_back(Waiting {
                    is_repeat: true,
                    since: now,
                    ..waiting
                });
            }
        }
        self.waiting = kept;
        news.into_iter()
            .map(|(origin, attempts)| OriginNews { origin, attempts })
            .collect()
    }

    /// Number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }

    fn tell(&mut self, attempt: AttemptTag, origin: Origin, now: MonotonicTime) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting {
            attempt,
            origin,
            since: now,
            is_repeat: false,
        });
    }

    /// Records an attempt. Returns its origin, which is the first one that was recorded.
    fn record(
        &mut self,
        attempt: AttemptTag,
        origin: Origin,
        is_own: bool,
        now: MonotonicTime,
    ) -> Origin {
        if self.order.len() >= MAX_ATTEMPTS {
            self.drop_oldest();
        }
        let known = self.by_attempt.entry(attempt).or_insert(Known {
            origin,
            at: now,
            is_own,
        });
        known.at = now;
        known.is_own |= is_own;
        let origin = known.origin;
        self.order.push_back((now, attempt));
        origin
    }

    fn drop_oldest(&mut self) {
        let Some((at, attempt)) = self.order.pop_front() else {
            return;
        };
        let known = self.by_attempt.get(&attempt);
        if known.is_some_and(|known| known.at <= at) {
            self.by_attempt.remove(&attempt);
        }
    }
}
