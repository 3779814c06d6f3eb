//! Requests that crash upstreams: connects the view of core to the data path, peers and the log.

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

use super::world::{Clock, Outside};

/// How a suspect request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Beside others.
    Beside,
    /// Alone on its upstream.
    Alone,
    /// Not at all: it has crashed upstreams.
    Never,
}

/// What is left to be done outside.
#[derive(Debug)]
pub enum Todo {
    /// Append to the log.
    Append(Append),
    /// Tell all peers of a crash.
    Announce(CrashReport),
}

/// Suspect requests of this gateway.
pub struct Suspects {
    view: SuspectTracker,
    world: Outside<Effect>,
    waiting: HashMap<TicketId, (Fingerprint, oneshot::Sender<Permit>)>,
    held: HashMap<Incarnation, Vec<oneshot::Sender<()>>>,
    /// Permits to run alone whose caller had left.
    unused: Vec<Fingerprint>,
}

impl Suspects {
    /// State without suspects.
    pub fn new(instance: &str, incarnation: Incarnation, clock: Clock) -> Self {
        Self {
            view: SuspectTracker::new(instance, incarnation, QuarantineTiming::default()),
            world: Outside::new(clock),
            waiting: HashMap::new(),
            held: HashMap::new(),
            unused: Vec::new(),
        }
    }

    /// Decides how a request runs.
    pub fn admit(
        &mut self,
        ticket: TicketId,
        fingerprint: Fingerprint,
        reply: oneshot::Sender<Permit>,
        replica: &Quarantine,
    ) {
        let permit = match self
            .view
            .admit(ticket, fingerprint, replica, &mut self.world)
        {
            RunDecision::Run => Permit::Beside,
            RunDecision::Refuse => Permit::Never,
            RunDecision::Wait => {
                self.waiting.insert(ticket, (fingerprint, reply));
                return;
            }
        };
        // The caller may have left.
        let _ = reply.send(permit);
    }

    /// Tells that a waiting caller has left.
    pub fn gone(&mut self, ticket: TicketId) {
        self.view.caller_left(ticket);
        self.waiting.remove(&ticket);
    }

    /// Takes crash reports of a sidecar under which a request of this gateway was lost; the answer
    /// comes when every gateway can know of the crash.
    pub fn crashed(
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
            self.held.entry(report.crash).or_default().push(reply);
        }
        for report in reports {
            if report.running.contains(&fingerprint) {
                self.view.on_crash(report, replica, &mut self.world);
            } else {
                self.view.on_peer_report(report, replica, &mut self.world);
            }
        }
    }

    /// Takes crash reports of peers, or of sidecars on the way.
    pub fn heard(&mut self, reports: Vec<CrashReport>, replica: &Quarantine) {
        for report in reports {
            self.view.on_peer_report(report, replica, &mut self.world);
        }
    }

    /// All peers have taken the announcement of a crash.
    pub fn acknowledged(&mut self, crash: Incarnation) {
        self.view.on_acknowledged(crash, &mut self.world);
    }

    /// An exclusive run has ended without a crash.
    pub fn finished(&mut self, fingerprint: Fingerprint, end: RunEnd, replica: &Quarantine) {
        self.view
            .on_run_end(fingerprint, end, replica, &mut self.world);
    }

    /// An append has ended.
    pub fn appended(&mut self, token: u64, verdict: Verdict) {
        let result = match verdict {
            Verdict::Ran => AppendResult::Done,
            Verdict::NotRun => AppendResult::Refused,
            Verdict::MayHaveRun => AppendResult::Lost,
        };
        self.view.on_appended(token, result);
    }

    /// Acts on what replay shows and on the time.
    pub fn advance(&mut self, replica: &Quarantine) {
        if self.view.is_busy() {
            self.view.advance(replica, &mut self.world);
        }
    }

    /// Requests that have crashed an upstream, as far as this gateway knows.
    pub fn known(&self, replica: &Quarantine) -> HashSet<Fingerprint> {
        let logged = replica.iter().map(|(fingerprint, _)| fingerprint);
        let heard = self.view.unlogged().flat_map(|r| r.running.iter().copied());
        logged.chain(heard).collect()
    }

    /// Reports that the log does not show yet.
    pub fn unlogged(&self) -> Vec<CrashReport> {
        self.view.unlogged().cloned().collect()
    }

    /// Request that this gateway runs alone.
    pub fn exclusive(&self) -> Option<Fingerprint> {
        self.view.exclusive()
    }

    /// Answers callers and returns what is left to be done outside.
    pub fn take(&mut self, replica: &Quarantine) -> Vec<Todo> {
        let mut todo = Vec::new();
        loop {
            let effects = self.world.take();
            if effects.is_empty() {
                return todo;
            }
            todo.extend(effects.into_iter().filter_map(|e| self.perform(e)));
            for fingerprint in std::mem::take(&mut self.unused) {
                self.finished(fingerprint, RunEnd::NotFinished, replica);
            }
        }
    }

    fn perform(&mut self, effect: Effect) -> Option<Todo> {
        match effect {
            Effect::Append(append) => return Some(Todo::Append(append)),
            Effect::Announce(report) => return Some(Todo::Announce(report)),
            Effect::Release(crash) => {
                for reply in self.held.remove(&crash).into_iter().flatten() {
                    let _ = reply.send(());
                }
            }
            Effect::Run { ticket, exclusive } => self.permit(ticket, exclusive),
            Effect::Refuse(ticket) => {
                if let Some((_, reply)) = self.waiting.remove(&ticket) {
                    let _ = reply.send(Permit::Never);
                }
            }
        }
        None
    }

    fn permit(&mut self, ticket: TicketId, exclusive: bool) {
        let Some((fingerprint, reply)) = self.waiting.remove(&ticket) else {
            return;
        };
        let permit = if exclusive {
            Permit::Alone
        } else {
            Permit::Beside
        };
        if reply.send(permit).is_err() && exclusive {
            self.unused.push(fingerprint);
        }
    }
}
