//! Versions of the software with which streams began, by attempt of the caller.
//!
//! Load pattern: a caller whose stream broke off takes it up at any instance within some tens of
//! milliseconds, also when the instance that carried the stream was killed. Each instance therefore
//! tells the others with which version its streams begin, for as long as several versions may be in
//! use. What it carries itself, it remembers at all times, since a second version may appear while
//! the stream is open.

use std::collections::{HashMap, VecDeque};
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

/// Time after its arrival at which a piece of news is sent again, since datagrams may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(40);

/// Attempt whose stream began, as sent between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Hash of the id of the caller's attempt that brought the first event.
    pub attempt: u64,
    /// Version that began the stream.
    pub version: VersionTag,
}

/// Versions with which streams began.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_attempt: HashMap<u64, Known>,
    /// Attempts in the order in which they were recorded. One that was recorded again stands there
    /// more than once.
    order: VecDeque<(MonotonicTime, u64)>,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    version: VersionTag,
    at: MonotonicTime,
    /// Whether this instance carried the stream.
    is_own: bool,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    origin: StreamOrigin,
    since: MonotonicTime,
    is_repeat: bool,
}

impl StreamOrigins {
    /// Records that a stream of this instance began, or was taken up by its caller. It is told to
    /// the others if `is_mixed`, that is, while several versions may be in use.
    pub fn record_own(&mut self, origin: StreamOrigin, is_mixed: bool, now: MonotonicTime) {
        self.record(origin, true, now);
        if is_mixed {
            self.tell(origin, now);
        }
    }

    /// Tells the others of all streams that this instance has carried. To be called when a second
    /// version appears.
    pub fn tell_all(&mut self, now: MonotonicTime) {
        let own: Vec<_> = self
            .by_attempt
            .iter()
            .filter(|(_, known)| known.is_own)
            .map(|(attempt, known)| StreamOrigin {
                attempt: *attempt,
                version: known.version,
            })
            .collect();
        for origin in own {
            self.tell(origin, now);
        }
    }

    /// Records what another instance tells. `is_forwarded` states whether this instance passes it
    /// on.
    pub fn merge(&mut self, news: &[StreamOrigin], is_forwarded: bool, now: MonotonicTime) {
        for origin in news {
            let is_known = self.by_attempt.contains_key(&origin.attempt);
            if !is_known {
                self.record(*origin, false, now);
            }
            if is_forwarded && !is_known {
                self.tell(*origin, now);
            }
        }
    }

    /// Returns the version that began the stream of an attempt, or `None` if it is not known.
    pub fn version(&self, attempt: u64) -> Option<VersionTag> {
        self.by_attempt.get(&attempt).map(|known| known.version)
    }

    /// Drops attempts whose streams can no longer be taken up: those recorded `retention` ago.
    pub fn sweep(&mut self, retention: Duration, now: MonotonicTime) {
        while let Some((at, _)) = self.order.front()
            && (now.since(*at) >= retention || self.order.len() > MAX_ATTEMPTS)
        {
            self.drop_oldest();
        }
    }

    /// Returns the news that are due, at most as many as fit into a datagram.
    pub fn take_news(&mut self, now: MonotonicTime) -> Vec<StreamOrigin> {
        let mut news = Vec::new();
        let mut kept = VecDeque::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_due = !waiting.is_repeat || now.since(waiting.since) >= REPEAT_AFTER;
            if !is_due || news.len() >= MAX_NEWS {
                kept.push_back(waiting);
                continue;
            }
            news.push(waiting.origin);
            if !waiting.is_repeat {
                kept.push_back(Waiting {
                    is_repeat: true,
                    ..waiting
                });
            }
        }
        self.waiting = kept;
        news
    }

    /// Number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }

    fn tell(&mut self, origin: StreamOrigin, now: MonotonicTime) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting {
            origin,
            since: now,
            is_repeat: false,
        });
    }

    fn record(&mut self, origin: StreamOrigin, is_own: bool, now: MonotonicTime) {
        if self.order.len() >= MAX_ATTEMPTS {
            self.drop_oldest();
        }
        let known = self.by_attempt.entry(origin.attempt).or_insert(Known {
            version: origin.version,
            at: now,
            is_own,
        });
        known.at = now;
        known.is_own |= is_own;
        self.order.push_back((now, origin.attempt));
    }

    fn drop_oldest(&mut self) {
        let Some((at, attempt)) = self.order.pop_front() else {
            return;
        };
        if self
            .by_attempt
            .get(&attempt)
            .is_some_and(|known| known.at <= at)
        {
            self.by_attempt.remove(&attempt);
        }
    }
}

/// Returns the version at which a stream may be continued that began with `origin`, if that is
/// known, while `only` is the one version with which it can have begun otherwise.
pub fn version_to_continue(
    origin: Option<VersionTag>,
    only: Option<VersionTag>,
) -> Option<VersionTag> {
    origin.or(only)
}
