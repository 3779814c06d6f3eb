//! Limit that an upstream states on its requests, and this instance's share of it.
//!
//! Load pattern: an upstream in need states in its answers how many requests per second it accepts
//! from all instances together. Each instance knows its own requests exactly and those of the
//! others too late: several instances would use the same free place at the same time. The limit is
//! therefore divided in advance among owners, which are the first instances in an order that all
//! instances derive from their names. A small limit has few owners, since the sum of many small
//! shares varies more than the limit allows. Instances that own no share learn from the others when
//! the limit changes or ends.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Time for whose requests an owner may save up its share. The operator's rule allows one and a
/// half times the limit in 4 s, that is the requests of 2 s more.
const BURST_TIME: Duration = Duration::from_millis(1_500);

/// Time after which an instance sends one request to find out whether a statement that was not
/// repeated still holds. An upstream that gets no requests cannot repeat it.
const TRIAL_INTERVAL: Duration = Duration::from_secs(30);

/// Number of instances that try such a statement whenever they get a request. The others do so in
/// turn, in case these get no requests or their news are lost. The operator's rule allows five
/// requests in 4 s in addition to those by the limit.
const FIRST_TO_TRY: usize = 2;

/// Length of the turn of another instance. The times of the last statement differ between instances
/// by up to [`REPEAT_INTERVAL`], so that at most three turns touch 4 s.
const TRIAL_TURN: Duration = Duration::from_secs(8);

/// Time after which a repeated statement is told to other instances again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which the end of a limit is repeated to other instances. Those that own no share of it
/// learn of the end from nobody else.
const END_REPEAT_TIME: Duration = Duration::from_secs(10);

/// Number of times that a changed statement is sent to other instances. Datagrams may be lost.
const SENDS_PER_CHANGE: u8 = 3;

/// Statement of an upstream, as sent between instances.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Tag of the upstream.
    pub upstream: u32,
    /// Limit in requests per second, or `None` if the upstream states none any more.
    pub per_s: Option<f64>,
    /// Age of the statement, in milliseconds.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    per_s: Option<f64>,
    at: MonotonicTime,
}

/// Limit of one upstream, as known to one instance.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimit {
    /// Newest statement of the upstream.
    statement: Option<Statement>,
    /// Time at which the statement last changed.
    changed_at: MonotonicTime,
    /// This instance's share, in requests per second.
    share_per_s: f64,
    turn: TrialTurn,
    /// Time of the last request that tried the limit.
    tried_at: Option<MonotonicTime>,
    /// Part, 0 to 1, by which this instance differs from others that would act at the same time.
    spread: f64,
    /// Requests that may be sent as of `tokens_at`.
    tokens: f64,
    tokens_at: MonotonicTime,
    /// Number of times that the statement is still to be sent to other instances.
    unsent: u8,
    told_at: MonotonicTime,
}

/// Turn of an instance to try a limit. If all tried it after a pause, they would together exceed it.
#[derive(Debug, Clone, Copy, Default)]
struct TrialTurn {
    rank: usize,
    /// Number of instances, 0 if none are known.
    count: usize,
}

impl TrialTurn {
    /// Returns whether the turn has come at this age of the last statement. `spread` is a part of an
    /// interval, 0 to 1.
    fn has_come(self, age: Duration, spread: f64) -> bool {
        if self.rank < FIRST_TO_TRY {
            return age >= TRIAL_INTERVAL.mul_f64(1.0 + spread);
        }
        let Some(late) = age.checked_sub(TRIAL_INTERVAL * 2) else {
            return false;
        };
        let turn = late.as_millis() / TRIAL_TURN.as_millis();
        turn % self.count.max(1) as u128 == self.rank as u128
    }
}

impl UpstreamLimit {
    /// Records what a response states that belongs to a request sent at `sent_at`. Responses
    /// overtake each other, so one to a request from before the last statement neither ends a limit
    /// nor brings back one that has ended. Returns whether the limit has changed.
    pub fn record_response(
        &mut self,
        per_s: Option<f64>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let counts = match (per_s, &self.statement) {
            (Some(_), None) => true,
            (None, None) => false,
            (Some(_), Some(known)) => known.per_s.is_some() || sent_at >= known.at,
            (None, Some(known)) if known.per_s.is_some() => sent_at >= known.at,
            (None, Some(_)) => now.since(self.changed_at) < END_REPEAT_TIME,
        };
        counts && self.replace(Statement { per_s, at: now }, now)
    }

    /// Applies news from another instance if they are newer than what is known. Returns whether the
    /// limit has changed.
    pub fn merge(&mut self, news: &LimitNews, is_forwarded: bool, now: MonotonicTime) -> bool {
        let age = Duration::from_millis(news.age_ms.into());
        let statement = Statement {
            per_s: news.per_s,
            at: MonotonicTime(now.0.saturating_sub(age)),
        };
        let is_valid = news.per_s.is_none_or(|per_s| per_s >= 0.0) && age < TRIAL_INTERVAL;
        let is_newer = self
            .statement
            .is_none_or(|known| known.at < statement.at && known.at < now);
        if !is_valid || !is_newer {
            return false;
        }
        let unsent = self.unsent;
        let is_changed = self.replace(statement, now);
        if !is_forwarded {
            // The others have it from the instance that told this one.
            self.unsent = unsent;
            self.told_at = now;
        }
        is_changed
    }

    fn replace(&mut self, statement: Statement, now: MonotonicTime) -> bool {
        let before = self.limit();
        self.statement = Some(statement);
        let is_changed = before != self.limit();
        if is_changed {
            self.changed_at = now;
            self.unsent = SENDS_PER_CHANGE;
        } else if now.since(self.told_at) >= REPEAT_INTERVAL {
            self.unsent = self.unsent.max(1);
        }
        is_changed
    }

    /// Returns the limit in requests per second, or `None` if the upstream states none.
    pub fn limit(&self) -> Option<f64> {
        self.statement?.per_s
    }

    /// Returns this instance's share of the limit, in requests per second.
    pub fn share(&self) -> f64 {
        self.share_per_s
    }

    /// Sets this instance's share of the limit, in requests per second. `spread`, 0 to 1, is the
    /// part of a request with which a new share starts. Random values keep owners apart that would
    /// send at the same time.
    pub fn set_share(&mut self, share_per_s: f64, spread: f64, now: MonotonicTime) {
        self.tokens = if self.share_per_s > 0.0 {
            self.tokens(now)
        } else {
            spread
        };
        self.tokens_at = now;
        self.share_per_s = share_per_s;
        self.spread = spread;
    }

    /// Sets the rank of this instance among `count` instances that may try the limit.
    pub fn set_turn(&mut self, rank: usize, count: usize) {
        self.turn = TrialTurn { rank, count };
    }

    /// Returns the fraction of the requests that this instance may save up which are used up, 0 to
    /// 1. It is 0 without a limit.
    pub fn used_fraction(&self, now: MonotonicTime) -> f64 {
        if self.limit().is_none() {
            return 0.0;
        }
        1.0 - self.tokens(now) / self.max_tokens()
    }

    fn max_tokens(&self) -> f64 {
        (self.share_per_s * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn tokens(&self, now: MonotonicTime) -> f64 {
        let max_tokens = self.max_tokens();
        let gained = now.since(self.tokens_at).as_secs_f64() * self.share_per_s;
        (self.tokens + gained).min(max_tokens)
    }

    /// Returns whether the limit has to be tried because nobody has repeated it for a long time.
    fn is_trial_due(&self, now: MonotonicTime) -> bool {
        let stated_at = self.statement.map(|statement| statement.at);
        let has_come = |at| self.turn.has_come(now.since(at), self.spread);
        // Others are sent only after the response to the last one, or after another interval.
        let is_open = self.tried_at.is_some_and(|at| {
            Some(at) >= stated_at && now.since(at) < TRIAL_INTERVAL.mul_f64(1.0 + self.spread)
        });
        stated_at.is_some_and(has_come) && !is_open
    }

    /// Returns the time until this instance may send a request, zero if it may now, or `None` if it
    /// has no share of the limit.
    pub fn wait(&self, now: MonotonicTime) -> Option<Duration> {
        let missing = 1.0 - self.tokens(now);
        if self.limit().is_none() || missing <= 0.0 || self.is_trial_due(now) {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / self.share_per_s).ok()
    }

    /// Counts a request that is being sent. Returns false if it must not be sent.
    pub fn try_send(&mut self, now: MonotonicTime) -> bool {
        if self.limit().is_none() {
            return true;
        }
        let is_trial = self.is_trial_due(now);
        if is_trial {
            self.tried_at = Some(now);
        }
        let tokens = self.tokens(now);
        if tokens < 1.0 {
            return is_trial;
        }
        self.tokens = tokens - 1.0;
        self.tokens_at = now;
        true
    }

    /// Returns the news about the upstream with this tag that are due to be sent to other
    /// instances.
    pub fn take_news(&mut self, upstream: u32, now: MonotonicTime) -> Option<LimitNews> {
        let statement = self.statement.filter(|_| self.unsent > 0)?;
        self.unsent -= 1;
        self.told_at = now;
        let age_ms = now.since(statement.at).as_millis();
        Some(LimitNews {
            upstream,
            per_s: statement.per_s,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        })
    }
}
