//! Simulated gateways: suspect tracker, replica and messages.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_core::ids::{Fingerprint, Incarnation};
use nutmegbay_core::quarantine::{
    AppendResult, Effect, QuarantineTiming, RunDecision, RunEnd, SuspectTracker, TicketId,
};
use nutmegbay_core::replica::{Quarantine, Replica};

use super::{End, Event, GATEWAYS, POLL_MS, READ_MS, Sim};

/// Age in milliseconds of its state from which a gateway accepts no requests.
const STALE_MS: u64 = 3_000;

pub struct Gateway {
    /// Identifies the running process. A restart changes it.
    pub process: Incarnation,
    pub paused_until: u64,
    tracker: SuspectTracker,
    replica: Replica,
    /// Callers whose error is held back, by crash.
    held: BTreeMap<Incarnation, Vec<TicketId>>,
    /// Peers that have not acknowledged a crash yet.
    unacknowledged: BTreeMap<Incarnation, BTreeSet<usize>>,
    exclusive: BTreeMap<TicketId, Fingerprint>,
    /// When it last read the log or queried the sidecars, `None` since its start.
    current_at: Option<u64>,
}

struct TestEnvironment {
    now: MonotonicTime,
    random: u64,
    effects: Vec<Effect>,
}

impl Environment for TestEnvironment {
    type Effect = Effect;

    fn now(&self) -> MonotonicTime {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        0
    }

    fn random(&mut self) -> u128 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.random.into()
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

impl Sim {
    pub(super) fn new_gateway(&mut self) -> Gateway {
        let process = self.new_incarnation();
        let timing = QuarantineTiming {
            lock_ttl: Duration::from_secs(2),
            lock_margin: Duration::from_millis(300),
            ..QuarantineTiming::default()
        };
        Gateway {
            process,
            paused_until: 0,
            tracker: SuspectTracker::new("g", process, timing).with_mutations(self.mutations),
            replica: Replica::new().with_mutations(self.mutations),
            held: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            exclusive: BTreeMap::new(),
            current_at: None,
        }
    }

    /// A gateway accepts requests only after it has queried all sidecars for crashes.
    pub(super) fn start_gateway(&mut self, gateway: usize) {
        let process = self.gateways[gateway].process;
        self.push(0, Event::Read { gateway, process });
        self.push(0, Event::Poll { gateway, process });
        self.push(0, Event::Advance { gateway, process });
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        let old = &self.gateways[gateway];
        let process = old.process;
        self.killed_error_holders += usize::from(!old.held.is_empty());
        self.gateways[gateway] = self.new_gateway();
        self.start_gateway(gateway);
        self.cancel_runs(process);
        let open = self.tickets.iter();
        let open: Vec<TicketId> = open
            .filter(|(_, t)| t.gateway == gateway && t.end.is_none())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in open {
            self.end(ticket, End::Killed);
        }
    }

    pub(super) fn on_gateway(&mut self, gateway: usize, event: Event) {
        match event {
            Event::Begin { ticket, .. } => self.on_begin(gateway, ticket),
            Event::Advance { process, .. } => {
                self.with(gateway, SuspectTracker::advance);
                self.push(50, Event::Advance { gateway, process });
            }
            Event::Read { process, .. } => {
                self.on_read(gateway);
                // Random pauses, so that the gateways do not read in lockstep and one may see a
                // record before the others.
                let after = 1 + self.random_below(2 * READ_MS);
                self.push(after, Event::Read { gateway, process });
            }
            Event::Poll { process, .. } => {
                self.gateways[gateway].current_at = Some(self.now);
                let reports = self
                    .upstreams
                    .iter()
                    .flat_map(|u| u.reports.iter().cloned());
                let reports: Vec<_> = reports.collect();
                for report in reports {
                    self.with(gateway, |tracker, replica, environment| {
                        tracker.on_peer_report(report, replica, environment);
                    });
                }
                self.push(POLL_MS, Event::Poll { gateway, process });
            }
            Event::Appended { token, result, .. } => {
                self.gateways[gateway].tracker.on_appended(token, result);
            }
            Event::Announced {
                from,
                from_process,
                report,
                ..
            } => {
                let crash = report.crash;
                self.with(gateway, |tracker, replica, environment| {
                    tracker.on_peer_report(report, replica, environment);
                });
                let event = Event::Acknowledged {
                    gateway: from,
                    process: from_process,
                    peer: gateway,
                    crash,
                };
                self.push(2, event);
            }
            Event::Acknowledged { peer, crash, .. } => {
                let Some(missing) = self.gateways[gateway].unacknowledged.get_mut(&crash) else {
                    return;
                };
                missing.remove(&peer);
                if missing.is_empty() {
                    self.with(gateway, |tracker, _, environment| {
                        tracker.on_acknowledged(crash, environment);
                    });
                }
            }
            Event::Crashed {
                report, tickets, ..
            } => {
                let target = &mut self.gateways[gateway];
                for ticket in &tickets {
                    target.exclusive.remove(ticket);
                }
                target.held.entry(report.crash).or_default().extend(tickets);
                self.with(gateway, |tracker, replica, environment| {
                    tracker.on_crash(report, replica, environment);
                });
            }
            Event::Ended { ticket, .. } => {
                if let Some(fingerprint) = self.gateways[gateway].exclusive.remove(&ticket) {
                    self.with(gateway, |tracker, replica, environment| {
                        tracker.on_run_end(fingerprint, RunEnd::Survived, replica, environment);
                    });
                }
                self.end(ticket, End::Done);
            }
            Event::Append { .. } | Event::RunEnds { .. } => {}
        }
    }

    fn on_begin(&mut self, gateway: usize, ticket: TicketId) {
        let target = &self.gateways[gateway];
        let is_current = target
            .current_at
            .is_some_and(|at| self.now <= at + STALE_MS);
        if !is_current {
            let process = target.process;
            let event = Event::Begin {
                gateway,
                process,
                ticket,
            };
            self.push(1, event);
            return;
        }
        let fingerprint = self.tickets[&ticket].fingerprint;
        let mut decision = RunDecision::Wait;
        self.with(gateway, |tracker, replica, environment| {
            decision = tracker.admit(ticket, fingerprint, replica, environment);
        });
        match decision {
            RunDecision::Run => self.dispatch(gateway, ticket, false),
            RunDecision::Refuse => self.end(ticket, End::Refused),
            RunDecision::Wait => {}
        }
    }

    fn on_read(&mut self, gateway: usize) {
        if self.now < self.outage_until {
            return;
        }
        let target = &mut self.gateways[gateway];
        target.current_at = Some(self.now);
        let from = usize::try_from(target.replica.next().0).unwrap();
        for text in self.log.get(from..).unwrap_or_default() {
            target.replica.apply(target.replica.next(), text);
        }
        self.with(gateway, SuspectTracker::advance);
    }

    /// Lets a suspect tracker act and performs its effects.
    fn with(
        &mut self,
        gateway: usize,
        act: impl FnOnce(&mut SuspectTracker, &Quarantine, &mut TestEnvironment),
    ) {
        let mut environment = TestEnvironment {
            now: MonotonicTime(Duration::from_millis(self.now)),
            random: self.random_below(u64::MAX),
            effects: Vec::new(),
        };
        let target = &mut self.gateways[gateway];
        act(
            &mut target.tracker,
            target.replica.quarantine(),
            &mut environment,
        );
        for effect in environment.effects {
            self.perform(gateway, effect);
        }
    }

    fn perform(&mut self, gateway: usize, effect: Effect) {
        let process = self.gateways[gateway].process;
        match effect {
            Effect::Append(append) => {
                let text: Rc<str> = serde_json::to_string(&append.records[0]).unwrap().into();
                let token = append.token;
                let event = Event::Append {
                    gateway,
                    process,
                    token,
                    text,
                };
                let time = 1 + self.random_below(10);
                self.push(time, event);
                let lost = Event::Appended {
                    gateway,
                    process,
                    token,
                    result: AppendResult::Lost,
                };
                self.push(300, lost);
            }
            Effect::Announce(report) => {
                let peers: BTreeSet<usize> =
                    (0..GATEWAYS).filter(|peer| *peer != gateway).collect();
                for peer in &peers {
                    if self.lose_announcements > 0 {
                        self.lose_announcements -= 1;
                        continue;
                    }
                    let event = Event::Announced {
                        gateway: *peer,
                        process: self.gateways[*peer].process,
                        from: gateway,
                        from_process: process,
                        report: report.clone(),
                    };
                    let time = 1 + self.random_below(10);
                    self.push(time, event);
                }
                let crash = report.crash;
                self.gateways[gateway].unacknowledged.insert(crash, peers);
            }
            Effect::Release(crash) => {
                let held = self.gateways[gateway].held.remove(&crash);
                for ticket in held.into_iter().flatten() {
                    self.end(ticket, End::Failed);
                }
            }
            Effect::Run { ticket, exclusive } => {
                if exclusive {
                    let fingerprint = self.tickets[&ticket].fingerprint;
                    self.gateways[gateway].exclusive.insert(ticket, fingerprint);
                }
                self.dispatch(gateway, ticket, exclusive);
            }
            Effect::Refuse(ticket) => self.end(ticket, End::Refused),
        }
    }
}
