//! Limits per account that several gateways share with little talk.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use slotmap::SecondaryMap;

use crate::AccountKey;
use crate::average::kept;

/// Time over which served work is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// Rates of served work per account, own and of peers.
///
/// Each gateway gossips only the work it served itself since its last message. A lost message
/// loses that part of the count for `MEMORY` at most.
#[derive(Debug, Default)]
pub struct SharedLimit {
    accounts: SecondaryMap<AccountKey, Served>,
    total_share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Served {
    share: f64,
    limit: Option<f64>,
    work: f64,
    at: MonotonicTime,
    unsent: f64,
}

impl Served {
    fn decay(&mut self, now: MonotonicTime) {
        self.work *= kept(now.since(self.at), MEMORY);
        self.at = self.at.max(now);
    }
}

impl SharedLimit {
    /// Sets share and hard limit (engine seconds per second, none for no limit) of an account.
    pub fn set(&mut self, account: AccountKey, share: f64, limit: Option<f64>, now: MonotonicTime) {
        let share = share.max(f64::MIN_POSITIVE);
        let old = self.accounts.get(account).copied();
        self.total_share += share - old.map_or(0.0, |old| old.share);
        let base = old.unwrap_or(Served {
            share,
            limit,
            work: 0.0,
            at: now,
            unsent: 0.0,
        });
        self.accounts.insert(
            account,
            Served {
                share,
                limit,
                ..base
            },
        );
    }

    /// Counts work served by this gateway.
    pub fn served(&mut self, account: AccountKey, work: f64, now: MonotonicTime) {
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.decay(now);
            entry.work += work;
            entry.unsent += work;
        }
    }

    /// Counts work that a peer served.
    pub fn peer_served(&mut self, account: AccountKey, work: f64, now: MonotonicTime) {
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.decay(now);
            entry.work += work.max(0.0);
        }
    }

    /// Work to gossip: what this gateway served since the last call, by account.
    pub fn take_unsent(&mut self) -> Vec<(AccountKey, f64)> {
        self.accounts
            .iter_mut()
            .filter(|(_, entry)| entry.unsent > 0.0)
            .map(|(account, entry)| (account, std::mem::take(&mut entry.unsent)))
            .collect()
    }

    /// Engine seconds per second that the whole site served to an account lately.
    pub fn rate(&mut self, account: AccountKey, now: MonotonicTime) -> f64 {
        self.accounts.get_mut(account).map_or(0.0, |entry| {
            entry.decay(now);
            entry.work / MEMORY.as_secs_f64()
        })
    }

    /// Whether an account is over its hard limit across all gateways.
    pub fn is_over(&mut self, account: AccountKey, now: MonotonicTime) -> bool {
        let rate = self.rate(account, now);
        self.accounts
            .get(account)
            .and_then(|entry| entry.limit)
            .is_some_and(|limit| rate > limit)
    }

    /// Share of an account in all paid shares.
    pub fn share(&self, account: AccountKey) -> f64 {
        self.accounts.get(account).map_or(0.0, |entry| {
            entry.share / self.total_share.max(f64::MIN_POSITIVE)
        })
    }
}
