//! Grants tokens of the accounts that this instance owns.
//!
//! Load pattern: requests that were granted tokens are refused for lack of room and give them back,
//! hundreds in a second, while all others of the account are refused. Tokens that come back are
//! accepted only as long as the tokens held and those that may still be spent stay within the
//! depth: otherwise tokens that circulate between refused requests would add up.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::asker::MAX_RETRY_S;
use super::{Bucket, QuotaPlan};

/// Longest time between two uses of the owner in which it gains. An instance that stood still for
/// longer may have been taken for failed, and others may have granted its part.
const MAX_STANDSTILL: Duration = Duration::from_secs(10);

/// Time in which what was refused counts half as callers that will return.
const BACKLOG_HALF_LIFE_S: f64 = 1.0;

/// Maximum number of grants that are remembered for an account, so that they can be given back.
const MAX_GRANTS: usize = 1_024;

/// Question of an instance for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Identifies the grant when it is given back.
    pub id: u64,
    /// Tokens that are missing.
    pub tokens: f64,
    /// Tokens that the owner keeps for others.
    pub keep: f64,
    /// Whether fewer tokens are useful too.
    pub is_partial: bool,
    /// This owner's part of the tokens that the instance has refused since its last ask.
    pub refused: f64,
}

/// Answer of an owner.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Grant {
    /// Tokens that are granted.
    pub tokens: f64,
    /// Whether the instance owns the account and gains tokens for it.
    pub is_owner: bool,
    /// Tokens that the owner has left.
    pub left: f64,
    /// Time until the owner is expected to have the tokens that were asked for, in seconds. 0 if
    /// they are granted.
    pub retry_s: f64,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    life: Duration,
    /// Number of owners that refuse the same requests.
    owners: usize,
    /// Grants whose tokens may not have been spent yet, oldest first.
    granted: VecDeque<Granted>,
    /// Sum of `granted`.
    unspent: f64,
    /// Tokens that were refused lately. Their callers return and compete for the next ones.
    backlog: f64,
    backlog_at: MonotonicTime,
}

#[derive(Debug, Clone, Copy)]
struct Granted {
    /// `None` if several grants were joined.
    id: Option<u64>,
    tokens: f64,
    at: MonotonicTime,
}

/// Accounts that this instance owns. Accounts are identified by the hashes of their names.
#[derive(Debug, Default)]
pub struct QuotaOwner {
    accounts: HashMap<u64, Account>,
    credit_s: f64,
    at: MonotonicTime,
    /// Whether this instance gains, see [`super::Contact::may_gain`].
    is_gaining: bool,
}

impl QuotaOwner {
    /// Sets whether this instance gains from `now` on. What it holds is lost while it does not.
    pub fn set_gaining(&mut self, is_gaining: bool, now: MonotonicTime) {
        self.advance(now);
        self.is_gaining = is_gaining;
        if !is_gaining {
            self.clear();
        }
    }

    /// Sets the accounts that this instance owns: hash of the name, plan and number of owners. New
    /// ones hold no tokens.
    pub fn set_accounts(
        &mut self,
        owned: impl Iterator<Item = (u64, QuotaPlan, usize)>,
        now: MonotonicTime,
    ) {
        self.advance(now);
        let mut before = std::mem::take(&mut self.accounts);
        for (hash, plan, owners) in owned {
            let (per_s, depth) = plan.part(owners);
            let mut account = before.remove(&hash).unwrap_or_else(|| Account {
                bucket: Bucket::new(per_s, depth, self.credit_s),
                life: plan.life,
                owners,
                granted: VecDeque::new(),
                unspent: 0.0,
                backlog: 0.0,
                backlog_at: now,
            });
            account.bucket.set_terms(per_s, depth, self.credit_s);
            (account.life, account.owners) = (plan.life, owners);
            self.accounts.insert(hash, account);
        }
    }

    /// Answers an ask. An account that this instance does not own gets nothing.
    pub fn grant(&mut self, account: u64, ask: Ask, now: MonotonicTime) -> Grant {
        self.advance(now);
        let Some(account) = self.accounts.get_mut(&account) else {
            return Grant::default();
        };
        let is_valid = ask.tokens.is_finite() && ask.tokens > 0.0 && ask.keep >= 0.0;
        if !self.is_gaining || !is_valid {
            return Grant::default();
        }
        account.bucket.gain(self.credit_s);
        account.forget_spent(now);
        account.add_backlog(ask.refused, now);
        let free = account.bucket.tokens() - ask.keep;
        let tokens = if ask.is_partial || free >= ask.tokens {
            account.bucket.take(ask.tokens.min(free))
        } else {
            0.0
        };
        if tokens > 0.0 {
            account.record(ask.id, tokens, now);
        }
        let retry_s = if tokens < ask.tokens {
            account.record_refused(ask.tokens - tokens, ask.keep, now)
        } else {
            0.0
        };
        Grant {
            tokens,
            is_owner: true,
            left: account.bucket.tokens(),
            retry_s,
        }
    }

    /// Takes back the tokens of a grant that are not spent. Returns whether they can be granted
    /// again.
    pub fn give_back(&mut self, account: u64, id: u64, now: MonotonicTime) -> bool {
        self.advance(now);
        let Some(account) = self.accounts.get_mut(&account) else {
            return false;
        };
        account.bucket.gain(self.credit_s);
        account.forget_spent(now);
        self.is_gaining && account.take_back(id)
    }

    /// Returns the tokens that the owner of an account holds, or `None` if it is not this instance.
    pub fn tokens(&self, account: u64) -> Option<f64> {
        Some(self.accounts.get(&account)?.bucket.tokens())
    }

    fn advance(&mut self, now: MonotonicTime) {
        let passed = now.since(self.at);
        self.at = self.at.max(now);
        if passed > MAX_STANDSTILL {
            self.clear();
        } else if self.is_gaining {
            self.credit_s += passed.as_secs_f64();
        }
    }

    fn clear(&mut self) {
        for account in self.accounts.values_mut() {
            account.bucket.gain(self.credit_s);
            account.bucket.clear();
        }
    }
}

impl Account {
    /// Forgets grants whose tokens can no longer be spent.
    fn forget_spent(&mut self, now: MonotonicTime) {
        while let Some(oldest) = self.granted.front()
            && now.since(oldest.at) > self.life
        {
            self.unspent -= oldest.tokens;
            self.granted.pop_front();
        }
        if self.granted.is_empty() {
            self.unspent = 0.0;
        }
    }

    fn record(&mut self, id: u64, tokens: f64, now: MonotonicTime) {
        self.unspent += tokens;
        if self.granted.len() >= MAX_GRANTS
            && let Some(last) = self.granted.back_mut()
        {
            last.id = None;
            last.tokens += tokens;
            last.at = now;
            return;
        }
        self.granted.push_back(Granted {
            id: Some(id),
            tokens,
            at: now,
        });
    }

    fn take_back(&mut self, id: u64) -> bool {
        let Some(at) = self.granted.iter().rposition(|grant| grant.id == Some(id)) else {
            return false;
        };
        if self.bucket.tokens() + self.unspent > self.bucket.depth() {
            return false;
        }
        let Some(grant) = self.granted.remove(at) else {
            return false;
        };
        self.unspent -= grant.tokens;
        self.bucket.put_back(grant.tokens);
        true
    }

    /// Records tokens that were refused. Returns the time until they are expected, in seconds.
    fn record_refused(&mut self, missing: f64, keep: f64, now: MonotonicTime) -> f64 {
        let per_s = self.bucket.per_s();
        let short = (missing + keep - self.bucket.tokens()).max(0.0);
        let retry_s = (short + self.backlog) / per_s;
        // Every owner refuses the same request.
        self.add_backlog(missing / self.owners as f64, now);
        retry_s.min(MAX_RETRY_S)
    }

    fn add_backlog(&mut self, refused: f64, now: MonotonicTime) {
        let passed = now.since(self.backlog_at).as_secs_f64();
        self.backlog_at = now;
        self.backlog *= (-passed / BACKLOG_HALF_LIFE_S).exp2();
        // `max` and `min` ignore what is not a number.
        self.backlog = (self.backlog + refused.max(0.0)).min(MAX_RETRY_S * self.bucket.per_s());
    }
}
