//! Division of engine time among client accounts while it is short.
//!
//! Load pattern: one client account asks for ten times its part while eighty small ones ask for
//! their usual work, or all rates double within a tenth of a second. With one limit for all, each
//! account is refused alike, so what the one asks beyond its part is paid by the others.
//!
//! Each instance measures the engine time that each account asks for, and the time of the requests
//! that get their first result. From the sums over all instances follows the max-min level: the
//! work per account at which the requests of all accounts together take what the engines get done.
//! An account that asks for less is within its part. Of an account that asks for more, the same
//! fraction of requests is beyond its part on every instance, whatever their size. These are
//! admitted only while the queue is short (see [`decide_in_short_room`]), so the others do not wait
//! behind them. The idea is that of core-stateless fair queueing.
//!
//! The figures decide nothing while there is room: with a short queue, every request is admitted.
//!
//! [`decide_in_short_room`]: super::admission::decide_in_short_room

mod asked;
mod level;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

use super::exchange::Scope;
use super::urgency::{ByUrgency, CLASSES, Urgency};
use crate::average::half_life_decay;

use asked::AskedWork;
use level::Level;

/// Time between two reports to other instances, and between two updates of the levels.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Age from which a report of another instance no longer counts. Four in a row may be lost.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Half-life of the peak of the work done. Less work gets done while requests are refused than
/// engines could do, so the work of the last seconds counts as their capacity.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(3);

/// Maximum number of accounts of one urgency class in the report of one instance. An instance among
/// hundreds has about ten requests in the averaging window.
const MAX_OWN_ACCOUNTS: usize = 16;

/// Maximum number of accounts of one urgency class in a sum over instances. The level lies above
/// the work of all accounts that are left out, unless more accounts than these share the excess.
const MAX_SUMMED_ACCOUNTS: usize = 32;

/// Client account, given by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountTag(pub u32);

/// Work of one or more instances for one service, in milliseconds of engine time per second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Number of instances that it sums up.
    pub instances: u32,
    /// Work that was asked for.
    pub asked: ByUrgency<u32>,
    /// Work of the requests that got their first result.
    pub done: u32,
    /// Accounts that asked for most, in descending order.
    pub heavy: ByUrgency<Vec<(AccountTag, u32)>>,
}

impl WorkReport {
    /// Returns whether any work was asked for or done.
    pub fn has_work(&self) -> bool {
        self.done > 0 || self.asked.all().any(|asked| asked > 0)
    }
}

/// What is known of an account when one of its requests is decided on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Fraction of the account's work that is within its part, 0 to 1.
    pub fraction: f64,
    /// Work that the account asks for, in milliseconds of engine time per second. 0 if it is not
    /// among the accounts that ask for most.
    pub asked: f64,
    /// Max-min level of work per account in the same unit. `None` while there is room for all.
    pub level: Option<f64>,
    /// Number of instances behind the figures.
    pub instances: u32,
    /// Age of the oldest figures of other instances.
    pub age: Duration,
}

/// Shares of the client accounts in the engine time of one service.
#[derive(Debug)]
pub struct AccountShares<K> {
    own: AskedWork,
    received: BTreeMap<K, Received>,
    sum: Sum,
    /// Peak of the work done by all instances, as of `summed_at`.
    peak_done: f64,
    /// Time at which `sum` was last computed.
    summed_at: Option<MonotonicTime>,
}

#[derive(Debug)]
struct Received {
    at: MonotonicTime,
    scope: Scope,
    report: WorkReport,
}

/// Sums over all instances that are in touch, as of the last update.
#[derive(Debug, Default)]
struct Sum {
    instances: u32,
    /// Time of the oldest report. `None` if there is none.
    oldest: Option<MonotonicTime>,
    asked: ByUrgency<HashMap<AccountTag, u32>>,
    levels: ByUrgency<Option<Level>>,
}

impl<K> Default for AccountShares<K> {
    fn default() -> Self {
        Self {
            own: AskedWork::default(),
            received: BTreeMap::new(),
            sum: Sum::default(),
            peak_done: 0.0,
            summed_at: None,
        }
    }
}

impl<K: Copy + Ord> AccountShares<K> {
    /// Records a request that `account` brought, whether it is admitted or not. It takes `cost_ms`
    /// milliseconds of an engine's time.
    pub fn record_asked(
        &mut self,
        account: AccountTag,
        urgency: Urgency,
        cost_ms: f64,
        now: MonotonicTime,
    ) {
        self.own.record_asked(account, urgency, cost_ms, now);
    }

    /// Records that a request of `cost_ms` got its first result.
    pub fn record_done(&mut self, cost_ms: f64, now: MonotonicTime) {
        self.own.record_done(cost_ms, now);
    }

    /// Records the report of another instance, which replaces the previous one of that instance.
    /// The report of a relay to its follower sums up all instances and replaces all others.
    pub fn record_report(
        &mut self,
        from: K,
        scope: Scope,
        mut report: WorkReport,
        now: MonotonicTime,
    ) {
        for urgency in classes() {
            report.heavy[urgency].truncate(MAX_SUMMED_ACCOUNTS);
        }
        let is_total = scope == Scope::Others;
        self.received
            .retain(|_, received| !is_total && received.scope != Scope::Others);
        let received = Received {
            at: now,
            scope,
            report,
        };
        self.received.insert(from, received);
    }

    /// Returns the report for receivers of digests of `scope`: the work of this instance alone, of
    /// its group, or of all instances, the receiver included.
    pub fn report(&mut self, scope: Scope, now: MonotonicTime) -> WorkReport {
        self.sweep(now);
        let own = self.own.report(now, MAX_OWN_ACCOUNTS);
        let is_included = |received: &&Received| match scope {
            Scope::Own => false,
            Scope::Group => received.scope == Scope::Own,
            Scope::Others => received.scope != Scope::Others,
        };
        let received = self.received.values().filter(is_included);
        sum_reports(std::iter::once(&own).chain(received.map(|received| &received.report)))
    }

    /// Returns the work of all instances in touch.
    pub fn total(&mut self, now: MonotonicTime) -> WorkReport {
        self.sweep(now);
        let total = self
            .received
            .values()
            .find(|received| received.scope == Scope::Others)
            .map(|received| received.report.clone());
        total.unwrap_or_else(|| self.report(Scope::Others, now))
    }

    /// Returns the part of `account`, from what is known of all instances. While nothing is heard of
    /// the others, the own figures stand for all.
    pub fn part(&mut self, account: AccountTag, urgency: Urgency, now: MonotonicTime) -> Part {
        if self
            .summed_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL)
        {
            self.update(now);
        }
        let asked = self.sum.asked[urgency].get(&account).copied();
        let asked = f64::from(asked.unwrap_or(0));
        let level = self.sum.levels[urgency];
        Part {
            fraction: level.map_or(1.0, |level| level.fraction_within(asked)),
            asked,
            level: level.map(|level| level.work),
            instances: self.sum.instances,
            age: self
                .sum
                .oldest
                .map_or(Duration::ZERO, |oldest| now.since(oldest)),
        }
    }

    fn update(&mut self, now: MonotonicTime) {
        let since = self.summed_at.map_or(Duration::ZERO, |at| now.since(at));
        self.summed_at = Some(now);
        let total = self.total(now);
        let peak = self.peak_done * half_life_decay(since, PEAK_HALF_LIFE);
        self.peak_done = peak.max(f64::from(total.done));
        self.sum = Sum {
            instances: total.instances,
            oldest: self.received.values().map(|received| received.at).min(),
            levels: level::levels(&total, self.peak_done),
            asked: ByUrgency::default(),
        };
        for urgency in classes() {
            self.sum.asked[urgency].extend(total.heavy[urgency].iter().copied());
        }
    }

    fn sweep(&mut self, now: MonotonicTime) {
        self.received
            .retain(|_, received| now.since(received.at) < REPORT_TTL);
    }
}

/// Returns all urgency classes, the most urgent one first.
fn classes() -> impl Iterator<Item = Urgency> {
    (0..CLASSES as u8).map(Urgency::of_rank)
}

/// Sums up reports of different instances.
fn sum_reports<'a>(reports: impl Iterator<Item = &'a WorkReport>) -> WorkReport {
    let mut sum = WorkReport::default();
    let mut by_account: ByUrgency<HashMap<AccountTag, u32>> = ByUrgency::default();
    for report in reports {
        sum.instances = sum.instances.saturating_add(report.instances);
        sum.asked.zip_with(&report.asked, u32::saturating_add);
        sum.done = sum.done.saturating_add(report.done);
        for urgency in classes() {
            for (account, work) in &report.heavy[urgency] {
                let asked = by_account[urgency].entry(*account).or_default();
                *asked = asked.saturating_add(*work);
            }
        }
    }
    for urgency in classes() {
        sum.heavy[urgency] = by_account[urgency].drain().collect();
        keep_heaviest(&mut sum.heavy[urgency], MAX_SUMMED_ACCOUNTS);
    }
    sum
}

/// Sorts accounts by their work, in descending order, and keeps the first `count`.
fn keep_heaviest(accounts: &mut Vec<(AccountTag, u32)>, count: usize) {
    accounts.sort_unstable_by_key(|(account, work)| (std::cmp::Reverse(*work), *account));
    accounts.truncate(count);
}
