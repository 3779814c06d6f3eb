//! Predicates over the actions of all nodes, checked against the whole log.

use std::collections::{BTreeMap, BTreeSet};

use nutmegbay_core::ids::{Epoch, Offset, RecordId, WindowId};
use nutmegbay_core::orders::SendOrder;
use nutmegbay_core::record::LeaseRole;
use nutmegbay_core::replica::{Applied, Replica, WindowUsage};
use nutmegbay_core::usage::SendUsageReport;

/// Maximum time until all nodes refuse a withdrawn key.
const WITHDRAW_BOUND_MS: u64 = 4_000;

/// Maximum lag of a fresh node: 1.5 s on a clock that is up to 2 % slow.
const FRESH_BOUND_MS: u64 = 1_550;

/// Maximum time before a kill whose counts may be lost: one flush interval and the append.
const LOSS_BOUND_MS: u64 = 1_500;

#[derive(Default)]
pub struct Oracle {
    /// State of the whole log, replayed without deliberate faults.
    pub reference: Replica,
    /// Time of each record and last accepted configuration after it, by offset of the next record.
    configs: Vec<(u64, Option<Offset>)>,
    /// Keys whose withdrawal was accepted, with its time.
    pub withdrawn: Vec<(u64, Box<str>)>,
    /// Effects by role and identity: fencing number, node and end.
    effects: BTreeMap<(LeaseRole, u128), (Epoch, usize, u64)>,
    reports: BTreeMap<WindowId, (Epoch, WindowUsage)>,
    executed_orders: BTreeSet<RecordId>,
    /// Latest configuration that each process had.
    latest_configs: BTreeMap<(usize, u32), Option<Offset>>,
    /// The only predicate that is checked, `None` to check all.
    pub only: Option<&'static str>,
    /// First violation.
    violation: Option<String>,
}

/// State of a running node.
pub struct Sample<'a> {
    pub node: usize,
    pub boot: u32,
    pub is_fresh: bool,
    pub replica: &'a Replica,
}

impl Oracle {
    pub fn verdict(&self) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    pub fn is_violated(&self) -> bool {
        self.violation.is_some()
    }

    /// Records a violation of `predicate` unless the condition holds.
    pub fn require(&mut self, holds: bool, predicate: &str, detail: impl FnOnce() -> String) {
        let is_checked = self.only.is_none_or(|only| only == predicate);
        if !holds && is_checked && self.violation.is_none() {
            self.violation = Some(format!("{predicate}: {}", detail()));
        }
    }

    /// Applies the next record of the log.
    pub fn on_record(&mut self, t: u64, text: &str) -> Applied {
        if self.configs.is_empty() {
            self.configs.push((0, None));
        }
        let applied = self.reference.apply(self.reference.next(), text);
        self.configs.push((t, self.reference.config().last()));
        applied
    }

    /// An effect under a lease starts: it must not overlap with an effect of another holder.
    pub fn on_effect(
        &mut self,
        id: (LeaseRole, u128),
        epoch: Epoch,
        node: usize,
        t: u64,
        end: u64,
    ) {
        let role = id.0;
        let others: Vec<_> = self
            .effects
            .iter()
            .filter(|entry| entry.0.0 == role)
            .collect();
        let conflict = others.iter().find_map(|(_, (other, holder, until))| {
            let is_outdated = *other > epoch;
            let overlaps = *other != epoch && *until > t;
            let detail = format!("node {holder} under {other} until {until}");
            (is_outdated || overlaps).then_some(detail)
        });
        self.require(conflict.is_none(), "lease overlap", || {
            format!("{role}: node {node} acted at {t} under {epoch}, {conflict:?}")
        });
        self.effects.insert(id, (epoch, node, end));
    }

    /// An effect was answered before its deadline.
    pub fn on_effect_end(&mut self, id: (LeaseRole, u128), t: u64) {
        if let Some(effect) = self.effects.get_mut(&id) {
            effect.2 = effect.2.min(t);
        }
    }

    /// At any time, at most one process may act under a lease.
    pub fn on_holders(&mut self, role: LeaseRole, holders: &[(usize, Epoch)]) {
        self.require(holders.len() <= 1, "lease overlap", || {
            format!("{role}: {holders:?} may act at once")
        });
    }

    /// An engine or the platform executes an order: it must be the only outstanding order for its
    /// target. Repeats have no effect.
    pub fn on_order(&mut self, order: &SendOrder) {
        if !self.executed_orders.insert(order.order) {
            return;
        }
        let outstanding = self.reference.orders().outstanding().iter();
        let same_target = outstanding.filter(|o| o.command.conflicts_with(&order.command));
        let expected: Vec<_> = same_target.map(|o| o.order).collect();
        self.require(expected == [order.order], "order conflict", || {
            format!("{order:?} was executed while {expected:?} were outstanding")
        });
    }

    /// A window is reported: with the sealed usage, and with the same usage in every report.
    pub fn on_report(&mut self, report: &SendUsageReport) {
        let usage = self.reference.usage();
        let reported_windows = usage.reported_windows();
        let sealed = usage.report(report.window);
        let sealed = sealed.or_else(|| reported_windows.rev().find(|s| s.window == report.window));
        let sealed = sealed.map(|s| (s.epoch, s.usage.clone()));
        let reported = (report.epoch, report.usage.clone());
        self.require(sealed.as_ref() == Some(&reported), "window figure", || {
            format!(
                "window {} reported {reported:?}, sealed {sealed:?}",
                report.window
            )
        });
        let first = self
            .reports
            .entry(report.window)
            .or_insert(reported.clone());
        let difference = (*first != reported).then(|| format!("{first:?} then {reported:?}"));
        self.require(difference.is_none(), "window figure", || {
            difference.unwrap_or_default()
        });
    }

    /// A node never replaces a configuration by an older one, and all fresh nodes have the same
    /// one.
    pub fn on_sample(&mut self, t: u64, sample: &Sample<'_>) {
        let last = sample.replica.config().last();
        let index = usize::try_from(sample.replica.next().0).unwrap_or(0);
        let expected = self.configs.get(index).and_then(|entry| entry.1);
        let node = sample.node;
        self.require(last == expected, "configuration", || {
            format!("node {node} has {last:?} where the log says {expected:?}")
        });
        let latest = self.latest_configs.entry((node, sample.boot)).or_default();
        let is_older = last < *latest;
        *latest = last.max(*latest);
        self.require(!is_older, "configuration", || {
            format!("node {node} returned to the older {last:?}")
        });
        if sample.is_fresh {
            let due = t.saturating_sub(FRESH_BOUND_MS);
            let required = self.configs.iter().rev().find(|(at, _)| *at <= due);
            let required = required.and_then(|entry| entry.1);
            self.require(last >= required, "configuration", || {
                format!("node {node} is fresh with {last:?} and lacks {required:?}")
            });
        }
    }

    /// Withdrawn keys that every node must refuse at `t`.
    pub fn refused_keys(&self, t: u64) -> impl Iterator<Item = &str> {
        self.withdrawn
            .iter()
            .filter(move |(at, _)| t > at + WITHDRAW_BOUND_MS)
            .map(|(_, key)| &**key)
    }

    /// A node accepts a key that it must refuse.
    pub fn on_key_accepted(&mut self, node: usize, t: u64, key: &str) {
        let at = self.withdrawn.iter().find(|(_, k)| **k == *key);
        let at = at.map(|entry| entry.0);
        self.require(false, "withdrawn key", || {
            format!("node {node} serves {key} at {t}, withdrawn at {at:?}")
        });
    }

    /// All calls of a process are counted once, except those in the last [`LOSS_BOUND_MS`] before
    /// it was killed, which may be missing.
    pub fn on_process_end(&mut self, account: &str, served: &[u64], end: &ProcessEnd) {
        let usage = self.reference.usage();
        let open = usage.open().map(|(_, open)| open);
        let sealed = usage.unreported().chain(usage.reported_windows());
        let windows = open.chain(sealed.map(|sealed| &sealed.usage));
        let counted: u64 = windows
            .flat_map(|window| {
                window
                    .accounts
                    .get(account)
                    .into_iter()
                    .chain(window.late.get(account))
            })
            .map(|usage| usage.calls)
            .sum();
        let limit = match end {
            ProcessEnd::Planned => u64::MAX,
            ProcessEnd::Killed { at } => at.saturating_sub(LOSS_BOUND_MS),
            ProcessEnd::KilledInFault => 0,
        };
        let required = served.iter().filter(|t| **t <= limit).count() as u64;
        let all = served.len() as u64;
        self.require(counted >= required && counted <= all, "lost counts", || {
            format!("{account}: counted {counted}, expected {required} to {all}, {end:?}")
        });
    }
}

/// How a process ended.
#[derive(Debug, Clone, Copy)]
pub enum ProcessEnd {
    /// Stopped as planned, or still running at the end of the history.
    Planned,
    /// Killed while the log was reachable.
    Killed { at: u64 },
    /// Killed while the log was unreachable, or soon after.
    KilledInFault,
}
