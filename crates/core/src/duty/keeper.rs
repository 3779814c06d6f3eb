use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::windows::SealedWindow;
use crate::environment::MonotonicTime;
use crate::ids::{Epoch, Incarnation};
use crate::lease::LeaseTiming;

/// Maximum number of sealed windows in the record, which a new holder reports again with the same
/// figures.
const MAX_SEALED_WINDOWS: usize = 6;

/// Content of the register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Instance that holds the duties.
    pub holder: Box<str>,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// Fencing number, incremented with each new holder.
    pub fencing: Epoch,
    /// Holder before this one. It waits the whole term even after a release, so that two processes
    /// do not alternate within one term.
    #[serde(default, rename = "before")]
    pub previous_holder: Box<str>,
    /// Whether the holder has released the duties.
    #[serde(default)]
    pub released: bool,
    /// Sealed windows, oldest first.
    #[serde(default)]
    pub sealed: Vec<SealedWindow>,
}

/// Action that the embedder has to perform next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyStep {
    /// Replace the record if the register still ends at `position`. [`DutyKeeper::on_write_sent`]
    /// is to be called first.
    Write {
        /// Position at which the register must end.
        position: u64,
        /// New content of the register.
        record: DutyRecord,
    },
    /// Wait until this time has passed or the register changes.
    Wait(Duration),
}

/// Decides when a process claims, renews and releases the duties.
///
/// The holder counts its term from before it sent the accepted record, every other process from
/// when it read that record, as with [`crate::lease::LeaseKeeper`].
#[derive(Debug)]
pub struct DutyKeeper {
    instance: Box<str>,
    incarnation: Incarnation,
    timing: LeaseTiming,
    record: Option<DutyRecord>,
    /// Position after the record, where the register must end for the next write.
    end: u64,
    read_at: Option<MonotonicTime>,
    /// Write whose result is unknown: its position and when it was sent.
    sent_write: Option<(u64, MonotonicTime)>,
    term_end: Option<MonotonicTime>,
    renewed_at: MonotonicTime,
    is_stopping: bool,
}

impl DutyKeeper {
    /// Creates the keeper of a process that has not read the register yet.
    pub fn new(instance: &str, incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            timing,
            record: None,
            end: 0,
            read_at: None,
            sent_write: None,
            term_end: None,
            renewed_at: MonotonicTime::default(),
            is_stopping: false,
        }
    }

    /// Handles the content of the register as read at `now`: its record, if any, and its end.
    pub fn on_read(&mut self, now: MonotonicTime, record: Option<DutyRecord>, end: u64) {
        if self.read_at.is_some() && end <= self.end {
            return;
        }
        let is_own = record
            .as_ref()
            .is_some_and(|record| self.is_own(record) && !record.released);
        match self.sent_write.take_if(|(position, _)| *position < end) {
            Some((position, sent_at)) if is_own && position + 1 == end => {
                self.term_end = Some(sent_at.plus(self.timing.ttl));
            }
            _ if !is_own => self.term_end = None,
            _ => {}
        }
        self.record = record;
        self.end = end;
        self.read_at = Some(now);
    }

    /// Handles that a write at `position` is being sent at `now`.
    pub fn on_write_sent(&mut self, now: MonotonicTime, position: u64) {
        self.sent_write = Some((position, now));
        self.renewed_at = now;
    }

    /// Starts a planned stop: the process releases the duties.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Handles that a call was refused because of a higher fencing number.
    pub fn on_fenced(&mut self) {
        self.term_end = None;
    }

    /// Returns the fencing number under which a call that takes at most `budget` may start at
    /// `now`, `None` if it must not start.
    pub fn may_act(&self, now: MonotonicTime, budget: Duration) -> Option<Epoch> {
        let term_end = self.term_end?;
        let record = self.record.as_ref()?;
        let may = now.plus(budget) <= term_end && self.is_own(record) && !record.released;
        may.then_some(record.fencing)
    }

    /// Returns the content of the register as read last.
    pub fn record(&self) -> Option<&DutyRecord> {
        self.record.as_ref()
    }

    /// Returns the action that is due at `now`.
    pub fn next_step(&self, now: MonotonicTime) -> DutyStep {
        let Some(read_at) = self.read_at else {
            return DutyStep::Wait(self.timing.renew_every);
        };
        match &self.record {
            Some(record) if self.is_own(record) && !record.released => {
                self.renewal_step(now, record)
            }
            _ if self.is_stopping => DutyStep::Wait(self.timing.ttl),
            Some(record) => {
                let due = read_at.plus(self.claim_wait(record));
                if now < due {
                    return DutyStep::Wait(due.since(now));
                }
                self.write_step(DutyRecord {
                    holder: self.instance.clone(),
                    incarnation: self.incarnation,
                    fencing: Epoch(record.fencing.0 + 1),
                    previous_holder: record.holder.clone(),
                    released: false,
                    sealed: record.sealed.clone(),
                })
            }
            None => self.write_step(DutyRecord {
                holder: self.instance.clone(),
                incarnation: self.incarnation,
                fencing: Epoch(1),
                ..DutyRecord::default()
            }),
        }
    }

    /// Returns the write that seals a window under the duties held at `now`, `None` if they are not
    /// held or this or a later window is sealed already.
    pub fn seal(
        &self,
        now: MonotonicTime,
        budget: Duration,
        window: SealedWindow,
    ) -> Option<DutyStep> {
        self.may_act(now, budget)?;
        let mut record = self.record.clone()?;
        if record.sealed.iter().any(|old| old.window >= window.window) {
            return None;
        }
        record.sealed.push(window);
        let excess = record.sealed.len().saturating_sub(MAX_SEALED_WINDOWS);
        record.sealed.drain(..excess);
        Some(self.write_step(record))
    }

    fn renewal_step(&self, now: MonotonicTime, record: &DutyRecord) -> DutyStep {
        if self.is_stopping {
            return self.write_step(DutyRecord {
                released: true,
                ..record.clone()
            });
        }
        let due = self.renewed_at.plus(self.timing.renew_every);
        if self.term_end.is_some() && now < due {
            return DutyStep::Wait(due.since(now));
        }
        self.write_step(record.clone())
    }

    /// Returns the time for which the record of another process or of an earlier incarnation must
    /// not be replaced.
    fn claim_wait(&self, record: &DutyRecord) -> Duration {
        let was_previous_holder = *record.previous_holder == *self.instance;
        if record.released && !was_previous_holder && *record.holder != *self.instance {
            Duration::ZERO
        } else {
            self.timing.candidate_wait(self.timing.ttl)
        }
    }

    fn write_step(&self, record: DutyRecord) -> DutyStep {
        DutyStep::Write {
            position: self.end,
            record,
        }
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.incarnation == self.incarnation && *record.holder == *self.instance
    }
}
