//! Rate limits per account that gateways share with few messages.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use slotmap::SecondaryMap;

use crate::AccountKey;
use crate::average::exponential_decay;

/// Time constant of the average of served work.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Rates of served work per account, summed over this gateway and its peers.
///
/// Each gateway gossips only the work that it served itself since its last message. If a message is
/// lost, peers miss that work, and the error decays with `RATE_TIME_CONSTANT`.
#[derive(Debug, Default)]
pub struct SharedLimit {
    accounts: SecondaryMap<AccountKey, AccountUsage>,
    total_share: f64,
}

#[derive(Debug, Clone, Copy)]
struct AccountUsage {
    share: f64,
    limit: Option<f64>,
    work: f64,
    updated_at: MonotonicTime,
    unsent: f64,
}

impl AccountUsage {
    fn decay(&mut self, now: MonotonicTime) {
        self.work *= exponential_decay(now.since(self.updated_at), RATE_TIME_CONSTANT);
        self.updated_at = self.updated_at.max(now);
    }
}

impl SharedLimit {
    /// Sets the paid share and the hard limit of an account. The limit is in engine seconds per
    /// second; `None` is unlimited.
    pub fn set(&mut self, account: AccountKey, share: f64, limit: Option<f64>, now: MonotonicTime) {
        let share = share.max(f64::MIN_POSITIVE);
        let old = self.accounts.get(account).copied();
        self.total_share += share - old.map_or(0.0, |old| old.share);
        let base = old.unwrap_or(AccountUsage {
            share,
            limit,
            work: 0.0,
            updated_at: now,
            unsent: 0.0,
        });
        self.accounts.insert(
            account,
            AccountUsage {
                share,
                limit,
                ..base
            },
        );
    }

    /// Adds `work` engine seconds served by this gateway.
    pub fn record_served(&mut self, account: AccountKey, work: f64, now: MonotonicTime) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.decay(now);
            usage.work += work;
            usage.unsent += work;
        }
    }

    /// Adds `work` engine seconds that a peer served.
    pub fn record_peer_served(&mut self, account: AccountKey, work: f64, now: MonotonicTime) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.decay(now);
            usage.work += work.max(0.0);
        }
    }

    /// Returns the work to gossip: the engine seconds that this gateway served since the last call,
    /// by account.
    pub fn take_unsent(&mut self) -> Vec<(AccountKey, f64)> {
        self.accounts
            .iter_mut()
            .filter(|(_, usage)| usage.unsent > 0.0)
            .map(|(account, usage)| (account, std::mem::take(&mut usage.unsent)))
            .collect()
    }

    /// Returns the recent rate of work that the whole site served to an account, in engine seconds
    /// per second.
    pub fn rate(&mut self, account: AccountKey, now: MonotonicTime) -> f64 {
        self.accounts.get_mut(account).map_or(0.0, |usage| {
            usage.decay(now);
            usage.work / RATE_TIME_CONSTANT.as_secs_f64()
        })
    }

    /// Returns whether an account exceeds its hard limit across all gateways.
    pub fn exceeds_limit(&mut self, account: AccountKey, now: MonotonicTime) -> bool {
        let rate = self.rate(account, now);
        self.accounts
            .get(account)
            .and_then(|usage| usage.limit)
            .is_some_and(|limit| rate > limit)
    }

    /// Returns the account's share as a fraction of the paid shares of all accounts.
    pub fn share_fraction(&self, account: AccountKey) -> f64 {
        self.accounts.get(account).map_or(0.0, |usage| {
            usage.share / self.total_share.max(f64::MIN_POSITIVE)
        })
    }
}
