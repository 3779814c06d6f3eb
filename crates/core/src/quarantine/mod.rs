//! A gateway's view of requests that crash upstreams.
//!
//! A request that was running during one crash is suspect and runs alone on its upstream; one such
//! run at a time in the fleet, under a lock in the log. Without a crash it is cleared, with one it is
//! quarantined. A request that was running during two crashes is quarantined in any case, which
//! bounds the loss to two upstreams even where the first report came too late for the second run.
//!
//! The error of a crash is held back until every gateway that takes requests knows of it, since
//! callers send a failed request again at once, under a new identity and to any gateway: until all
//! known peers have acknowledged the report, or until a peer that has not from_peers of it must have
//! stopped taking keyed requests because its replica is stale.
//!
//! A gateway that starts must have asked all sidecars for the crashes that they remember before it
//! takes requests.

mod advance;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Fingerprint, Incarnation, Offset};
use crate::mutation::{Mutation, Mutations};
use crate::record::CrashReport;
use crate::replica::Quarantine;
use crate::environment::{Append, MonotonicTime, Environment};

pub use crate::attempt::{AppendResult, TicketId};

/// Crashes after which a request is refused.
const MAX_CRASHES: usize = 2;

/// What the embedder has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append to the log; answered by [`SuspectTracker::on_appended`].
    Append(Append),
    /// Tell all known peers of a crash; answered by [`SuspectTracker::on_acknowledged`].
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
pub enum RunDecision {
    /// It may run beside others.
    Run,
    /// It must wait; [`Effect::Run`] or [`Effect::Refuse`] follows.
    Wait,
    /// It is refused as not run.
    Refuse,
}

/// How an exclusive run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusiveRunEnd {
    /// The upstream survived it.
    Survived,
    /// It did not run, or not to its end, for another reason.
    NotFinished,
}

/// Waiting times of a [`SuspectTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineTiming {
    /// Time between two tries of an append.
    pub retry_delay: Duration,
    /// Time for one exclusive run, after which another gateway may take the lock.
    pub lock_ttl: Duration,
    /// Time that another gateway waits on top.
    pub lock_margin: Duration,
    /// Longest time for which the error of a crash is held back. It must be longer than the time
    /// after which a gateway with a stale replica refuses keyed requests.
    pub max_error_hold: Duration,
}

impl Default for QuarantineTiming {
    /// 100 ms between tries, 60 s for a run, 3.2 s of margin (5 % for clock drift and 200 ms), 3.2 s
    /// of hold (3 s until a stale replica counts as isolated and 200 ms).
    fn default() -> Self {
        Self {
            retry_delay: Duration::from_millis(100),
            lock_ttl: Duration::from_mins(1),
            lock_margin: Duration::from_millis(3_200),
            max_error_hold: Duration::from_millis(3_200),
        }
    }
}

/// SuspectTracker of one gateway life.
pub struct SuspectTracker {
    instance: Box<str>,
    incarnation: Incarnation,
    timing: QuarantineTiming,
    /// Reports that the log does not show yet.
    unlogged: BTreeMap<Incarnation, UnloggedReport>,
    /// Crashes whose errors are held back, and until when at most.
    held_errors: BTreeMap<Incarnation, MonotonicTime>,
    waiting: BTreeMap<TicketId, Fingerprint>,
    lock: LockState,
    /// Other holder of the lock and the moment at which this gateway read of it.
    foreign_lock: Option<(Offset, MonotonicTime)>,
    pending_clears: BTreeMap<Fingerprint, RepeatedAppend>,
    mutations: Mutations,
}

struct UnloggedReport {
    report: CrashReport,
    append: RepeatedAppend,
}

/// An append that is repeated until replay shows its effect.
#[derive(Debug, Default, Clone, Copy)]
struct RepeatedAppend {
    token: Option<u64>,
    retry_at: MonotonicTime,
}

/// This gateway's part in the lock.
#[derive(Debug, Default)]
enum LockState {
    #[default]
    None,
    /// A claim is under way, counted from `since`.
    Claiming {
        fingerprint: Fingerprint,
        since: MonotonicTime,
        append: RepeatedAppend,
    },
    /// The request of a ticket runs under the lock.
    Running { fingerprint: Fingerprint },
    /// The lock is given back.
    Releasing {
        fingerprint: Fingerprint,
        append: RepeatedAppend,
    },
}

impl SuspectTracker {
    /// Creates the view of one gateway life.
    pub fn new(instance: impl Into<Box<str>>, incarnation: Incarnation, timing: QuarantineTiming) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            timing,
            unlogged: BTreeMap::new(),
            held_errors: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lock: LockState::None,
            foreign_lock: None,
            pending_clears: BTreeMap::new(),
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
        environment: &mut W,
    ) -> RunDecision
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        match self.crash_count(fingerprint, replica) {
            0 => RunDecision::Run,
            MAX_CRASHES.. => RunDecision::Refuse,
            _ => {
                self.waiting.insert(ticket, fingerprint);
                self.advance(replica, environment);
                RunDecision::Wait
            }
        }
    }

    /// Tells that a waiting caller has left or passed its deadline.
    pub fn caller_left(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Takes a crash report from a sidecar, whose callers wait for [`Effect::Release`].
    pub fn on_crash<W>(&mut self, report: CrashReport, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let crash = report.crash;
        if let LockState::Running { fingerprint } = self.lock
            && report.running.contains(&fingerprint)
        {
            self.lock = LockState::Releasing {
                fingerprint,
                append: RepeatedAppend::default(),
            };
        }
        let until = environment.now().plus(self.timing.max_error_hold);
        self.held_errors.entry(crash).or_insert(until);
        environment.perform(Effect::Announce(report.clone()).into());
        if !replica.knows_crash(crash) {
            self.add_unlogged(report);
        }
        self.advance(replica, environment);
    }

    /// Takes a crash report from a peer.
    pub fn on_peer_report<W>(&mut self, report: CrashReport, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        if !replica.knows_crash(report.crash) {
            self.add_unlogged(report);
        }
        self.advance(replica, environment);
    }

    /// Tells that all known peers have taken the announcement of a crash.
    pub fn on_acknowledged<W>(&mut self, crash: Incarnation, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        if self.held_errors.remove(&crash).is_some() {
            environment.perform(Effect::Release(crash).into());
        }
    }

    /// Takes the end of an exclusive run that crashed nothing. After a crash, the report of it is
    /// enough.
    pub fn on_exclusive_run_end<W>(
        &mut self,
        fingerprint: Fingerprint,
        end: ExclusiveRunEnd,
        replica: &Quarantine,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let is_own =
            matches!(&self.lock, LockState::Running { fingerprint: running } if *running == fingerprint);
        if !is_own {
            return;
        }
        let is_cleared = end == ExclusiveRunEnd::Survived && !self.mutations.has(Mutation::NeverClear);
        self.lock = LockState::Releasing {
            fingerprint,
            append: RepeatedAppend::default(),
        };
        if is_cleared {
            self.pending_clears.insert(fingerprint, RepeatedAppend::default());
        }
        self.advance(replica, environment);
    }

    /// Takes the result of an append. A lost answer counts as `Done`: the append is repeated after
    /// the retry time unless replay shows its effect, and a second record of it changes nothing.
    pub fn on_appended(&mut self, token: u64, result: AppendResult) {
        if result != AppendResult::Refused {
            return;
        }
        let lock = match &mut self.lock {
            LockState::Claiming { append, .. } | LockState::Releasing { append, .. } => Some(append),
            LockState::None | LockState::Running { .. } => None,
        };
        self.unlogged
            .values_mut()
            .map(|unlogged| &mut unlogged.append)
            .chain(self.pending_clears.values_mut())
            .chain(lock)
            .filter(|append| append.token == Some(token))
            .for_each(|append| append.token = None);
    }

    /// Acts on what replay shows by now and on the time. To be called after replay of records about
    /// crashes and about exclusive runs, and at least once per retry time while anything waits.
    pub fn advance<W>(&mut self, replica: &Quarantine, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        self.release_overdue_errors(environment);
        self.append_reports(replica, environment);
        self.append_clears(replica, environment);
        self.update_lock(replica, environment);
        self.admit_waiting(replica, environment);
        self.claim_lock(replica, environment);
    }

    /// Whether [`Self::advance`] is to be called from time to time.
    pub fn is_busy(&self) -> bool {
        let is_idle = self.unlogged.is_empty()
            && self.held_errors.is_empty()
            && self.waiting.is_empty()
            && self.pending_clears.is_empty()
            && matches!(self.lock, LockState::None | LockState::Running { .. });
        !is_idle
    }

    /// Requests that this gateway runs alone, for its peers.
    pub fn exclusive(&self) -> Option<Fingerprint> {
        match self.lock {
            LockState::Running { fingerprint } => Some(fingerprint),
            _ => None,
        }
    }

    /// Reports that the log does not show yet, for peers.
    pub fn unlogged(&self) -> impl Iterator<Item = &CrashReport> {
        self.unlogged.values().map(|unlogged| &unlogged.report)
    }

    /// Crashes during which a request was running, as far as the log and the peers tell.
    fn crash_count(&self, fingerprint: Fingerprint, replica: &Quarantine) -> usize {
        if self.mutations.has(Mutation::IgnoreCrashes) {
            return 0;
        }
        let logged = replica.get(fingerprint).map(|suspect| &suspect.crashes);
        let from_peers = self
            .unlogged
            .values()
            .filter(|unlogged| unlogged.report.running.contains(&fingerprint))
            .map(|unlogged| unlogged.report.crash);
        let all: BTreeSet<Incarnation> =
            logged.into_iter().flatten().copied().chain(from_peers).collect();
        all.len()
    }

    fn add_unlogged(&mut self, report: CrashReport) {
        self.unlogged.entry(report.crash).or_insert(UnloggedReport {
            report,
            append: RepeatedAppend::default(),
        });
    }
}
