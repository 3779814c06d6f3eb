//! Quotas of client accounts: a rate and a burst for all instances together.
//!
//! Load pattern: one account sends many times its usual while instances are killed, stand still or
//! are cut off, and its costs are a large part of what a second allows. Each request is paid with
//! tokens that an owner of the account granted. The tokens of an account are divided among a few
//! owners in advance, so that no decision needs more than the answer of one of them.

mod asker;
mod bucket;
mod contact;
mod members;
mod owner;

pub use asker::{Asker, MAX_OWNERS, Round, Step};
pub use bucket::Bucket;
pub use contact::{Contact, ContactReport};
pub use members::{OwnerSet, QuotaMembers};
pub use owner::{Ask, Grant, QuotaOwner};

use std::time::Duration;

/// Fraction of the tolerance that covers requests which reach an upstream later than their tokens
/// were granted.
const LATENESS_FRACTION: f64 = 0.5;

/// Fraction of the tolerance that is added to the burst.
const BURST_FRACTION: f64 = 0.25;

/// Fraction of the tolerance that instances spend which no owner answers.
const ALONE_FRACTION: f64 = 0.125;

/// Minimum life of granted tokens: a round trip and the admission of a request on a busy instance.
const MIN_TOKEN_LIFE: Duration = Duration::from_millis(50);

/// Maximum life of granted tokens. A request that is sent later asks again.
const MAX_TOKEN_LIFE: Duration = Duration::from_millis(500);

/// Maximum rate, burst and slack. Larger ones count as this, which no account reaches.
const MAX_TOKENS: f64 = 1e15;

/// Maximum tolerated excess. Larger ones count as this.
const MAX_EXCESS: f64 = 1e3;

/// Minimum window. Shorter ones count as this.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// Quota of a client account, in requests or in tokens of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Rate per second. Greater than 0.
    pub per_s: f64,
    /// What may be spent at once in addition.
    pub burst: f64,
}

/// Bounds of the operator on the use of a quota. In any window, the use of all instances together
/// is at most (rate x window + burst) x (1 + `excess`) + `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated fraction of the quota in addition.
    pub excess: f64,
    /// Tolerated use in addition, in the unit of the quota.
    pub slack: f64,
}

/// Division of a quota: what its owners grant together, and what instances spend alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPlan {
    /// Tokens that all owners together gain per second.
    pub per_s: f64,
    /// Maximum number of tokens that all owners together hold.
    pub depth: f64,
    /// Time from an ask until the tokens that it brought can no longer be spent.
    pub life: Duration,
    /// Tokens per second that all instances together may spend without an owner.
    pub alone_per_s: f64,
    /// Maximum number of tokens that all instances together save up to be spent without an owner.
    pub alone_depth: f64,
}

impl QuotaPlan {
    /// Divides a quota such that the bounds hold. Tokens that are granted up to their life before a
    /// window are spent in it, so at most `per_s` x (window + life) + `depth` come from owners.
    pub fn new(quota: Quota, bounds: QuotaBounds) -> Self {
        let per_s = quota.per_s.clamp(f64::MIN_POSITIVE, MAX_TOKENS);
        let burst = quota.burst.clamp(0.0, MAX_TOKENS);
        let excess = bounds.excess.clamp(0.0, MAX_EXCESS);
        let slack = bounds.slack.clamp(0.0, MAX_TOKENS);
        let stated = per_s * bounds.window.max(MIN_WINDOW).as_secs_f64() + burst;
        let tolerance = excess * stated + slack;
        let life_s = (tolerance * LATENESS_FRACTION / per_s)
            .clamp(MIN_TOKEN_LIFE.as_secs_f64(), MAX_TOKEN_LIFE.as_secs_f64());
        let uncovered = (per_s * life_s - tolerance * LATENESS_FRACTION).max(0.0);
        Self {
            per_s,
            depth: (burst + tolerance * BURST_FRACTION - uncovered).max(0.0),
            life: Duration::from_secs_f64(life_s),
            alone_per_s: excess * per_s * ALONE_FRACTION,
            alone_depth: (excess * burst + slack) * ALONE_FRACTION,
        }
    }

    /// Returns the tokens that one of `owners` gains per second, and the maximum that it holds.
    pub fn part(&self, owners: usize) -> (f64, f64) {
        let owners = owners.max(1) as f64;
        (self.per_s / owners, self.depth / owners)
    }
}
