use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::windows::SealedWindow;
use crate::environment::MonotonicTime;
use crate::ids::{Epoch, Incarnation};
use crate::lease::LeaseTiming;
use crate::position::Position;

/// Maximum number of sealed windows in the record, which a new holder reports again with the same
/// figures.
const MAX_SEALED_WINDOWS: usize = 6;

/// Number of fencing numbers in each era of the store. The number of a claim is not used again after
/// the store was restored, since the era in which it was made is a part of it.
const CLAIMS_PER_ERA: u64 = 1 << 32;

/// Content of the register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Instance that holds the duties.
    pub holder: Box<str>,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// Address at which that process listens. Empty if it has none.
    #[serde(default)]
    pub address: Box<str>,
    /// Fencing number, which rises with each new holder. It contains the era of the store.
    pub fencing: Epoch,
    /// Holder before this one. It waits the whole term even after a release, so that two processes
    /// do not alternate within one term.
    #[serde(default, rename = "before")]
    pub previous_holder: Box<str>,
    /// Whether the holder has released the duties.
    #[serde(default)]
    pub released: bool,
    /// Last window that may have been sealed in a record that the store has lost. It and all windows
    /// before it are not sealed any more, except those in `sealed`.
    #[serde(default)]
    pub skipped_through: u64,
    /// Sealed windows, oldest first.
    #[serde(default)]
    pub sealed: Vec<SealedWindow>,
}

impl DutyRecord {
    /// Returns the last window that is not to be sealed any more, or `None` if there is none.
    pub fn last_closed_window(&self) -> Option<u64> {
        let sealed = self.sealed.last().map(|sealed| sealed.window);
        let skipped = (self.skipped_through > 0).then_some(self.skipped_through);
        sealed.max(skipped)
    }

    /// Returns the era of the store in which the duties were claimed.
    fn era(&self) -> u64 {
        self.fencing.0 / CLAIMS_PER_ERA
    }
}

/// Action that the embedder has to perform next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyStep {
    /// Replace the record if the register still ends at `position`. [`DutyKeeper::on_write_sent`]
    /// is to be called first.
    Write {
        /// Position at which the register must end.
        position: Position,
        /// New content of the register.
        record: DutyRecord,
    },
    /// Wait until this time has passed or the register changes.
    Wait(Duration),
}

/// Decides when a process claims, renews and releases the duties.
///
/// Load pattern: all instances restart in turn while the store is away. When it returns, the record
/// names a holder that has ended, and the reports of several windows become due before a term has
/// passed. A process that listens at the holder's address under the holder's name is its successor:
/// two processes cannot listen there at the same time. It goes on at once, under the same fencing
/// number, so that a call of its predecessor which arrives late is not out of order.
///
/// The holder counts its term from before it sent the accepted record, every other process from
/// when it read that record, as with [`crate::lease::LeaseKeeper`].
///
/// A store that was restored from a copy may return an earlier record. Its era is then higher than
/// that of the record, under which nobody acts. A process whose term still runs claims the duties
/// again at once, and nobody can have sealed a window that it does not know. All others wait until
/// any such term has ended, and skip the windows that had ended when they first read the register
/// in the new era: only those can have been sealed in a record that they have not read.
#[derive(Debug)]
pub struct DutyKeeper {
    instance: Box<str>,
    incarnation: Incarnation,
    address: Box<str>,
    timing: LeaseTiming,
    /// Content of the register as read last.
    record: Option<DutyRecord>,
    /// Last record under which this process held the duties.
    held: Option<DutyRecord>,
    /// Last record of this era that gave somebody the duties.
    newest_claim: Option<DutyRecord>,
    /// Last window that has ended.
    ended_window: u64,
    /// Last window that may have been sealed in a record that this process has not read.
    unread_through: u64,
    /// Position after the record, where the register must end for the next write.
    end: Position,
    read_at: Option<MonotonicTime>,
    /// Whether the register ends with a record that none of the processes has written.
    is_foreign: bool,
    /// Write whose result is unknown: its position and when it was sent.
    sent_write: Option<(Position, MonotonicTime)>,
    term_end: Option<MonotonicTime>,
    renewed_at: MonotonicTime,
    is_stopping: bool,
    /// Whether a call under the duties waits for its answer.
    has_open_call: bool,
    /// Time at which such a call last ended without an answer. It may still take effect.
    unanswered_at: Option<MonotonicTime>,
}

impl DutyKeeper {
    /// Creates the keeper of a process that has not read the register yet. `address` is one at
    /// which only this process listens, or empty if there is none.
    pub fn new(
        instance: &str,
        incarnation: Incarnation,
        address: &str,
        timing: LeaseTiming,
    ) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            address: address.into(),
            timing,
            record: None,
            held: None,
            newest_claim: None,
            ended_window: 0,
            unread_through: 0,
            end: Position::default(),
            read_at: None,
            is_foreign: false,
            sent_write: None,
            term_end: None,
            renewed_at: MonotonicTime::default(),
            is_stopping: false,
            has_open_call: false,
            unanswered_at: None,
        }
    }

    /// Handles the content of the register as read at `now`: its record, if any, and its end. If
    /// several records are read, each of them is to be handled, in order.
    pub fn on_read(&mut self, now: MonotonicTime, record: Option<DutyRecord>, end: Position) {
        if self.read_at.is_some() && end <= self.end {
            return;
        }
        let sent_write = self.advance(now, end);
        self.is_foreign &= record.is_none();
        self.record = record;
        let Some(current) = self.current_record() else {
            // The own term goes on, although the register does not show it any more.
            return;
        };
        let current = current.clone();
        let is_held = self.is_own(&current) && !current.released;
        self.newest_claim = Some(current.clone());
        if !is_held {
            self.term_end = None;
            return;
        }
        if let Some((position, sent_at)) = sent_write
            && position.next() == end
        {
            self.term_end = Some(sent_at.plus(self.timing.ttl));
        }
        self.held = Some(current);
    }

    /// Handles that the register ends at `end` with a record that none of the processes has written,
    /// as read at `now`. The record before it stays in force.
    pub fn on_foreign_record(&mut self, now: MonotonicTime, end: Position) {
        if self.read_at.is_none() || end > self.end {
            self.advance(now, end);
            self.is_foreign = true;
        }
    }

    /// Moves the known end of the register. Returns the write before that end whose result was
    /// unknown.
    fn advance(&mut self, now: MonotonicTime, end: Position) -> Option<(Position, MonotonicTime)> {
        if end != self.end.next() {
            self.unread_through = self.ended_window;
            self.newest_claim = None;
        }
        self.end = end;
        self.read_at = Some(now);
        self.sent_write.take_if(|(position, _)| *position < end)
    }

    /// Records the number of the last window that has ended. It must be recorded before each read.
    pub fn record_ended_window(&mut self, window: u64) {
        self.ended_window = window;
    }

    /// Handles that a write at `position` is being sent at `now`. If one was sent there before whose
    /// result is unknown, that one may have taken effect, and the term counts from it.
    pub fn on_write_sent(&mut self, now: MonotonicTime, position: Position) {
        let earlier = self.sent_write.filter(|(at, _)| *at == position);
        self.sent_write = earlier.or(Some((position, now)));
        self.renewed_at = now;
    }

    /// Starts a planned stop: the process makes no more calls, and releases the duties once those
    /// that it made cannot take effect any more.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Handles that a call under the duties is being sent.
    pub fn on_call_sent(&mut self) {
        self.has_open_call = true;
    }

    /// Handles that the call has ended at `now`, with an answer or without one.
    pub fn on_call_ended(&mut self, now: MonotonicTime, is_answered: bool) {
        self.has_open_call = false;
        if !is_answered {
            self.unanswered_at = Some(now);
        }
    }

    /// Returns whether a call under the duties waits for its answer.
    pub fn has_open_call(&self) -> bool {
        self.has_open_call
    }

    /// Returns whether a call that was sent may still take effect. The next holder would have made
    /// others by then.
    fn may_have_effects(&self, now: MonotonicTime) -> bool {
        let unanswered = self.unanswered_at;
        self.has_open_call || unanswered.is_some_and(|at| now.since(at) < self.timing.ttl)
    }

    /// Handles that a call was refused because of a higher fencing number.
    pub fn on_fenced(&mut self) {
        self.term_end = None;
    }

    /// Returns the fencing number under which a call that takes at most `budget` may start at
    /// `now`, `None` if it must not start.
    pub fn may_act(&self, now: MonotonicTime, budget: Duration) -> Option<Epoch> {
        let term_end = self.term_end?;
        let record = self.current_record()?;
        let is_held = self.is_own(record) && !record.released;
        let may = now.plus(budget) <= term_end && is_held && !self.is_stopping;
        may.then_some(record.fencing)
    }

    /// Returns whether the term of this process still runs at `now`. If the register does not show
    /// it, it may not act until it has claimed the duties again.
    pub fn has_term(&self, now: MonotonicTime) -> bool {
        self.term_end.is_some_and(|term_end| now < term_end)
    }

    /// Returns the content of the register as read last.
    pub fn record(&self) -> Option<&DutyRecord> {
        self.record.as_ref()
    }

    /// Returns the content of the register, or `None` if it is of an earlier era than the store.
    fn current_record(&self) -> Option<&DutyRecord> {
        let record = self.record.as_ref();
        record.filter(|record| record.era() == self.end.era)
    }

    /// Returns the action that is due at `now`.
    pub fn next_step(&self, now: MonotonicTime) -> DutyStep {
        let Some(read_at) = self.read_at else {
            return DutyStep::Wait(self.timing.renew_every);
        };
        let due = match self.current_record() {
            Some(record) if self.is_own(record) && !record.released => {
                return self.renewal_step(now, record);
            }
            _ if self.is_stopping => return DutyStep::Wait(self.timing.ttl),
            Some(record) if self.is_predecessor(record) => now,
            Some(record) => read_at.plus(self.claim_wait(record)),
            None if self.has_term(now) || self.is_unused_register() => now,
            None => read_at.plus(self.timing.candidate_wait(self.timing.ttl)),
        };
        if now < due {
            return DutyStep::Wait(due.since(now));
        }
        self.write_step(self.claim(now))
    }

    /// Returns the record that claims the duties.
    fn claim(&self, now: MonotonicTime) -> DutyRecord {
        if let Some(record) = self.current_record()
            && self.is_predecessor(record)
        {
            return DutyRecord {
                incarnation: self.incarnation,
                released: false,
                ..record.clone()
            };
        }
        // Nobody else can have sealed a window before the own term has ended.
        let own = self.held.as_ref().filter(|_| self.has_term(now));
        let known = self.newest_claim.as_ref().or(own);
        let before = self.record.as_ref();
        DutyRecord {
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            fencing: Epoch(self.highest_number().saturating_add(1)),
            previous_holder: before
                .map(|record| record.holder.clone())
                .unwrap_or_default(),
            released: false,
            skipped_through: match known {
                Some(record) => record.skipped_through,
                None if self.is_unused_register() => 0,
                None => self.unread_through,
            },
            sealed: known
                .map(|record| record.sealed.clone())
                .unwrap_or_default(),
        }
    }

    /// Returns a fencing number that is not lower than any used in the era of the store.
    fn highest_number(&self) -> u64 {
        let base = self.end.era.saturating_mul(CLAIMS_PER_ERA);
        match &self.record {
            Some(record) if record.era() <= self.end.era && !self.is_foreign => {
                record.fencing.0.max(base)
            }
            None if !self.is_foreign => base,
            // Each claim has an offset of its own, so there were no more claims than offsets.
            _ => base.saturating_add(self.end.offset),
        }
    }

    /// Returns whether no process has ever claimed the duties. After a restore that is unknown.
    fn is_unused_register(&self) -> bool {
        self.record.is_none() && self.end.era == 0 && !self.is_foreign
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
        if record
            .last_closed_window()
            .is_some_and(|closed| closed >= window.window)
        {
            return None;
        }
        record.sealed.push(window);
        let excess = record.sealed.len().saturating_sub(MAX_SEALED_WINDOWS);
        record.sealed.drain(..excess);
        Some(self.write_step(record))
    }

    fn renewal_step(&self, now: MonotonicTime, record: &DutyRecord) -> DutyStep {
        if self.is_stopping && self.may_have_effects(now) {
            return DutyStep::Wait(self.timing.ttl);
        }
        if self.is_stopping {
            return self.write_step(DutyRecord {
                released: true,
                ..record.clone()
            });
        }
        let due = self.renewed_at.plus(self.timing.renew_every);
        if self.has_term(now) && now < due && !self.is_foreign {
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

    /// Returns whether the holder in `record` was an earlier process of this instance, which has
    /// ended.
    fn is_predecessor(&self, record: &DutyRecord) -> bool {
        let is_same_place = !self.address.is_empty() && record.address == self.address;
        is_same_place && *record.holder == *self.instance && !self.is_own(record)
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.incarnation == self.incarnation && *record.holder == *self.instance
    }
}
