//! Suspect requests, which were running when an upstream crashed: connects the [`SuspectTracker`]
//! to the data path, the peers and the log.

use std::collections::{HashMap, HashSet};

use nutmegbay_core::environment::Append;
use nutmegbay_core::ids::{Fingerprint, Incarnation};
use nutmegbay_core::quarantine::{
    AppendResult, Effect, QuarantineTiming, RunDecision, RunEnd, SuspectTracker, TicketId,
};
use nutmegbay_core::record::CrashReport;
use nutmegbay_core::replica::Quarantine;
use nutmegbay_core::verdict::Verdict;
use tokio::sync::oneshot;

use super::environment::{Clock, EffectCollector};

/// How a suspect request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermit {
    /// Concurrently with other requests.
    Concurrent,
    /// Alone on its upstream, to find out whether it is the cause of the crash.
    Alone,
    /// It is refused, because it has crashed upstreams.
    Refused,
}

/// Action that needs I/O.
#[derive(Debug)]
pub enum Action {
    /// Append records to the log.
    Append(Append),
    /// Send a crash report to all peers.
    Announce(CrashReport),
}

/// Suspect requests of this gateway and the callers that wait for a decision on them.
pub struct Suspects {
    tracker: SuspectTracker,
    environment: EffectCollector<Effect>,
    waiting: HashMap<TicketId, (Fingerprint, oneshot::Sender<RunPermit>)>,
    /// Replies that are held back until every gateway can know of the crash.
    held_replies: HashMap<Incarnation, Vec<oneshot::Sender<()>>>,
    /// Requests that received a permit to run alone after their caller had disconnected.
    unused_permits: Vec<Fingerprint>,
}

impl Suspects {
    /// Creates the state without suspect requests.
    pub fn new(instance: &str, incarnation: Incarnation, clock: Clock) -> Self {
        Self {
            tracker: SuspectTracker::new(instance, incarnation, QuarantineTiming::default()),
            environment: EffectCollector::new(clock),
            waiting: HashMap::new(),
            held_replies: HashMap::new(),
            unused_permits: Vec::new(),
        }
    }

    /// Decides how a request may run. `reply` receives the permit, at once or after a wait.
    pub fn admit(
        &mut self,
        ticket: TicketId,
        fingerprint: Fingerprint,
        reply: oneshot::Sender<RunPermit>,
        replica: &Quarantine,
    ) {
        let permit = match self
            .tracker
            .admit(ticket, fingerprint, replica, &mut self.environment)
        {
            RunDecision::Run => RunPermit::Concurrent,
            RunDecision::Refuse => RunPermit::Refused,
            RunDecision::Wait => {
                self.waiting.insert(ticket, (fingerprint, reply));
                return;
            }
        };
        // The caller may have disconnected.
        let _ = reply.send(permit);
    }

    /// Handles that a caller that waits for its permit has disconnected.
    pub fn caller_left(&mut self, ticket: TicketId) {
        self.tracker.caller_left(ticket);
        self.waiting.remove(&ticket);
    }

    /// Handles the crash reports of a sidecar whose upstream crashed while it ran a request of this
    /// gateway. `reply` is answered when every gateway can know of the crash.
    pub fn on_crash(
        &mut self,
        reports: Vec<CrashReport>,
        fingerprint: Fingerprint,
        reply: oneshot::Sender<()>,
        replica: &Quarantine,
    ) {
        let last = reports
            .iter()
            .rfind(|report| report.running.contains(&fingerprint));
        if let Some(report) = last {
            self.held_replies
                .entry(report.crash)
                .or_default()
                .push(reply);
        }
        for report in reports {
            if report.running.contains(&fingerprint) {
                self.tracker
                    .on_crash(report, replica, &mut self.environment);
            } else {
                self.tracker
                    .on_peer_report(report, replica, &mut self.environment);
            }
        }
    }

    /// Handles crash reports received from peers or with the status of a sidecar.
    pub fn on_peer_reports(&mut self, reports: Vec<CrashReport>, replica: &Quarantine) {
        for report in reports {
            self.tracker
                .on_peer_report(report, replica, &mut self.environment);
        }
    }

    /// Handles that all peers have acknowledged a crash report.
    pub fn on_acknowledged(&mut self, crash: Incarnation) {
        self.tracker.on_acknowledged(crash, &mut self.environment);
    }

    /// Handles the end of an exclusive run, which the upstream survived or which did not finish.
    pub fn on_run_end(&mut self, fingerprint: Fingerprint, end: RunEnd, replica: &Quarantine) {
        self.tracker
            .on_run_end(fingerprint, end, replica, &mut self.environment);
    }

    /// Handles the result of an append.
    pub fn on_appended(&mut self, token: u64, verdict: Verdict) {
        let result = match verdict {
            Verdict::Ran => AppendResult::Done,
            Verdict::NotRun => AppendResult::Refused,
            Verdict::MayHaveRun => AppendResult::Lost,
        };
        self.tracker.on_appended(token, result);
    }

    /// Handles changes of the replica and timeouts.
    pub fn advance(&mut self, replica: &Quarantine) {
        if self.tracker.is_busy() {
            self.tracker.advance(replica, &mut self.environment);
        }
    }

    /// Fingerprints of the suspect requests that are in the log or reported to this gateway.
    pub fn fingerprints(&self, replica: &Quarantine) -> HashSet<Fingerprint> {
        let logged = replica.iter().map(|(fingerprint, _)| fingerprint);
        let unlogged = self
            .tracker
            .unlogged()
            .flat_map(|r| r.running.iter().copied());
        logged.chain(unlogged).collect()
    }

    /// Crash reports that are not in the log yet.
    pub fn unlogged(&self) -> Vec<CrashReport> {
        self.tracker.unlogged().cloned().collect()
    }

    /// Request that this gateway runs alone on its upstream, if any.
    pub fn exclusive(&self) -> Option<Fingerprint> {
        self.tracker.exclusive()
    }

    /// Answers waiting callers and returns the actions that need I/O.
    pub fn take_actions(&mut self, replica: &Quarantine) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let effects = self.environment.take_effects();
            if effects.is_empty() {
                return actions;
            }
            actions.extend(effects.into_iter().filter_map(|e| self.perform(e)));
            for fingerprint in std::mem::take(&mut self.unused_permits) {
                self.on_run_end(fingerprint, RunEnd::NotFinished, replica);
            }
        }
    }

    fn perform(&mut self, effect: Effect) -> Option<Action> {
        match effect {
            Effect::Append(append) => return Some(Action::Append(append)),
            Effect::Announce(report) => return Some(Action::Announce(report)),
            Effect::Release(crash) => {
                for reply in self.held_replies.remove(&crash).into_iter().flatten() {
                    let _ = reply.send(());
                }
            }
            Effect::Run { ticket, exclusive } => self.send_permit(ticket, exclusive),
            Effect::Refuse(ticket) => {
                if let Some((_, reply)) = self.waiting.remove(&ticket) {
                    let _ = reply.send(RunPermit::Refused);
                }
            }
        }
        None
    }

    fn send_permit(&mut self, ticket: TicketId, exclusive: bool) {
        let Some((fingerprint, reply)) = self.waiting.remove(&ticket) else {
            return;
        };
        let permit = if exclusive {
            RunPermit::Alone
        } else {
            RunPermit::Concurrent
        };
        if reply.send(permit).is_err() && exclusive {
            self.unused_permits.push(fingerprint);
        }
    }
}
