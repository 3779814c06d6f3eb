use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::windows::SealedWindow;
use crate::ids::{Epoch, Incarnation};
use crate::lease::LeaseTerms;
use crate::environment::MonotonicTime;

/// Sealed windows that the record keeps, so that a new holder repeats their exact figures.
const SEALED_KEPT: usize = 6;

/// Content of the register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Process that holds the duties.
    pub holder: Box<str>,
    /// Life of that process.
    pub incarnation: Incarnation,
    /// Fencing number, higher with each holder.
    pub fencing: Epoch,
    /// Holder before this one. It waits the whole term even after a release, so that two
    /// processes never take turns within it.
    #[serde(default)]
    pub before: Box<str>,
    /// Whether the holder gave the duties back.
    #[serde(default)]
    pub released: bool,
    /// Windows whose figures are fixed, oldest first.
    #[serde(default)]
    pub sealed: Vec<SealedWindow>,
}

/// What the embedder has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Replace the record if the register still ends at `at`, and say so with
    /// [`DutyKeeper::sent`] before.
    Write {
        /// Position at which the register must end.
        at: u64,
        /// New content.
        record: DutyRecord,
    },
    /// Nothing until the given time has passed or the register changes.
    Wait(Duration),
}

/// Decides for one process when it claims, renews and gives back the duties.
///
/// The holder counts its term from before it sent the accepted record, every other process from
/// when it read that record, as with [`crate::lease::LeaseKeeper`].
#[derive(Debug)]
pub struct DutyKeeper {
    instance: Box<str>,
    incarnation: Incarnation,
    terms: LeaseTerms,
    record: Option<DutyRecord>,
    /// Position after the record: where the register must end for the next write.
    end: u64,
    read_at: Option<MonotonicTime>,
    /// Write whose fate is not known yet: its position and when it was sent.
    sent: Option<(u64, MonotonicTime)>,
    until: Option<MonotonicTime>,
    renewed_at: MonotonicTime,
    stopping: bool,
}

impl DutyKeeper {
    /// Keeper of a process that has read nothing yet.
    pub fn new(instance: &str, incarnation: Incarnation, terms: LeaseTerms) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            terms,
            record: None,
            end: 0,
            read_at: None,
            sent: None,
            until: None,
            renewed_at: MonotonicTime::default(),
            stopping: false,
        }
    }

    /// Notes the content of the register as read at `now`: its record, if any, and its end.
    pub fn read(&mut self, now: MonotonicTime, record: Option<DutyRecord>, end: u64) {
        if self.read_at.is_some() && end <= self.end {
            return;
        }
        let is_own = record
            .as_ref()
            .is_some_and(|record| self.is_own(record) && !record.released);
        match self.sent.take_if(|(at, _)| *at < end) {
            Some((at, sent)) if is_own && at + 1 == end => {
                self.until = Some(sent.plus(self.terms.ttl));
            }
            _ if !is_own => self.until = None,
            _ => {}
        }
        self.record = record;
        self.end = end;
        self.read_at = Some(now);
    }

    /// Notes that a write at `at` is being sent at `now`.
    pub fn sent(&mut self, now: MonotonicTime, at: u64) {
        self.sent = Some((at, now));
        self.renewed_at = now;
    }

    /// Notes that the process gives up the duties on a planned stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Notes that a call was refused because of a higher fencing number.
    pub fn fenced(&mut self) {
        self.until = None;
    }

    /// Fencing number under which a call that takes at most `budget` may start at `now`.
    pub fn may_act(&self, now: MonotonicTime, budget: Duration) -> Option<Epoch> {
        let until = self.until?;
        let record = self.record.as_ref()?;
        let may = now.plus(budget) <= until && self.is_own(record) && !record.released;
        may.then_some(record.fencing)
    }

    /// Current content of the register, as far as it was read.
    pub fn record(&self) -> Option<&DutyRecord> {
        self.record.as_ref()
    }

    /// What to do at `now`.
    pub fn step(&self, now: MonotonicTime) -> Step {
        let Some(read_at) = self.read_at else {
            return Step::Wait(self.terms.renew_every);
        };
        match &self.record {
            Some(record) if self.is_own(record) && !record.released => self.renewal(now, record),
            _ if self.stopping => Step::Wait(self.terms.ttl),
            Some(record) => {
                let due = read_at.plus(self.wait(record));
                if now < due {
                    return Step::Wait(due.since(now));
                }
                self.write(DutyRecord {
                    holder: self.instance.clone(),
                    incarnation: self.incarnation,
                    fencing: Epoch(record.fencing.0 + 1),
                    before: record.holder.clone(),
                    released: false,
                    sealed: record.sealed.clone(),
                })
            }
            None => self.write(DutyRecord {
                holder: self.instance.clone(),
                incarnation: self.incarnation,
                fencing: Epoch(1),
                ..DutyRecord::default()
            }),
        }
    }

    /// Record that fixes a window under the duties held at `now`; none if they are not held.
    pub fn seal(&self, now: MonotonicTime, budget: Duration, window: SealedWindow) -> Option<Step> {
        self.may_act(now, budget)?;
        let mut record = self.record.clone()?;
        if record.sealed.iter().any(|old| old.window >= window.window) {
            return None;
        }
        record.sealed.push(window);
        let excess = record.sealed.len().saturating_sub(SEALED_KEPT);
        record.sealed.drain(..excess);
        Some(self.write(record))
    }

    fn renewal(&self, now: MonotonicTime, record: &DutyRecord) -> Step {
        if self.stopping {
            return self.write(DutyRecord {
                released: true,
                ..record.clone()
            });
        }
        let due = self.renewed_at.plus(self.terms.renew_every);
        if self.until.is_some() && now < due {
            return Step::Wait(due.since(now));
        }
        self.write(record.clone())
    }

    /// Time for which the record of another process, or of an earlier life, is left alone.
    fn wait(&self, record: &DutyRecord) -> Duration {
        let took_turns = *record.before == *self.instance;
        if record.released && !took_turns && *record.holder != *self.instance {
            Duration::ZERO
        } else {
            self.terms.wait(self.terms.ttl)
        }
    }

    fn write(&self, record: DutyRecord) -> Step {
        Step::Write {
            at: self.end,
            record,
        }
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.incarnation == self.incarnation && *record.holder == *self.instance
    }
}
