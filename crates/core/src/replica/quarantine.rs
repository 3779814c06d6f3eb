use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::{Fingerprint, Incarnation, Offset};
use crate::record::{CrashReport, ExclusiveRun, QuarantineClear};

/// Number of crashes during which a request must have been running to be refused.
const MAX_CRASHES: usize = 2;

/// Maximum number of crash identities that are kept to reject repeated reports.
const MAX_KNOWN_CRASHES: usize = 1_024;

/// Maximum number of suspect requests. Beyond it the oldest is dropped and runs normally again.
const MAX_SUSPECTS: usize = 4_096;

/// Requests that were running when an upstream crashed, and the lock for running one of them alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    crashes: VecDeque<Incarnation>,
    lock: Option<ExclusiveLock>,
    last_lock: Option<Offset>,
}

/// Request that was running on an upstream when it crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Offset of the first crash report that names it.
    pub since: Offset,
    /// Identities of the crashes during which it was running.
    pub crashes: BTreeSet<Incarnation>,
    /// Upstreams that crashed, for operators.
    pub upstreams: Vec<Box<str>>,
}

/// Right to run one suspect request alone. There is one such lock for all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExclusiveLock {
    /// Fingerprint of the request that runs alone.
    pub fingerprint: Fingerprint,
    /// Incarnation of the gateway that runs it.
    pub gateway: Incarnation,
    /// Offset of the record that took the lock.
    pub taken: Offset,
    /// Time in milliseconds after which another gateway may take the lock, counted from when that
    /// gateway read the record.
    pub ttl_ms: u64,
}

impl Suspect {
    /// Whether the request was running during so many crashes that it is refused.
    pub fn is_quarantined(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES
    }
}

impl Quarantine {
    /// State of a request, `None` if it is not suspect.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.suspects.get(&fingerprint)
    }

    /// All suspect requests, quarantined or not.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.suspects.iter().map(|(fp, suspect)| (*fp, suspect))
    }

    /// The lock, `None` while it is free.
    pub fn lock(&self) -> Option<&ExclusiveLock> {
        self.lock.as_ref()
    }

    /// Last accepted record that took the lock, which the next one must name in `prev`.
    pub fn last_lock(&self) -> Option<Offset> {
        self.last_lock
    }

    /// Whether a crash was reported, as far back as crash identities are kept.
    pub fn is_crash_reported(&self, crash: Incarnation) -> bool {
        self.crashes.contains(&crash)
    }

    pub(super) fn add_crash(
        &mut self,
        offset: Offset,
        report: &CrashReport,
    ) -> Result<(), RejectReason> {
        if self.is_crash_reported(report.crash) {
            return Err(RejectReason::Exists);
        }
        if self.crashes.len() == MAX_KNOWN_CRASHES {
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
            self.release_lock_of(*fingerprint);
        }
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.since);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.suspects.remove(&fingerprint));
        }
        Ok(())
    }

    pub(super) fn clear(&mut self, clear: &QuarantineClear) -> Result<(), RejectReason> {
        self.release_lock_of(clear.fingerprint);
        self.suspects
            .remove(&clear.fingerprint)
            .map(drop)
            .ok_or(RejectReason::Unknown)
    }

    /// Takes or releases the lock. A record that names the last lock record in `prev` takes the
    /// lock even if it is held: its author has waited until the time of the holder passed.
    pub(super) fn change_lock(
        &mut self,
        offset: Offset,
        run: &ExclusiveRun,
        ignore_prev: bool,
    ) -> Result<(), RejectReason> {
        if !run.taken {
            let is_held = self.lock.is_some_and(|lock| {
                lock.gateway == run.gateway && lock.fingerprint == run.fingerprint
            });
            if !is_held {
                return Err(RejectReason::NotHolder);
            }
            self.lock = None;
            return Ok(());
        }
        if run.prev != self.last_lock && !ignore_prev {
            return Err(RejectReason::Overtaken);
        }
        match self.suspects.get(&run.fingerprint) {
            None => return Err(RejectReason::Unknown),
            Some(suspect) if suspect.is_quarantined() => return Err(RejectReason::Overtaken),
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

    fn release_lock_of(&mut self, fingerprint: Fingerprint) {
        self.lock = self.lock.filter(|lock| lock.fingerprint != fingerprint);
    }
}
