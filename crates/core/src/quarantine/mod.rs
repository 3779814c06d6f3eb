//! Tracks requests that crash upstreams, for one gateway.
//!
//! A request that was running during one crash is suspect. It runs alone on its upstream, one such
//! run at a time in the fleet, under a lock in the log. If the run ends without a crash, the
//! request is cleared; if it crashes, the request is quarantined. A request that was running during
//! two crashes is quarantined in any case. This bounds the loss to two upstreams even if the first
//! report arrives too late to stop the second run.
//!
//! Callers retry a failed request immediately, under a new identity and at any gateway. The error
//! of a crash is therefore held back until every gateway that accepts requests knows of the crash:
//! until all known peers have acknowledged the report, or until a peer that did not receive it must
//! have stopped accepting keyed requests because its replica is stale.
//!
//! Before a started gateway accepts requests, it must have queried all sidecars for the crashes
//! that they have recorded.

mod advance;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Fingerprint, Incarnation, Offset};
use crate::mutation::{Mutation, Mutations};
use crate::record::CrashReport;
use crate::replica::Quarantine;

pub use crate::attempt::{AppendResult, TicketId};

/// Number of crashes from which a request is refused.
const MAX_CRASHES: usize = 2;

/// Action that the embedder has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append to the log. Answered by [`SuspectTracker::on_appended`].
    Append(Append),
    /// Send the crash report to all known peers. Answered by [`SuspectTracker::on_acknowledged`].
    Announce(CrashReport),
    /// Send the errors of this crash to the callers.
    Release(Incarnation),
    /// Run the request of a waiting ticket, alone on its upstream if `exclusive` is set.
    Run {
        /// Request to run.
        ticket: TicketId,
        /// Whether it runs alone on its upstream.
        exclusive: bool,
    },
    /// Refuse the request of a waiting ticket: it has crashed upstreams.
    Refuse(TicketId),
}

/// Decision on a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunDecision {
    /// It may run concurrently with others.
    Run,
    /// It must wait. [`Effect::Run`] or [`Effect::Refuse`] follows.
    Wait,
    /// It is refused and did not run.
    Refuse,
}

/// How an exclusive run ended, if it did not crash the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It ran to its end and the upstream did not crash.
    Survived,
    /// It did not run, or not to its end, for another reason.
    NotFinished,
}

/// Waiting times of a [`SuspectTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineTiming {
    /// Time between two tries of an append.
    pub retry_delay: Duration,
    /// Maximum time of one exclusive run, after which another gateway may take the lock.
    pub lock_ttl: Duration,
    /// Additional time that another gateway waits before it takes the lock.
    pub lock_margin: Duration,
    /// Maximum time for which the error of a crash is held back. It must be longer than the time
    /// after which a gateway with a stale replica refuses keyed requests.
    pub max_error_hold: Duration,
}

impl Default for QuarantineTiming {
    /// 100 ms between tries, 60 s for a run, 3.2 s of lock margin (5 % for clock drift and 200 ms),
    /// errors held for up to 3.2 s (3 s until a stale replica counts as isolated and 200 ms).
    fn default() -> Self {
        Self {
            retry_delay: Duration::from_millis(100),
            lock_ttl: Duration::from_mins(1),
            lock_margin: Duration::from_millis(3_200),
            max_error_hold: Duration::from_millis(3_200),
        }
    }
}

/// Suspect requests and crashes as known to one gateway incarnation.
pub struct SuspectTracker {
    instance: Box<str>,
    incarnation: Incarnation,
    timing: QuarantineTiming,
    /// Crash reports that are not in the log yet.
    unlogged: BTreeMap<Incarnation, UnloggedReport>,
    /// Crashes whose errors are held back, each with the latest time at which they are sent.
    held_errors: BTreeMap<Incarnation, MonotonicTime>,
    waiting: BTreeMap<TicketId, Fingerprint>,
    lock: LockState,
    /// Lock of another gateway, by its offset, and when this gateway first read it.
    foreign_lock: Option<(Offset, MonotonicTime)>,
    pending_clears: BTreeMap<Fingerprint, RepeatedAppend>,
    mutations: Mutations,
}

struct UnloggedReport {
    report: CrashReport,
    append: RepeatedAppend,
}

/// Append that is repeated until replay shows its effect.
#[derive(Debug, Default, Clone, Copy)]
struct RepeatedAppend {
    token: Option<u64>,
    retry_at: MonotonicTime,
}

/// State of this gateway with respect to the lock for exclusive runs.
#[derive(Debug, Default)]
enum LockState {
    #[default]
    None,
    /// A claim is in progress; the time of the lock counts from `since`.
    Claiming {
        fingerprint: Fingerprint,
        since: MonotonicTime,
        append: RepeatedAppend,
    },
    /// A request runs under the lock.
    Running { fingerprint: Fingerprint },
    /// The lock is being released.
    Releasing {
        fingerprint: Fingerprint,
        append: RepeatedAppend,
    },
}

impl SuspectTracker {
    /// Creates the state of one gateway incarnation.
    pub fn new(
        instance: impl Into<Box<str>>,
        incarnation: Incarnation,
        timing: QuarantineTiming,
    ) -> Self {
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

    /// Adds a deliberate fault, which the tests must detect.
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

    /// Handles that the caller of a waiting request has left, or that its deadline has passed.
    pub fn caller_left(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Handles a crash report of a sidecar whose callers wait for [`Effect::Release`].
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
        if !replica.is_crash_reported(crash) {
            self.add_unlogged(report);
        }
        self.advance(replica, environment);
    }

    /// Handles a crash report that was received from a peer.
    pub fn on_peer_report<W>(
        &mut self,
        report: CrashReport,
        replica: &Quarantine,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        if !replica.is_crash_reported(report.crash) {
            self.add_unlogged(report);
        }
        self.advance(replica, environment);
    }

    /// Handles that all known peers have acknowledged the report of a crash.
    pub fn on_acknowledged<W>(&mut self, crash: Incarnation, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        if self.held_errors.remove(&crash).is_some() {
            environment.perform(Effect::Release(crash).into());
        }
    }

    /// Handles the end of an exclusive run that did not crash its upstream. After a crash,
    /// [`Self::on_crash`] ends the run.
    pub fn on_run_end<W>(
        &mut self,
        fingerprint: Fingerprint,
        end: RunEnd,
        replica: &Quarantine,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let is_own =
            matches!(&self.lock, LockState::Running { fingerprint: held } if *held == fingerprint);
        if !is_own {
            return;
        }
        let is_cleared = end == RunEnd::Survived && !self.mutations.has(Mutation::NeverClear);
        self.lock = LockState::Releasing {
            fingerprint,
            append: RepeatedAppend::default(),
        };
        if is_cleared {
            self.pending_clears
                .insert(fingerprint, RepeatedAppend::default());
        }
        self.advance(replica, environment);
    }

    /// Handles the result of an append. A lost answer counts as `Done`: the append is repeated
    /// after the retry delay unless replay shows its effect, and a second record of it changes
    /// nothing.
    pub fn on_appended(&mut self, token: u64, result: AppendResult) {
        if result != AppendResult::Refused {
            return;
        }
        let lock = match &mut self.lock {
            LockState::Claiming { append, .. } | LockState::Releasing { append, .. } => {
                Some(append)
            }
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

    /// Acts on the replayed state and on the time. To be called after replay of records about
    /// crashes and exclusive runs, and at least once per retry delay while [`Self::is_busy`].
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

    /// Returns whether [`Self::advance`] is to be called periodically.
    pub fn is_busy(&self) -> bool {
        let is_idle = self.unlogged.is_empty()
            && self.held_errors.is_empty()
            && self.waiting.is_empty()
            && self.pending_clears.is_empty()
            && matches!(self.lock, LockState::None | LockState::Running { .. });
        !is_idle
    }

    /// Returns the request that this gateway runs alone, for its peers.
    pub fn exclusive(&self) -> Option<Fingerprint> {
        match self.lock {
            LockState::Running { fingerprint } => Some(fingerprint),
            _ => None,
        }
    }

    /// Returns the crash reports that are not in the log yet, for the peers.
    pub fn unlogged(&self) -> impl Iterator<Item = &CrashReport> {
        self.unlogged.values().map(|unlogged| &unlogged.report)
    }

    /// Returns the number of crashes during which a request was running, according to the log and
    /// the unlogged reports.
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
        let all: BTreeSet<Incarnation> = logged
            .into_iter()
            .flatten()
            .copied()
            .chain(from_peers)
            .collect();
        all.len()
    }

    fn add_unlogged(&mut self, report: CrashReport) {
        self.unlogged.entry(report.crash).or_insert(UnloggedReport {
            report,
            append: RepeatedAppend::default(),
        });
    }
}
