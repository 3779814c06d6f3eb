//! Simulated gateways: coordinator, replica and messages.

use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::attempt::{
    AppendResult, Coordinator, CoordinatorTiming, DispatchResult, Effect, Event as Input, Target,
};
use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_core::ids::{CallKey, Incarnation};
use nutmegbay_core::record::{Body, Record};
use nutmegbay_core::replica::{Applied, Replica};

use super::event::Event;
use super::{APPEND_TIMEOUT_MS, RPC_TIMEOUT_MS, SIDECARS, Sim};

pub struct Gateway {
    pub incarnation: Incarnation,
    pub paused_until: u64,
    coordinator: Coordinator,
    replica: Replica,
    /// Incarnations of the sidecars as known to this gateway, which may be outdated.
    known_sidecars: [Incarnation; SIDECARS],
    tick_at: Option<u64>,
}

struct TestEnvironment<'a> {
    now: MonotonicTime,
    random: &'a mut dyn FnMut() -> u64,
    effects: Vec<Effect>,
}

impl Environment for TestEnvironment<'_> {
    type Effect = Effect;

    fn now(&self) -> MonotonicTime {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        0
    }

    fn random(&mut self) -> u128 {
        (self.random)().into()
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

fn monotonic_time(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap()
}

/// Returns the call that a record is about, if any.
fn call_of(record: &Record) -> Option<CallKey> {
    match &record.body {
        Body::AttemptOpen(open) => Some(open.call),
        Body::AttemptFence(fence) => Some(fence.call),
        Body::AttemptOutcome(outcome) => Some(outcome.call),
        _ => None,
    }
}

impl Sim {
    pub(super) fn new_gateway(&mut self) -> Gateway {
        let incarnation = self.new_incarnation();
        let timing = CoordinatorTiming {
            join_grace: Duration::from_millis(200),
            join_wait: Duration::from_millis(500),
            record_wait: Duration::from_millis(200),
            ..CoordinatorTiming::default()
        };
        let coordinator = Coordinator::new("g", incarnation, timing).unwrap();
        Gateway {
            incarnation,
            paused_until: 0,
            coordinator: coordinator.with_mutations(self.mutations),
            replica: Replica::new().with_mutations(self.mutations),
            known_sidecars: std::array::from_fn(|sidecar| self.sidecars[sidecar].incarnation),
            tick_at: None,
        }
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        let open: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.gateway == gateway && ticket.ended.is_none())
            .map(|(id, _)| *id)
            .collect();
        for ticket in open {
            self.end(ticket, None);
        }
        self.gateways[gateway] = self.new_gateway();
        self.read(gateway);
    }

    pub(super) fn on_gateway(&mut self, gateway: usize, event: Event) {
        match event {
            Event::Begin { req, .. } => self.with(gateway, |coordinator, replica, environment| {
                coordinator.begin(req, replica.attempts(), environment);
            }),
            Event::CallerLeft { ticket, .. } => {
                self.end(ticket, None);
                self.with(gateway, |coordinator, replica, environment| {
                    coordinator.caller_left(ticket, replica.attempts(), environment);
                });
            }
            Event::Tick { .. } => {
                self.gateways[gateway].tick_at = None;
                self.with(gateway, |coordinator, replica, environment| {
                    coordinator.tick(replica.attempts(), environment);
                });
            }
            Event::Choose { call, .. } => {
                let target = self.choose(gateway);
                self.input(gateway, Input::Chosen(call, target));
            }
            Event::Appended { token, result, .. } => {
                self.input(gateway, Input::Appended(token, result));
            }
            Event::Dispatched {
                attempt, result, ..
            } => {
                self.oracle.dispatched(attempt, &result);
                self.input(gateway, Input::Dispatched(attempt, result));
            }
            Event::Queried { attempt, state, .. } => {
                self.input(gateway, Input::Queried(attempt, state));
            }
            Event::ReadAnswered {
                started, records, ..
            } => self.on_read_answered(gateway, started, records),
            _ => {}
        }
    }

    fn input(&mut self, gateway: usize, input: Input) {
        self.with(gateway, |coordinator, replica, environment| {
            coordinator.on_event(input, replica.attempts(), environment);
        });
    }

    fn on_read_answered(&mut self, gateway: usize, started: u64, records: Option<Vec<Rc<str>>>) {
        let Some(records) = records else {
            self.read_after(gateway, 50);
            return;
        };
        for text in records {
            let replica = &mut self.gateways[gateway].replica;
            let applied = replica.apply(replica.next(), &text);
            let (Applied::Accepted(record) | Applied::Rejected(record, _)) = applied else {
                continue;
            };
            if let Some(call) = call_of(&record) {
                self.input(gateway, Input::Replayed(call, record.id));
            }
        }
        self.input(gateway, Input::CompleteAsOf(monotonic_time(started)));
        self.read(gateway);
    }

    /// Starts the next read of the log.
    pub(super) fn read(&mut self, gateway: usize) {
        self.read_after(gateway, 0);
    }

    fn read_after(&mut self, gateway: usize, after: u64) {
        let target = &self.gateways[gateway];
        let event = Event::ReadArrives {
            gateway,
            incarnation: target.incarnation,
            started: self.now + after,
            from: usize::try_from(target.replica.next().0).unwrap(),
        };
        let at = self.now + after + self.latency();
        self.queue.push(at, event);
    }

    /// Chooses a sidecar that is not known to drain. The known incarnation may be outdated.
    fn choose(&mut self, gateway: usize) -> Option<Target> {
        let sidecar = usize::try_from(self.random_below(SIDECARS as u64)).unwrap();
        if self.random_below(4) > 0 {
            if self.sidecars[sidecar].draining {
                return None;
            }
            self.gateways[gateway].known_sidecars[sidecar] = self.sidecars[sidecar].incarnation;
        }
        Some(Target {
            upstream: sidecar.to_string().into(),
            sidecar: self.gateways[gateway].known_sidecars[sidecar],
        })
    }

    /// Lets a coordinator act and performs its effects.
    fn with(
        &mut self,
        gateway: usize,
        act: impl FnOnce(&mut Coordinator, &Replica, &mut TestEnvironment<'_>),
    ) {
        let now = self.now;
        let mut seed = self.random_bits();
        let mut random = || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            seed
        };
        let mut environment = TestEnvironment {
            now: monotonic_time(now),
            random: &mut random,
            effects: Vec::new(),
        };
        let target = &mut self.gateways[gateway];
        act(&mut target.coordinator, &target.replica, &mut environment);
        let effects = environment.effects;
        let incarnation = target.incarnation;
        for effect in effects {
            self.perform(gateway, incarnation, effect);
        }
        self.schedule_tick(gateway);
    }

    fn schedule_tick(&mut self, gateway: usize) {
        let target = &mut self.gateways[gateway];
        let Some(wake) = target.coordinator.next_wake() else {
            return;
        };
        let at = millis(wake.0).max(self.now + 1);
        if target
            .tick_at
            .is_none_or(|known_sidecars| known_sidecars > at)
        {
            target.tick_at = Some(at);
            let incarnation = target.incarnation;
            self.queue.push(
                at,
                Event::Tick {
                    gateway,
                    incarnation,
                },
            );
        }
    }

    fn perform(&mut self, gateway: usize, incarnation: Incarnation, effect: Effect) {
        match effect {
            Effect::Append(append) => {
                let text: Rc<str> = serde_json::to_string(&append.records[0]).unwrap().into();
                let token = append.token;
                let event = Event::Append {
                    gateway,
                    incarnation,
                    token,
                    text,
                };
                self.send_lossless(event);
                let lost = Event::Appended {
                    gateway,
                    incarnation,
                    token,
                    result: AppendResult::Lost,
                };
                self.queue.push(self.now + APPEND_TIMEOUT_MS, lost);
            }
            Effect::Choose(call) => {
                let event = Event::Choose {
                    gateway,
                    incarnation,
                    call,
                };
                self.queue.push(self.now + 1, event);
            }
            Effect::Dispatch {
                attempt, upstream, ..
            } => {
                let sidecar: usize = upstream.parse().unwrap();
                // The connection leads to the incarnation that listens now.
                let sidecar_incarnation = self.sidecars[sidecar].incarnation;
                self.oracle.sent(attempt);
                let event = Event::Dispatch {
                    gateway,
                    incarnation,
                    sidecar,
                    sidecar_incarnation,
                    attempt,
                };
                self.send(event);
                let lost = Event::Dispatched {
                    gateway,
                    incarnation,
                    attempt,
                    result: DispatchResult::Lost,
                };
                self.queue.push(self.now + 2 * RPC_TIMEOUT_MS, lost);
            }
            Effect::Query {
                attempt,
                upstream,
                fence,
                wait,
            } => {
                let sidecar: usize = upstream.parse().unwrap();
                let sidecar_incarnation = self.sidecars[sidecar].incarnation;
                let wait = millis(wait);
                let event = Event::Query {
                    gateway,
                    incarnation,
                    sidecar,
                    sidecar_incarnation,
                    attempt,
                    fence,
                    wait,
                };
                self.send(event);
                let lost = Event::Queried {
                    gateway,
                    incarnation,
                    attempt,
                    state: None,
                };
                self.queue.push(self.now + wait + RPC_TIMEOUT_MS, lost);
            }
            Effect::Finish { ticket, end } => self.end(ticket, Some(end)),
        }
    }
}
