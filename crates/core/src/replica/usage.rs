use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::{Epoch, Incarnation, Offset, WindowId};
use crate::record::{Usage, UsageCounts, WindowReported, WindowSeal};

/// Number of windows before the last sealed one for which the totals of a gateway are kept. After a
/// longer time without a flush, a gateway cannot add to windows of which it has flushed counts.
const MAX_TOTALS_AGE: u64 = 64;

/// Maximum number of reported windows, which are kept for operators.
const MAX_REPORTED: usize = 64;

/// Maximum number of gateway incarnations whose sequence numbers are kept: about a month of 130
/// restarts a day.
const MAX_COUNTERS: usize = 4096;

/// Usage by window. The usage of a sealed window never changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageLedger {
    counters: BTreeMap<Incarnation, GatewayCounter>,
    open: BTreeMap<WindowId, WindowUsage>,
    sealed: BTreeMap<WindowId, SealedUsage>,
    sealed_through: Option<WindowId>,
    reported: VecDeque<SealedUsage>,
    dropped: Usage,
}

/// Usage of one window by client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// Usage within this window.
    pub accounts: BTreeMap<Box<str>, Usage>,
    /// Usage of earlier windows whose counts were read after those windows were sealed.
    pub late: BTreeMap<Box<str>, Usage>,
}

/// Sealed window with its final usage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedUsage {
    /// Window that was sealed.
    pub window: WindowId,
    /// Fencing number of the seal. Every repeat of the report carries it, so that repeats are
    /// equal.
    pub epoch: Epoch,
    /// Offset of the record that sealed it.
    pub seal: Offset,
    /// Usage as of the seal.
    #[serde(rename = "figures")]
    pub usage: WindowUsage,
}

/// Cumulative counts of one gateway incarnation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct GatewayCounter {
    seq: u64,
    /// Offset of the last accepted record.
    last: Offset,
    totals: BTreeMap<WindowId, BTreeMap<Box<str>, Usage>>,
    /// Last window whose totals were dropped because of their age.
    pruned_through: Option<WindowId>,
}

impl UsageLedger {
    /// Usage to report for a sealed window that is not reported yet. It depends only on the log
    /// below the seal.
    pub fn report(&self, window: WindowId) -> Option<&SealedUsage> {
        self.sealed.get(&window)
    }

    /// Sealed windows whose report the platform has not accepted yet, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = &SealedUsage> {
        self.sealed.values()
    }

    /// Recently reported windows, oldest first.
    pub fn reported_windows(&self) -> impl DoubleEndedIterator<Item = &SealedUsage> {
        self.reported.iter()
    }

    /// Windows that have counts and are not sealed, oldest first.
    pub fn open(&self) -> impl Iterator<Item = (WindowId, &WindowUsage)> {
        self.open.iter().map(|(window, usage)| (*window, usage))
    }

    /// Last sealed window. Further counts of it and of earlier windows are late.
    pub fn sealed_through(&self) -> Option<WindowId> {
        self.sealed_through
    }

    /// Last accepted sequence number of a gateway incarnation.
    pub fn last_seq(&self, gateway: Incarnation) -> Option<u64> {
        self.counters.get(&gateway).map(|counter| counter.seq)
    }

    /// Usage that was dropped because it was read too late to tell whether it is already included.
    pub fn dropped(&self) -> Usage {
        self.dropped
    }

    pub(super) fn add_counts(
        &mut self,
        offset: Offset,
        counts: &UsageCounts,
        recount_totals: bool,
    ) -> Result<(), RejectReason> {
        let counter = self.counters.entry(counts.gateway).or_default();
        let deltas = counter.deltas(counts, recount_totals)?;
        counter.seq = counts.seq;
        counter.last = offset;
        for delta in deltas {
            counter.add_delta(&delta);
            let is_pruned = counter.pruned_through >= Some(delta.window);
            match self.sealed_through {
                _ if is_pruned => self.dropped = self.dropped.saturating_add(delta.usage),
                Some(sealed) if delta.window <= sealed => {
                    let next = WindowId(sealed.0.saturating_add(1));
                    let late = &mut self.open.entry(next).or_default().late;
                    add_usage(late, delta.account, delta.usage);
                }
                _ => {
                    let accounts = &mut self.open.entry(delta.window).or_default().accounts;
                    add_usage(accounts, delta.account, delta.usage);
                }
            }
        }
        if let Some(counter) = self.counters.get_mut(&counts.gateway) {
            counter.drop_final_totals(counts);
        }
        self.evict_counter();
        Ok(())
    }

    pub(super) fn seal(&mut self, offset: Offset, seal: &WindowSeal) -> Result<(), RejectReason> {
        if self
            .sealed_through
            .is_some_and(|sealed| seal.window <= sealed)
        {
            return Err(RejectReason::WindowSealed);
        }
        let oldest_open = self.open.keys().next();
        if oldest_open.is_some_and(|oldest| *oldest < seal.window) {
            return Err(RejectReason::EarlierWindowOpen);
        }
        let usage = self.open.remove(&seal.window).unwrap_or_default();
        let sealed = SealedUsage {
            window: seal.window,
            epoch: seal.epoch,
            seal: offset,
            usage,
        };
        self.sealed.insert(seal.window, sealed);
        self.sealed_through = Some(seal.window);
        self.prune_totals(seal.window);
        Ok(())
    }

    pub(super) fn mark_reported(
        &mut self,
        _offset: Offset,
        reported: &WindowReported,
    ) -> Result<(), RejectReason> {
        let sealed = self
            .sealed
            .remove(&reported.window)
            .ok_or(match self.sealed_through {
                Some(sealed) if reported.window <= sealed => RejectReason::Exists,
                _ => RejectReason::WindowOpen,
            })?;
        if self.reported.len() == MAX_REPORTED {
            self.reported.pop_front();
        }
        self.reported.push_back(sealed);
        Ok(())
    }

    fn prune_totals(&mut self, sealed: WindowId) {
        let Some(limit) = sealed.0.checked_sub(MAX_TOTALS_AGE) else {
            return;
        };
        for counter in self.counters.values_mut() {
            while let Some(entry) = counter.totals.first_entry()
                && entry.key().0 <= limit
            {
                counter.pruned_through = counter.pruned_through.max(Some(*entry.key()));
                entry.remove();
            }
        }
    }

    fn evict_counter(&mut self) {
        if self.counters.len() <= MAX_COUNTERS {
            return;
        }
        let idle = self.counters.iter().filter(|(_, c)| c.totals.is_empty());
        let oldest = idle.min_by_key(|(_, c)| c.last).map(|(id, _)| *id);
        oldest.map(|id| self.counters.remove(&id));
    }
}

/// Usage that a flush adds to the totals of its gateway.
struct UsageDelta<'a> {
    window: WindowId,
    account: &'a str,
    usage: Usage,
}

impl GatewayCounter {
    fn deltas<'a>(
        &self,
        counts: &'a UsageCounts,
        recount_totals: bool,
    ) -> Result<Vec<UsageDelta<'a>>, RejectReason> {
        if counts.seq <= self.seq {
            return Err(RejectReason::OldSequence);
        }
        let mut deltas = Vec::new();
        for (&window, accounts) in &counts.windows {
            for (account, &total) in accounts {
                let known = self.totals.get(&window).and_then(|t| t.get(account));
                let known = known.copied().unwrap_or_default();
                let usage = total
                    .checked_sub(known)
                    .ok_or(RejectReason::CountDecreased)?;
                deltas.push(UsageDelta {
                    window,
                    account,
                    usage: if recount_totals { total } else { usage },
                });
            }
        }
        Ok(deltas)
    }

    /// Drops the totals of windows to which the gateway adds nothing more: those that its flush
    /// leaves out, although it has a later window.
    fn drop_final_totals(&mut self, counts: &UsageCounts) {
        let last = counts.windows.keys().next_back();
        self.totals
            .retain(|window, _| Some(window) >= last || counts.windows.contains_key(window));
    }

    fn add_delta(&mut self, delta: &UsageDelta<'_>) {
        if self.pruned_through < Some(delta.window) {
            let totals = self.totals.entry(delta.window).or_default();
            add_usage(totals, delta.account, delta.usage);
        }
    }
}

fn add_usage(sums: &mut BTreeMap<Box<str>, Usage>, account: &str, usage: Usage) {
    let sum = sums.entry(account.into()).or_default();
    *sum = sum.saturating_add(usage);
}
