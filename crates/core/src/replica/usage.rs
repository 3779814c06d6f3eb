use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::{Epoch, Incarnation, Offset, WindowId};
use crate::record::{Usage, UsageCounts, WindowReported, WindowSeal};

/// Windows before the last sealed one for which the totals of a silent gateway are kept. A gateway
/// that was silent for longer cannot add to windows of which it has flushed a part.
const TOTALS_KEPT: u64 = 64;

/// Reported windows that are kept for the operators.
const REPORTED_KEPT: usize = 64;

/// Gateway lives whose sequence numbers are kept: about a month of 130 restarts a day.
const COUNTERS_KEPT: usize = 4096;

/// Usage by window. Sealed figures never change.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageLedger {
    counters: BTreeMap<Incarnation, Counter>,
    open: BTreeMap<WindowId, Figures>,
    sealed: BTreeMap<WindowId, Sealed>,
    sealed_through: Option<WindowId>,
    reported: VecDeque<Sealed>,
    dropped: Usage,
}

/// Usage of one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Usage by client account in this window.
    pub accounts: BTreeMap<Box<str>, Usage>,
    /// Usage of earlier windows that came after those were sealed.
    pub late: BTreeMap<Box<str>, Usage>,
}

/// Window whose figures are fixed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Window.
    pub window: WindowId,
    /// Authority of the seal. Every repeat of the report carries it, so that repeats are equal.
    pub epoch: Epoch,
    /// Record that sealed it.
    pub seal: Offset,
    /// Fixed figures.
    pub figures: Figures,
}

/// What is known of the counts of one gateway life.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Counter {
    seq: u64,
    last: Offset,
    totals: BTreeMap<WindowId, BTreeMap<Box<str>, Usage>>,
    pruned_through: Option<WindowId>,
}

impl UsageLedger {
    /// Figures to report for a sealed window: a pure function of the log below its seal.
    pub fn report(&self, window: WindowId) -> Option<&Sealed> {
        self.sealed.get(&window)
    }

    /// Sealed windows that the platform has not taken yet, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = &Sealed> {
        self.sealed.values()
    }

    /// Recently reported windows, oldest first.
    pub fn reported_windows(&self) -> impl DoubleEndedIterator<Item = &Sealed> {
        self.reported.iter()
    }

    /// Windows with counts that are not sealed, oldest first.
    pub fn open(&self) -> impl Iterator<Item = (WindowId, &Figures)> {
        self.open.iter().map(|(window, figures)| (*window, figures))
    }

    /// Last sealed window. Counts of it and of earlier ones are late.
    pub fn sealed_through(&self) -> Option<WindowId> {
        self.sealed_through
    }

    /// Last sequence number of a gateway life that replay accepted.
    pub fn last_seq(&self, gateway: Incarnation) -> Option<u64> {
        self.counters.get(&gateway).map(|counter| counter.seq)
    }

    /// Counts that came too late to be told from counts already included.
    pub fn dropped(&self) -> Usage {
        self.dropped
    }

    pub(super) fn count(
        &mut self,
        offset: Offset,
        counts: &UsageCounts,
        recount: bool,
    ) -> Result<(), Reason> {
        let counter = self.counters.entry(counts.gateway).or_default();
        let deltas = counter.deltas(counts, recount)?;
        counter.seq = counts.seq;
        counter.last = offset;
        for delta in deltas {
            counter.note(&delta);
            let is_pruned = counter.pruned_through >= Some(delta.window);
            match self.sealed_through {
                _ if is_pruned => self.dropped = self.dropped.saturating_add(delta.usage),
                Some(sealed) if delta.window <= sealed => {
                    let next = WindowId(sealed.0.saturating_add(1));
                    let late = &mut self.open.entry(next).or_default().late;
                    add(late, delta.account, delta.usage);
                }
                _ => {
                    let accounts = &mut self.open.entry(delta.window).or_default().accounts;
                    add(accounts, delta.account, delta.usage);
                }
            }
        }
        if let Some(counter) = self.counters.get_mut(&counts.gateway) {
            counter.let_go(counts);
        }
        self.evict_counter();
        Ok(())
    }

    pub(super) fn seal(&mut self, offset: Offset, seal: &WindowSeal) -> Result<(), Reason> {
        if self
            .sealed_through
            .is_some_and(|sealed| seal.window <= sealed)
        {
            return Err(Reason::WindowSealed);
        }
        let first_open = self.open.keys().next();
        if first_open.is_some_and(|first| *first < seal.window) {
            return Err(Reason::EarlierWindowOpen);
        }
        let figures = self.open.remove(&seal.window).unwrap_or_default();
        let sealed = Sealed {
            window: seal.window,
            epoch: seal.epoch,
            seal: offset,
            figures,
        };
        self.sealed.insert(seal.window, sealed);
        self.sealed_through = Some(seal.window);
        self.prune_totals(seal.window);
        Ok(())
    }

    pub(super) fn reported(
        &mut self,
        _offset: Offset,
        reported: &WindowReported,
    ) -> Result<(), Reason> {
        let sealed = self
            .sealed
            .remove(&reported.window)
            .ok_or(match self.sealed_through {
                Some(sealed) if reported.window <= sealed => Reason::Exists,
                _ => Reason::WindowOpen,
            })?;
        if self.reported.len() == REPORTED_KEPT {
            self.reported.pop_front();
        }
        self.reported.push_back(sealed);
        Ok(())
    }

    fn prune_totals(&mut self, sealed: WindowId) {
        let Some(limit) = sealed.0.checked_sub(TOTALS_KEPT) else {
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
        if self.counters.len() <= COUNTERS_KEPT {
            return;
        }
        let idle = self.counters.iter().filter(|(_, c)| c.totals.is_empty());
        let oldest = idle.min_by_key(|(_, c)| c.last).map(|(id, _)| *id);
        oldest.map(|id| self.counters.remove(&id));
    }
}

/// Usage that a flush adds to what the ledger has of its gateway.
struct Delta<'a> {
    window: WindowId,
    account: &'a str,
    usage: Usage,
}

impl Counter {
    fn deltas<'a>(&self, counts: &'a UsageCounts, recount: bool) -> Result<Vec<Delta<'a>>, Reason> {
        if counts.seq <= self.seq {
            return Err(Reason::OldSequence);
        }
        let mut deltas = Vec::new();
        for (&window, accounts) in &counts.windows {
            for (account, &total) in accounts {
                let known = self.totals.get(&window).and_then(|t| t.get(account));
                let known = known.copied().unwrap_or_default();
                let usage = total.checked_sub(known).ok_or(Reason::CountDecreased)?;
                deltas.push(Delta {
                    window,
                    account,
                    usage: if recount { total } else { usage },
                });
            }
        }
        Ok(deltas)
    }

    /// Drops the totals of windows that the gateway will not add to: those before the last one of
    /// its flush that the flush leaves out.
    fn let_go(&mut self, counts: &UsageCounts) {
        let last = counts.windows.keys().next_back();
        self.totals
            .retain(|window, _| Some(window) >= last || counts.windows.contains_key(window));
    }

    fn note(&mut self, delta: &Delta<'_>) {
        if self.pruned_through < Some(delta.window) {
            let totals = self.totals.entry(delta.window).or_default();
            add(totals, delta.account, delta.usage);
        }
    }
}

fn add(sums: &mut BTreeMap<Box<str>, Usage>, account: &str, usage: Usage) {
    let sum = sums.entry(account.into()).or_default();
    *sum = sum.saturating_add(usage);
}
