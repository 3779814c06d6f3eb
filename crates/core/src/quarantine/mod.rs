//! A gateway's view of requests that crash upstreams.
//!
//! A request that was running during one crash is suspect and runs alone on its upstream; one such
//! run at a time in the fleet, under a lock in the log. Without a crash it is cleared, with one it is
//! quarantined. A request that was running during two crashes is quarantined in any case, which
//! bounds the loss to two upstreams even where the first report came too late for the second run.
//!
//! The error of a crash is held back until every gateway that takes requests knows of it, since
//! callers send a failed request again at once, under a new identity and to any gateway: until all
//! known peers have acknowledged the report, or until a peer that has not heard of it must have
//! stopped taking keyed requests because its replica is stale.
//!
//! A gateway that starts must have asked all sidecars for the crashes that they remember before it
//! takes requests.

mod settle;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Fingerprint, Incarnation, Offset};
use crate::mutation::{Mutation, Mutations};
use crate::record::CrashReport;
use crate::replica::Quarantine;
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
    /// Longest time for which the error of a crash is held back. It must be longer than the time
    /// after which a gateway with a stale replica refuses keyed requests.
    pub hold: Duration,
}

impl Default for Timing {
    /// 100 ms between tries, 60 s for a run, 3.2 s of margin (5 % for clock drift and 200 ms), 3.2 s
    /// of hold (3 s until a stale replica counts as isolated and 200 ms).
    fn default() -> Self {
        Self {
            retry: Duration::from_millis(100),
            ttl: Duration::from_mins(1),
            margin: Duration::from_millis(3_200),
            hold: Duration::from_millis(3_200),
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
    /// Crashes whose errors are held back, and until when at most.
    held: BTreeMap<Incarnation, Moment>,
    waiting: BTreeMap<TicketId, Fingerprint>,
    lock: Lock,
    /// Other holder of the lock and the moment at which this gateway read of it.
    seen: Option<(Offset, Moment)>,
    clears: BTreeMap<Fingerprint, Try>,
    mutations: Mutations,
}

struct Unlogged {
    report: CrashReport,
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
            held: BTreeMap::new(),
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
        if let Lock::Running { fingerprint } = self.lock
            && report.running.contains(&fingerprint)
        {
            self.lock = Lock::Returning {
                fingerprint,
                append: Try::default(),
            };
        }
        let until = world.now().plus(self.timing.hold);
        self.held.entry(crash).or_insert(until);
        world.perform(Effect::Announce(report.clone()).into());
        if !replica.is_crash_reported(crash) {
            self.learn(report);
        }
        self.advance(replica, world);
    }

    /// Takes a crash report from a peer.
    pub fn heard<W>(&mut self, report: CrashReport, replica: &Quarantine, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        if !replica.is_crash_reported(report.crash) {
            self.learn(report);
        }
        self.advance(replica, world);
    }

    /// Tells that all known peers have taken the announcement of a crash.
    pub fn acknowledged<W>(&mut self, crash: Incarnation, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        if self.held.remove(&crash).is_some() {
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
        self.release_late(world);
        self.settle_reports(replica, world);
        self.settle_clears(replica, world);
        self.settle_lock(replica, world);
        self.settle_tickets(replica, world);
        self.claim(replica, world);
    }

    /// Whether [`Self::advance`] is to be called from time to time.
    pub fn is_busy(&self) -> bool {
        let is_idle = self.unlogged.is_empty()
            && self.held.is_empty()
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

    fn learn(&mut self, report: CrashReport) {
        self.unlogged.entry(report.crash).or_insert(Unlogged {
            report,
            append: Try::default(),
        });
    }
}
