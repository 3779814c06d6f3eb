//! Reactions to replayed records and to the time.

use std::time::Duration;

use super::{Effect, LockState, MAX_CRASHES, RepeatedAppend, SuspectTracker, TicketId};
use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Fingerprint, Incarnation, Offset, RecordId};
use crate::record::{Body, ExclusiveRun, QuarantineClear, Record, SCHEMA};
use crate::replica::{ExclusiveLock, Quarantine, Suspect};

impl SuspectTracker {
    pub(super) fn release_overdue_errors<W>(&mut self, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let now = environment.now();
        let due: Vec<Incarnation> = self
            .held_errors
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(crash, _)| *crash)
            .collect();
        for crash in due {
            self.on_acknowledged(crash, environment);
        }
    }

    pub(super) fn append_reports<W>(&mut self, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let known: Vec<Incarnation> = self.unlogged.keys().copied().collect();
        for crash in known {
            if replica.is_crash_reported(crash) {
                self.unlogged.remove(&crash);
                continue;
            }
            let report = &self.unlogged[&crash].report;
            let body = Body::CrashReport(report.clone());
            let append = self.unlogged[&crash].append;
            let append = self.append_if_due(append, body, environment);
            if let Some(unlogged) = self.unlogged.get_mut(&crash) {
                unlogged.append = append;
            }
        }
    }

    pub(super) fn append_clears<W>(&mut self, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let pending_clears: Vec<(Fingerprint, RepeatedAppend)> =
            self.pending_clears.iter().map(|(f, t)| (*f, *t)).collect();
        for (fingerprint, append) in pending_clears {
            let suspect = replica.get(fingerprint);
            if suspect.is_none_or(Suspect::is_quarantined) {
                self.pending_clears.remove(&fingerprint);
                continue;
            }
            let body = Body::QuarantineClear(QuarantineClear { fingerprint });
            let append = self.append_if_due(append, body, environment);
            self.pending_clears.insert(fingerprint, append);
        }
    }

    pub(super) fn update_lock<W>(&mut self, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let now = environment.now();
        let own_lock = replica
            .lock()
            .filter(|lock| lock.gateway == self.incarnation);
        match replica.lock() {
            Some(lock) if own_lock.is_none() => {
                if self
                    .foreign_lock
                    .is_none_or(|(taken, _)| taken != lock.taken)
                {
                    self.foreign_lock = Some((lock.taken, now));
                }
            }
            _ => self.foreign_lock = None,
        }
        match self.lock {
            // A claim took effect after it was abandoned, or after its request was gone.
            LockState::None => {
                if let Some(lock) = own_lock {
                    self.lock = LockState::Releasing {
                        fingerprint: lock.fingerprint,
                        append: RepeatedAppend::default(),
                    };
                }
            }
            LockState::Claiming {
                fingerprint, since, ..
            } => {
                let is_held = own_lock.is_some_and(|lock| lock.fingerprint == fingerprint);
                if is_held {
                    self.start_exclusive_run(fingerprint, since, now, environment);
                }
            }
            LockState::Running { .. } | LockState::Releasing { .. } => {}
        }
        if let LockState::Releasing {
            fingerprint,
            append,
        } = self.lock
        {
            let is_clearing = self.pending_clears.contains_key(&fingerprint);
            if own_lock.is_none_or(|lock| lock.fingerprint != fingerprint) && !is_clearing {
                self.lock = LockState::None;
            } else if !is_clearing {
                // The record that clears the request also releases the lock.
                let body = self.exclusive_run_record(fingerprint, None, false);
                let append = self.append_if_due(append, body, environment);
                self.lock = LockState::Releasing {
                    fingerprint,
                    append,
                };
            }
        }
    }

    /// Runs one waiting request under the lock, which was claimed at `since`.
    fn start_exclusive_run<W>(
        &mut self,
        fingerprint: Fingerprint,
        since: MonotonicTime,
        now: MonotonicTime,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let ticket = self
            .waiting
            .iter()
            .find(|(_, waiting)| **waiting == fingerprint);
        let ticket = ticket.map(|(ticket, _)| *ticket);
        // Another gateway may take the lock after its time to live. A run gets at least half of
        // that time.
        let is_too_late = now.since(since) > self.timing.lock_ttl / 2;
        match ticket {
            Some(ticket) if !is_too_late => {
                self.waiting.remove(&ticket);
                self.lock = LockState::Running { fingerprint };
                let exclusive = true;
                environment.perform(Effect::Run { ticket, exclusive }.into());
            }
            _ => {
                self.lock = LockState::Releasing {
                    fingerprint,
                    append: RepeatedAppend::default(),
                };
            }
        }
    }

    pub(super) fn admit_waiting<W>(&mut self, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let waiting: Vec<(TicketId, Fingerprint)> =
            self.waiting.iter().map(|(t, f)| (*t, *f)).collect();
        for (ticket, fingerprint) in waiting {
            let effect = match self.crash_count(fingerprint, replica) {
                0 => Effect::Run {
                    ticket,
                    exclusive: false,
                },
                MAX_CRASHES.. => Effect::Refuse(ticket),
                _ => continue,
            };
            self.waiting.remove(&ticket);
            environment.perform(effect.into());
        }
    }

    /// Claims the lock for the request that has waited longest, if the lock is free or has expired.
    pub(super) fn claim_lock<W>(&mut self, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let now = environment.now();
        let is_free = match replica.lock() {
            None => true,
            Some(lock) => self.is_expired(lock, now),
        };
        let (fingerprint, since, append) = match self.lock {
            LockState::None => {
                let logged = |f: &&Fingerprint| replica.get(**f).is_some();
                let Some(fingerprint) = self.waiting.values().find(logged) else {
                    return;
                };
                (*fingerprint, now, RepeatedAppend::default())
            }
            LockState::Claiming {
                fingerprint,
                since,
                append,
            } => {
                if !self.waiting.values().any(|f| *f == fingerprint) {
                    // A pending append may still take the lock, which is then released.
                    self.lock = LockState::None;
                    return;
                }
                let since = if append.token.is_none() { now } else { since };
                (fingerprint, since, append)
            }
            LockState::Running { .. } | LockState::Releasing { .. } => return,
        };
        if !is_free || replica.get(fingerprint).is_none() {
            self.lock = LockState::None;
            return;
        }
        let body = self.exclusive_run_record(fingerprint, replica.last_lock(), true);
        let append = self.append_if_due(append, body, environment);
        self.lock = LockState::Claiming {
            fingerprint,
            since,
            append,
        };
    }

    fn is_expired(&self, lock: &ExclusiveLock, now: MonotonicTime) -> bool {
        let wait = Duration::from_millis(lock.ttl_ms) + self.timing.lock_margin;
        lock.gateway != self.incarnation
            && self
                .foreign_lock
                .is_some_and(|(taken, at)| taken == lock.taken && now.since(at) > wait)
    }

    fn exclusive_run_record(
        &self,
        fingerprint: Fingerprint,
        prev: Option<Offset>,
        taken: bool,
    ) -> Body {
        Body::ExclusiveRun(ExclusiveRun {
            fingerprint,
            gateway: self.incarnation,
            prev,
            ttl_ms: u64::try_from(self.timing.lock_ttl.as_millis()).unwrap_or(u64::MAX),
            taken,
        })
    }

    /// Appends `body` unless the last try is too recent.
    fn append_if_due<W>(
        &mut self,
        last: RepeatedAppend,
        body: Body,
        environment: &mut W,
    ) -> RepeatedAppend
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let now = environment.now();
        if now < last.retry_at {
            return last;
        }
        #[expect(clippy::cast_possible_truncation, reason = "64 of 128 random bits")]
        let token = environment.random() as u64;
        let record = Record {
            id: RecordId(environment.random()),
            author: self.instance.clone(),
            at_ms: environment.wall_ms(),
            schema: SCHEMA,
            body,
        };
        let records = vec![record];
        environment.perform(Effect::Append(Append { token, records }).into());
        RepeatedAppend {
            token: Some(token),
            retry_at: now.plus(self.timing.retry_delay),
        }
    }
}
