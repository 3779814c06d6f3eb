//! Predicates over what the nodes do, judged with the whole log in view.

use std::collections::{BTreeMap, BTreeSet};

use nutmegbay_core::ids::{Epoch, Offset, RecordId, WindowId};
use nutmegbay_core::orders::SendOrder;
use nutmegbay_core::record::LeaseRole;
use nutmegbay_core::replica::{Applied, Figures, Replica};
use nutmegbay_core::usage::SendUsageReport;

/// A withdrawn key is refused everywhere after this time.
const WITHDRAW_BOUND_MS: u64 = 4_000;

/// A fresh node is at most this far behind: 1.5 s by a clock that is up to 2 % slow.
const FRESH_BOUND_MS: u64 = 1_550;

/// Counts of this time before a kill may be lost: one flush interval and the append.
const LOSS_BOUND_MS: u64 = 1_500;

#[derive(Default)]
pub struct Oracle {
    /// State of the whole log, without deliberate faults.
    pub truth: Replica,
    /// Last accepted configuration by offset of the next record, and when that was reached.
    config: Vec<(u64, Option<Offset>)>,
    /// Keys that operators were told are withdrawn, by time.
    pub withdrawn: Vec<(u64, Box<str>)>,
    /// Effects by role and identity: epoch, node and end.
    effects: BTreeMap<(LeaseRole, u128), (Epoch, usize, u64)>,
    reports: BTreeMap<WindowId, (Epoch, Figures)>,
    taken_orders: BTreeSet<RecordId>,
    /// Highest configuration seen by each process.
    highest: BTreeMap<(usize, u32), Option<Offset>>,
    /// The one predicate that is judged, none for all of them.
    pub only: Option<&'static str>,
    broken: Option<String>,
}

/// State of a node that is sampled.
pub struct Sample<'a> {
    pub node: usize,
    pub life: u32,
    pub is_fresh: bool,
    pub replica: &'a Replica,
}

impl Oracle {
    pub fn verdict(&self) -> Result<(), String> {
        self.broken.clone().map_or(Ok(()), Err)
    }

    pub fn is_broken(&self) -> bool {
        self.broken.is_some()
    }

    pub fn require(&mut self, holds: bool, predicate: &str, detail: impl FnOnce() -> String) {
        let is_judged = self.only.is_none_or(|only| only == predicate);
        if !holds && is_judged && self.broken.is_none() {
            self.broken = Some(format!("{predicate}: {}", detail()));
        }
    }

    /// Follows the log.
    pub fn on_record(&mut self, t: u64, text: &str) -> Applied {
        if self.config.is_empty() {
            self.config.push((0, None));
        }
        let applied = self.truth.apply(self.truth.next(), text);
        self.config.push((t, self.truth.config().last()));
        applied
    }

    /// Effects under a lease never overlap between two holders.
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
        let conflict = others.iter().find_map(|(_, (other, holder, busy))| {
            let is_old = *other > epoch;
            let overlaps = *other != epoch && *busy > t;
            let detail = format!("node {holder} under {other} until {busy}");
            (is_old || overlaps).then_some(detail)
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

    /// At any moment at most one process may act under a lease.
    pub fn on_holders(&mut self, role: LeaseRole, holders: &[(usize, Epoch)]) {
        self.require(holders.len() <= 1, "lease overlap", || {
            format!("{role}: {holders:?} may act at once")
        });
    }

    /// An engine or the platform takes an order for the first time only while it is the one
    /// outstanding order for its target.
    pub fn on_order(&mut self, order: &SendOrder) {
        if !self.taken_orders.insert(order.order) {
            return;
        }
        let outstanding = self.truth.orders().outstanding().iter();
        let same_target = outstanding.filter(|o| o.command.conflicts_with(&order.command));
        let expected: Vec<_> = same_target.map(|o| o.order).collect();
        self.require(expected == [order.order], "order conflict", || {
            format!("{order:?} was taken while {expected:?} were outstanding")
        });
    }

    /// One figure per window, the sealed one.
    pub fn on_report(&mut self, report: &SendUsageReport) {
        let usage = self.truth.usage();
        let reported = usage.reported_windows();
        let sealed = usage.report(report.window);
        let sealed = sealed.or_else(|| reported.rev().find(|s| s.window == report.window));
        let sealed = sealed.map(|s| (s.epoch, s.figures.clone()));
        let figure = (report.epoch, report.figures.clone());
        self.require(sealed.as_ref() == Some(&figure), "window figure", || {
            format!(
                "window {} reported {figure:?}, sealed {sealed:?}",
                report.window
            )
        });
        let first = self.reports.entry(report.window).or_insert(figure.clone());
        let differs = (*first != figure).then(|| format!("{first:?} then {figure:?}"));
        self.require(differs.is_none(), "window figure", || {
            differs.unwrap_or_default()
        });
    }

    /// Accepted configurations never go back, and all fresh nodes agree.
    pub fn on_sample(&mut self, t: u64, sample: &Sample<'_>) {
        let last = sample.replica.config().last();
        let place = usize::try_from(sample.replica.next().0).unwrap_or(0);
        let expected = self.config.get(place).and_then(|entry| entry.1);
        let node = sample.node;
        self.require(last == expected, "configuration", || {
            format!("node {node} has {last:?} where the log says {expected:?}")
        });
        let highest = self.highest.entry((node, sample.life)).or_default();
        let went_back = last < *highest;
        *highest = last.max(*highest);
        self.require(!went_back, "configuration", || {
            format!("node {node} went back to {last:?}")
        });
        if sample.is_fresh {
            let due = t.saturating_sub(FRESH_BOUND_MS);
            let known = self.config.iter().rev().find(|(at, _)| *at <= due);
            let known = known.and_then(|entry| entry.1);
            self.require(last >= known, "configuration", || {
                format!("node {node} is fresh with {last:?} and lacks {known:?}")
            });
        }
    }

    /// Withdrawn keys that every node must refuse by now.
    pub fn dead_keys(&self, t: u64) -> impl Iterator<Item = &str> {
        self.withdrawn
            .iter()
            .filter(move |(at, _)| t > at + WITHDRAW_BOUND_MS)
            .map(|(_, key)| &**key)
    }

    pub fn on_key_accepted(&mut self, node: usize, t: u64, key: &str) {
        let at = self.withdrawn.iter().find(|(_, k)| **k == *key);
        let at = at.map(|entry| entry.0);
        self.require(false, "withdrawn key", || {
            format!("node {node} serves {key} at {t}, withdrawn at {at:?}")
        });
    }

    /// No counts are lost but those of the last moments of a killed process, none count twice.
    pub fn on_end_of_life(&mut self, account: &str, served: &[u64], end: &End) {
        let usage = self.truth.usage();
        let open = usage.open().map(|(_, figures)| figures);
        let sealed = usage.unreported().chain(usage.reported_windows());
        let figures = open.chain(sealed.map(|sealed| &sealed.figures));
        let counted: u64 = figures
            .flat_map(|f| {
                f.accounts
                    .get(account)
                    .into_iter()
                    .chain(f.late.get(account))
            })
            .map(|usage| usage.calls)
            .sum();
        let limit = match end {
            End::Alive => u64::MAX,
            End::Killed { at } => at.saturating_sub(LOSS_BOUND_MS),
            End::KilledInFault => 0,
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
pub enum End {
    Alive,
    /// Killed while its appends went through.
    Killed {
        at: u64,
    },
    /// Killed while the log was out of its reach.
    KilledInFault,
}
