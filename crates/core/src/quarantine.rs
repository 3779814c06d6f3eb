//! A gateway's view of requests that crash upstreams.
//!
//! A request that was running during one crash is suspect and runs alone on its upstream; one such
//! run at a time in the fleet, under a lock in the log. Without a crash it is cleared, with one it is
//! quarantined. A request that was running during two crashes is quarantined in any case, which
//! bounds the loss to two upstreams even where the first report came too late for the second run.
//!
//! The error of a crash is held back until every gateway can know of it, since callers send a
//! failed request again at once, under a new identity and to any gateway.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Fingerprint, Incarnation, Offset, RecordId};
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, CrashReport, ExclusiveRun, QuarantineClear, Record, SCHEMA};
use crate::replica::{ExclusiveLock, Quarantine};
use crate::world::{Append, Moment, World};

pub use crate::attempt::{AppendResult, TicketId};

/// Crashes after which a request is refused.
const MAX_CRASHES: usize = 2;

/// What the embedder has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append to the log; answered by [`View::appended`].
    Append(Append),
    /// Tell all known peers of a crash; answered by [`View::acknowledged`].
    Announce(CrashReport),
    /// The errors of this crash may be given to the callers.
    Release(Incarnation),
    /// Run the request of a ticket that had to wait, alone if `exclusive` is set.
    Run {
        /// Request.
        ticket: TicketId,
        /// Whether it runs alone on its upstream.
        exclusive: bool,
    },
    /// Refuse the request of a ticket that had to wait: it has crashed upstreams.
    Refuse(TicketId),
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// It may run beside others.
    Run,
    /// It must wait; [`Effect::Run`] or [`Effect::Refuse`] follows.
    Wait,
    /// It is refused as not run.
    Refuse,
}

/// How an exclusive run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream survived it.
    Survived,
    /// It did not run, or not to its end, for another reason.
    NotFinished,
}

/// Waiting times of a [`View`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two tries of an append.
    pub retry: Duration,
    /// Time for one exclusive run, after which another gateway may take the lock.
    pub ttl: Duration,
    /// Time that another gateway waits on top.
    pub margin: Duration,
}

impl Default for Timing {
    /// 100 ms between tries, 60 s for a run, 3.2 s of margin: 5 % for clock drift and 200 ms.
    fn default() -> Self {
        Self {
            retry: Duration::from_millis(100),
            ttl: Duration::from_mins(1),
            margin: Duration::from_millis(3_200),
        }
    }
}

/// View of one gateway life.
pub struct View {
    instance: Box<str>,
    me: Incarnation,
    timing: Timing,
    /// Reports that the log does not show yet.
    unlogged: BTreeMap<Incarnation, Unlogged>,
    waiting: BTreeMap<TicketId, Fingerprint>,
    lock: Lock,
    /// Other holder of the lock and the moment at which this gateway read of it.
    seen: Option<(Offset, Moment)>,
    clears: BTreeMap<Fingerprint, Try>,
    mutations: Mutations,
}

struct Unlogged {
    report: CrashReport,
    /// Whether callers of this gateway wait for the report to be known.
    holds: bool,
    append: Try,
}

/// An append that is repeated until replay shows its effect.
#[derive(Debug, Default, Clone, Copy)]
struct Try {
    token: Option<u64>,
    retry_at: Moment,
}

/// This gateway's part in the lock.
#[derive(Debug, Default)]
enum Lock {
    #[default]
    None,
    /// A claim is under way, counted from `since`.
    Claiming {
        fingerprint: Fingerprint,
        since: Moment,
        append: Try,
    },
    /// The request of a ticket runs under the lock.
    Running { fingerprint: Fingerprint },
    /// The lock is given back.
    Returning {
        fingerprint: Fingerprint,
        append: Try,
    },
}

impl View {
    /// Creates the view of one gateway life.
    pub fn new(instance: impl Into<Box<str>>, me: Incarnation, timing: Timing) -> Self {
        Self {
            instance: instance.into(),
            me,
            timing,
            unlogged: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lock: Lock::None,
            seen: None,
            clears: BTreeMap::new(),
            mutations: Mutations::default(),
        }
    }

    /// A view with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Decides how a request runs.
    pub fn admit<W>(
        &mut self,
        ticket: TicketId,
        fingerprint: Fingerprint,
        replica: &Quarantine,
        world: &mut W,
    ) -> Admit
    where
        W: World,
        W::Effect: From<Effect>,
    {
        match self.crashes(fingerprint, replica) {
            0 => Admit::Run,
            MAX_CRASHES.. => Admit::Refuse,
            _ => {
                self.waiting.insert(ticket, fingerprint);
                self.advance(replica, world);
                Admit::Wait
            }
        }
    }

    /// Tells that a waiting caller has left or passed its deadline.
    pub fn gone(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Takes a crash report from a sidecar, whose callers wait for [`Effect::Release`].
    pub fn crashed<W>(&mut self, report: CrashReport, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let crash = report.crash;
        if replica.knows_crash(crash) {
            world.perform(Effect::Release(crash).into());
        } else {
            world.perform(Effect::Announce(report.clone()).into());
            self.learn(report, true);
        }
        self.advance(replica, world);
    }

    /// Takes a crash report from a peer.
    pub fn heard<W>(&mut self, report: CrashReport, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        if !replica.knows_crash(report.crash) {
            self.learn(report, false);
        }
        self.advance(replica, world);
    }

    /// Tells that all known peers have taken the announcement of a crash.
    pub fn acknowledged<W>(&mut self, crash: Incarnation, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        if let Some(unlogged) = self.unlogged.get_mut(&crash)
            && std::mem::take(&mut unlogged.holds)
        {
            world.perform(Effect::Release(crash).into());
        }
    }

    /// Takes the end of an exclusive run that crashed nothing. After a crash, the report of it is
    /// enough.
    pub fn finished<W>(
        &mut self,
        fingerprint: Fingerprint,
        end: RunEnd,
        replica: &Quarantine,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let is_mine =
            matches!(&self.lock, Lock::Running { fingerprint: held } if *held == fingerprint);
        if !is_mine {
            return;
        }
        let clears = end == RunEnd::Survived && !self.mutations.has(Mutation::NeverClear);
        self.lock = Lock::Returning {
            fingerprint,
            append: Try::default(),
        };
        if clears {
            self.clears.insert(fingerprint, Try::default());
        }
        self.advance(replica, world);
    }

    /// Takes the result of an append. A lost answer counts as `Done`: the append is repeated after
    /// the retry time unless replay shows its effect, and a second record of it changes nothing.
    pub fn appended(&mut self, token: u64, result: AppendResult) {
        if result != AppendResult::Refused {
            return;
        }
        let lock = match &mut self.lock {
            Lock::Claiming { append, .. } | Lock::Returning { append, .. } => Some(append),
            Lock::None | Lock::Running { .. } => None,
        };
        self.unlogged
            .values_mut()
            .map(|unlogged| &mut unlogged.append)
            .chain(self.clears.values_mut())
            .chain(lock)
            .filter(|append| append.token == Some(token))
            .for_each(|append| append.token = None);
    }

    /// Acts on what replay shows by now and on the time. To be called after replay of records about
    /// crashes and about exclusive runs, and at least once per retry time while anything waits.
    pub fn advance<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        self.settle_reports(replica, world);
        self.settle_clears(replica, world);
        self.settle_lock(replica, world);
        self.settle_tickets(replica, world);
        self.claim(replica, world);
    }

    /// Whether [`Self::advance`] is to be called from time to time.
    pub fn is_busy(&self) -> bool {
        let is_idle = self.unlogged.is_empty()
            && self.waiting.is_empty()
            && self.clears.is_empty()
            && matches!(self.lock, Lock::None | Lock::Running { .. });
        !is_idle
    }

    /// Requests that this gateway runs alone, for its peers.
    pub fn exclusive(&self) -> Option<Fingerprint> {
        match self.lock {
            Lock::Running { fingerprint } => Some(fingerprint),
            _ => None,
        }
    }

    /// Reports that the log does not show yet, for peers.
    pub fn unlogged(&self) -> impl Iterator<Item = &CrashReport> {
        self.unlogged.values().map(|unlogged| &unlogged.report)
    }

    /// Crashes during which a request was running, as far as the log and the peers tell.
    fn crashes(&self, fingerprint: Fingerprint, replica: &Quarantine) -> usize {
        if self.mutations.has(Mutation::IgnoreCrashes) {
            return 0;
        }
        let logged = replica.get(fingerprint).map(|suspect| &suspect.crashes);
        let heard = self
            .unlogged
            .values()
            .filter(|unlogged| unlogged.report.running.contains(&fingerprint))
            .map(|unlogged| unlogged.report.crash);
        let all: BTreeSet<Incarnation> =
            logged.into_iter().flatten().copied().chain(heard).collect();
        all.len()
    }

    fn learn(&mut self, report: CrashReport, holds: bool) {
        let unlogged = self.unlogged.entry(report.crash).or_insert(Unlogged {
            report,
            holds: false,
            append: Try::default(),
        });
        unlogged.holds |= holds;
    }

    fn settle_reports<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let known: Vec<Incarnation> = self.unlogged.keys().copied().collect();
        for crash in known {
            if replica.knows_crash(crash) {
                if self.unlogged.remove(&crash).is_some_and(|u| u.holds) {
                    world.perform(Effect::Release(crash).into());
                }
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

    fn settle_clears<W>(&mut self, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let clears: Vec<(Fingerprint, Try)> = self.clears.iter().map(|(f, t)| (*f, *t)).collect();
        for (fingerprint, append) in clears {
            let suspect = replica.get(fingerprint);
            if suspect.is_none_or(crate::replica::Suspect::is_quarantined) {
                self.clears.remove(&fingerprint);
                continue;
            }
            let body = Body::QuarantineClear(QuarantineClear { fingerprint });
            let append = self.attempt(append, body, world);
            self.clears.insert(fingerprint, append);
        }
    }

    fn settle_lock<W>(&mut self, replica: &Quarantine, world: &mut W)
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

    fn settle_tickets<W>(&mut self, replica: &Quarantine, world: &mut W)
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
    fn claim<W>(&mut self, replica: &Quarantine, world: &mut W)
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
