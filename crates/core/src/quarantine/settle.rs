//! What a view does whenever replay or the time may have changed something.

use std::time::Duration;

use super::{Effect, Lock, MAX_CRASHES, TicketId, Try, View};
use crate::ids::{Fingerprint, Incarnation, Offset, RecordId};
use crate::record::{Body, ExclusiveRun, QuarantineClear, Record, SCHEMA};
use crate::replica::{ExclusiveLock, Quarantine, Suspect};
use crate::world::{Append, Moment, World};

impl View {
    pub(super) fn release_late<W>(&mut self, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let now = world.now();
        let due: Vec<Incarnation> = self
            .held
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(crash, _)| *crash)
            .collect();
        for crash in due {
            self.acknowledged(crash, world);
        }
    }

    pub(super) fn settle_reports<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
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
            let append = self.attempt(append, body, world);
            if let Some(unlogged) = self.unlogged.get_mut(&crash) {
                unlogged.append = append;
            }
        }
    }

    pub(super) fn settle_clears<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let clears: Vec<(Fingerprint, Try)> = self.clears.iter().map(|(f, t)| (*f, *t)).collect();
        for (fingerprint, append) in clears {
            let suspect = replica.get(fingerprint);
            if suspect.is_none_or(Suspect::is_quarantined) {
                self.clears.remove(&fingerprint);
                continue;
            }
            let body = Body::QuarantineClear(QuarantineClear { fingerprint });
            let append = self.attempt(append, body, world);
            self.clears.insert(fingerprint, append);
        }
    }

    pub(super) fn settle_lock<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let now = world.now();
        let mine = replica.lock().filter(|lock| lock.gateway == self.me);
        match replica.lock() {
            Some(lock) if mine.is_none() => {
                if self.seen.is_none_or(|(taken, _)| taken != lock.taken) {
                    self.seen = Some((lock.taken, now));
                }
            }
            _ => self.seen = None,
        }
        match self.lock {
            // A claim that took effect after it was given up, or that lost its request.
            Lock::None => {
                if let Some(lock) = mine {
                    self.lock = Lock::Returning {
                        fingerprint: lock.fingerprint,
                        append: Try::default(),
                    };
                }
            }
            Lock::Claiming {
                fingerprint, since, ..
            } => {
                let is_held = mine.is_some_and(|lock| lock.fingerprint == fingerprint);
                if is_held {
                    self.start(fingerprint, since, now, world);
                }
            }
            Lock::Running { .. } | Lock::Returning { .. } => {}
        }
        if let Lock::Returning {
            fingerprint,
            append,
        } = self.lock
        {
            let is_clearing = self.clears.contains_key(&fingerprint);
            if mine.is_none_or(|lock| lock.fingerprint != fingerprint) && !is_clearing {
                self.lock = Lock::None;
            } else if !is_clearing {
                // Clearing the request ends the lock as well.
                let body = self.exclusive_run(fingerprint, None, false);
                let append = self.attempt(append, body, world);
                self.lock = Lock::Returning {
                    fingerprint,
                    append,
                };
            }
        }
    }

    /// Runs one waiting ticket under the lock, which was claimed at `since`.
    fn start<W>(&mut self, fingerprint: Fingerprint, since: Moment, now: Moment, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let ticket = self
            .waiting
            .iter()
            .find(|(_, waiting)| **waiting == fingerprint);
        let ticket = ticket.map(|(ticket, _)| *ticket);
        // Another gateway may take the lock when its time has passed. Half of the time is the least
        // that a run is given.
        let is_late = now.since(since) > self.timing.ttl / 2;
        match ticket {
            Some(ticket) if !is_late => {
                self.waiting.remove(&ticket);
                self.lock = Lock::Running { fingerprint };
                let exclusive = true;
                world.perform(Effect::Run { ticket, exclusive }.into());
            }
            _ => {
                self.lock = Lock::Returning {
                    fingerprint,
                    append: Try::default(),
                };
            }
        }
    }

    pub(super) fn settle_tickets<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let waiting: Vec<(TicketId, Fingerprint)> =
            self.waiting.iter().map(|(t, f)| (*t, *f)).collect();
        for (ticket, fingerprint) in waiting {
            let effect = match self.crashes(fingerprint, replica) {
                0 => Effect::Run {
                    ticket,
                    exclusive: false,
                },
                MAX_CRASHES.. => Effect::Refuse(ticket),
                _ => continue,
            };
            self.waiting.remove(&ticket);
            world.perform(effect.into());
        }
    }

    /// Claims the lock for the request that has waited longest, if it is free or has expired.
    pub(super) fn claim<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let now = world.now();
        let is_free = match replica.lock() {
            None => true,
            Some(lock) => self.is_expired(lock, now),
        };
        let (fingerprint, since, append) = match self.lock {
            Lock::None => {
                let logged = |f: &&Fingerprint| replica.get(**f).is_some();
                let Some(fingerprint) = self.waiting.values().find(logged) else {
                    return;
                };
                (*fingerprint, now, Try::default())
            }
            Lock::Claiming {
                fingerprint,
                since,
                append,
            } => {
                if !self.waiting.values().any(|f| *f == fingerprint) {
                    // An append that is under way may still take the lock, which is then returned.
                    self.lock = Lock::None;
                    return;
                }
                let since = if append.token.is_none() { now } else { since };
                (fingerprint, since, append)
            }
            Lock::Running { .. } | Lock::Returning { .. } => return,
        };
        if !is_free || replica.get(fingerprint).is_none() {
            self.lock = Lock::None;
            return;
        }
        let body = self.exclusive_run(fingerprint, replica.last_lock(), true);
        let append = self.attempt(append, body, world);
        self.lock = Lock::Claiming {
            fingerprint,
            since,
            append,
        };
    }

    fn is_expired(&self, lock: &ExclusiveLock, now: Moment) -> bool {
        let wait = Duration::from_millis(lock.ttl_ms) + self.timing.margin;
        lock.gateway != self.me
            && self
                .seen
                .is_some_and(|(taken, at)| taken == lock.taken && now.since(at) > wait)
    }

    fn exclusive_run(&self, fingerprint: Fingerprint, prev: Option<Offset>, taken: bool) -> Body {
        Body::ExclusiveRun(ExclusiveRun {
            fingerprint,
            gateway: self.me,
            prev,
            ttl_ms: u64::try_from(self.timing.ttl.as_millis()).unwrap_or(u64::MAX),
            taken,
        })
    }

    /// Appends `body` unless the last try is too recent.
    fn attempt<W>(&mut self, last: Try, body: Body, world: &mut W) -> Try
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let now = world.now();
        if now < last.retry_at {
            return last;
        }
        #[expect(clippy::cast_possible_truncation, reason = "64 of 128 random bits")]
        let token = world.random() as u64;
        let record = Record {
            id: RecordId(world.random()),
            author: self.instance.clone(),
            at_ms: world.wall_ms(),
            schema: SCHEMA,
            body,
        };
        let records = vec![record];
        world.perform(Effect::Append(Append { token, records }).into());
        Try {
            token: Some(token),
            retry_at: now.plus(self.timing.retry),
        }
    }
}
