use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::{Fingerprint, Incarnation, Offset};
use crate::record::{CrashReport, ExclusiveRun, QuarantineClear};

/// Upstreams that one request may crash before it is refused.
const MAX_CRASHES: usize = 2;

/// Crashes whose identity is kept, to drop repeated reports.
const CRASHES_KEPT: usize = 1_024;

/// Suspect requests that are kept; beyond that the oldest is dropped and runs normally again.
const SUSPECTS_KEPT: usize = 4_096;

/// Requests that were running when an upstream crashed, and the lock for running one alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    crashes: VecDeque<Incarnation>,
    lock: Option<ExclusiveLock>,
    last_lock: Option<Offset>,
}

/// A request that was running during a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Record of the first crash report that names it.
    pub since: Offset,
    /// Crashes during which it was running.
    pub crashes: BTreeSet<Incarnation>,
    /// Upstreams that crashed, for the operators.
    pub upstreams: Vec<Box<str>>,
}

/// The right to run one suspect request alone; there is one in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExclusiveLock {
    /// Request that runs alone.
    pub fingerprint: Fingerprint,
    /// Life of the gateway that runs it.
    pub gateway: Incarnation,
    /// Record that took the lock.
    pub taken: Offset,
    /// Time after which another gateway may take it, counted from when that gateway read the
    /// record, in milliseconds.
    pub ttl_ms: u64,
}

impl Suspect {
    /// Whether it is refused.
    pub fn is_quarantined(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES
    }
}

impl Quarantine {
    /// State of a request, none if it is not suspect.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.suspects.get(&fingerprint)
    }

    /// Requests that are suspect or quarantined.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.suspects.iter().map(|(fp, suspect)| (*fp, suspect))
    }

    /// Current holder of the lock.
    pub fn lock(&self) -> Option<&ExclusiveLock> {
        self.lock.as_ref()
    }

    /// Last accepted record that took the lock, which the next one must name.
    pub fn last_lock(&self) -> Option<Offset> {
        self.last_lock
    }

    /// Whether a crash was reported, as far back as crashes are kept.
    pub fn knows_crash(&self, crash: Incarnation) -> bool {
        self.crashes.contains(&crash)
    }

    pub(super) fn crash(&mut self, offset: Offset, report: &CrashReport) -> Result<(), Reason> {
        if self.knows_crash(report.crash) {
            return Err(Reason::Exists);
        }
        if self.crashes.len() == CRASHES_KEPT {
            self.crashes.pop_front();
        }
        self.crashes.push_back(report.crash);
        for fingerprint in &report.running {
            let suspect = self.suspects.entry(*fingerprint).or_insert(Suspect {
                since: offset,
                ..Suspect::default()
            });
            if suspect.crashes.insert(report.crash) && suspect.upstreams.len() < MAX_CRASHES {
                suspect.upstreams.push(report.upstream.clone());
            }
            self.unlock(*fingerprint);
        }
        while self.suspects.len() > SUSPECTS_KEPT {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.since);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.suspects.remove(&fingerprint));
        }
        Ok(())
    }

    pub(super) fn clear(&mut self, clear: &QuarantineClear) -> Result<(), Reason> {
        self.unlock(clear.fingerprint);
        self.suspects
            .remove(&clear.fingerprint)
            .map(drop)
            .ok_or(Reason::Unknown)
    }

    /// Takes the lock or gives it back. It may be taken from a holder that names it in `prev`: the
    /// taker has waited for the holder's time to pass.
    pub(super) fn exclusive(
        &mut self,
        offset: Offset,
        run: &ExclusiveRun,
        any_prev: bool,
    ) -> Result<(), Reason> {
        if !run.taken {
            let is_held = self.lock.is_some_and(|lock| {
                lock.gateway == run.gateway && lock.fingerprint == run.fingerprint
            });
            if !is_held {
                return Err(Reason::NotHolder);
            }
            self.lock = None;
            return Ok(());
        }
        if run.prev != self.last_lock && !any_prev {
            return Err(Reason::Overtaken);
        }
        match self.suspects.get(&run.fingerprint) {
            None => return Err(Reason::Unknown),
            Some(suspect) if suspect.is_quarantined() => return Err(Reason::Overtaken),
            Some(_) => {}
        }
        self.last_lock = Some(offset);
        self.lock = Some(ExclusiveLock {
            fingerprint: run.fingerprint,
            gateway: run.gateway,
            taken: offset,
            ttl_ms: run.ttl_ms,
        });
        Ok(())
    }

    fn unlock(&mut self, fingerprint: Fingerprint) {
        self.lock = self.lock.filter(|lock| lock.fingerprint != fingerprint);
    }
}
