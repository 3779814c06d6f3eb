//! One run: callers, gateways with the real decision code, and fake engines on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::plan::{DemandLedger, EngineView, Engines, Order, Planner};
use nutmegbay_policy::queue::Queue;
use nutmegbay_policy::route::Router;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{Costs, Engine, Progress, Sequence, limits};
use super::events::{Call, Delivery, Due, Event, Run};
use super::gateway::{Flight, Gateway};
use super::tally::Tally;
use super::workload::{EVENT_S, PIECE, RUN_S, Request, Scenario};

/// Gateways of a site.
pub const GATEWAYS: usize = 3;

/// Failure domains of a site.
pub const DOMAINS: u16 = 3;

/// Time between two load reports of an engine.
const REPORT_S: f64 = 0.5;

/// Lag of a load report.
const REPORT_LAG_S: f64 = 0.3;

/// Share of cache events that get lost.
const EVENT_LOSS: f64 = 0.02;

/// Time between two gossip rounds.
const GOSSIP_S: f64 = 0.25;

/// Time between two looks at the demand.
const PLAN_S: f64 = 1.0;

/// Time between two looks at a queue that waits for room.
const PUMP_S: f64 = 0.02;

/// Time until a caller that was refused or hung up is back.
const RETURN_S: f64 = 0.05;

/// Time from gateway to engine.
const HOP_S: f64 = 0.001;

/// Time until a crashed engine is back.
const RESTART_S: f64 = 30.0;

/// Crashes after which a request is refused for good.
const QUARANTINE_AFTER: u32 = 2;

/// Which mechanisms around queue, router and planner are in use.
#[derive(Debug, Clone, Copy)]
pub struct Mechanisms {
    /// Repeats join, lost streams resume, requests that crash engines are quarantined.
    pub join: bool,
    /// Requests wait in the gateway until an engine can start on them within this time.
    pub window_s: Option<f64>,
}

/// A site under one policy.
pub struct Site<R, Q, P> {
    pub(super) requests: Vec<Request>,
    pub(super) costs: Costs,
    pub(super) mechanisms: Mechanisms,
    pub(super) gateways: Vec<Gateway<R, Q>>,
    pub(super) engines: Vec<Engine>,
    pub(super) keys: Vec<UpstreamKey>,
    pub(super) calls: Vec<Call>,
    pub(super) flights: Vec<Flight>,
    pub(super) runs: Vec<Run>,
    pub(super) tally: Tally,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: f64,
    pub(super) offered: DemandLedger,
    pub(super) crashes: Vec<u32>,
    scenario: Scenario,
    planner: P,
    due: BinaryHeap<Reverse<Due>>,
    seq: u64,
    event_next: Vec<u64>,
}

impl<R: Router, Q: Queue<usize>, P: Planner> Site<R, Q, P> {
    /// Prepares a run.
    pub fn new(
        scenario: Scenario,
        requests: Vec<Request>,
        gateways: Vec<Gateway<R, Q>>,
        planner: P,
        mechanisms: Mechanisms,
        roles: &[EngineRole],
        seed: u64,
    ) -> Self {
        let tally = Tally::new(&requests);
        let crashes = vec![0; requests.len()];
        let mut site = Self {
            requests,
            costs: Costs::default(),
            mechanisms,
            gateways,
            engines: Vec::new(),
            keys: Vec::new(),
            calls: Vec::new(),
            flights: Vec::new(),
            runs: Vec::new(),
            tally,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5173),
            now: 0.0,
            offered: DemandLedger::new(1),
            crashes,
            scenario,
            planner,
            due: BinaryHeap::new(),
            seq: 0,
            event_next: Vec::new(),
        };
        for (index, &role) in roles.iter().enumerate() {
            site.add_engine(index as u16 % DOMAINS, role);
        }
        site.schedule_all();
        site
    }

    /// Runs to the end and returns what was counted.
    pub fn run(mut self) -> Tally {
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at > RUN_S {
                break;
            }
            self.now = due.at;
            self.handle(due.event);
        }
        for run in 0..self.runs.len() {
            self.close_run(run);
        }
        for engine in &self.engines {
            self.tally.engine_ends(engine.up || !engine.leaving, RUN_S);
        }
        self.tally
    }

    pub(super) fn moment(&self) -> MonotonicTime {
        MonotonicTime(Duration::from_secs_f64(self.now))
    }

    pub(super) fn at(&mut self, after: f64, event: Event) {
        self.seq += 1;
        self.due.push(Reverse(Due {
            at: self.now + after,
            seq: self.seq,
            event,
        }));
    }

    fn schedule_all(&mut self) {
        for index in 0..self.requests.len() {
            let at = self.requests[index].at;
            self.at(at, Event::Send(index));
        }
        self.at(GOSSIP_S, Event::Gossip);
        self.at(PLAN_S, Event::Plan);
        let engines = self.engines.len();
        match self.scenario {
            Scenario::EngineCrash => {
                for round in 0..8 {
                    let engine = self.rng.random_range(0..engines);
                    // The first falls in the role changes after the mix has swung.
                    self.at(155.0 + 50.0 * f64::from(round), Event::Crash(engine));
                }
            }
            Scenario::DomainLost => {
                for engine in (0..engines).step_by(usize::from(DOMAINS)) {
                    self.at(EVENT_S.0, Event::Crash(engine));
                }
            }
            _ => {}
        }
    }

    fn add_engine(&mut self, domain: u16, role: EngineRole) {
        let index = self.engines.len();
        self.engines.push(Engine::new(domain, role));
        self.event_next.push(0);
        let now = self.moment();
        for gateway in &mut self.gateways {
            let key = gateway.fleet.add(domain, role, now);
            if let Some(up) = gateway.fleet.get_mut(key) {
                up.slots = limits(role).1 as u32;
            }
            if self.keys.len() == index {
                self.keys.push(key);
            }
            gateway.index.insert(key, index);
        }
        self.tally.engine_starts(self.now);
        let phase = self.rng.random_range(0.0..REPORT_S);
        self.at(phase, Event::Report(index));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(req) => self.send(req),
            Event::Patience(call) => self.lose_patience(call),
            Event::Submit(run) => self.submit(run),
            Event::StepEnd(engine, life) => self.end_step(engine, life),
            Event::Report(engine) => self.report(engine),
            Event::Deliver(delivery) => self.deliver(&delivery),
            Event::Gossip => {
                self.gossip();
                self.at(GOSSIP_S, Event::Gossip);
            }
            Event::Plan => {
                self.plan();
                self.at(PLAN_S, Event::Plan);
            }
            Event::Pump(gateway) => {
                self.gateways[gateway].pump_due = false;
                self.pump(gateway);
            }
            Event::Changed(engine, life) => self.changed(engine, life),
            Event::Crash(engine) => self.crash(engine),
            Event::Restart(engine) => self.restart(engine),
            Event::Added(domain) => self.add_engine(domain, EngineRole::Mixed),
        }
    }

    pub(super) fn pump_later(&mut self, gateway: usize) {
        if !self.gateways[gateway].pump_due {
            self.gateways[gateway].pump_due = true;
            self.at(PUMP_S, Event::Pump(gateway));
        }
    }

    /// The caller of `req` sends it, again or for the first time.
    fn send(&mut self, req: usize) {
        let request = &self.requests[req];
        if self.tally.is_done(req) || self.now > request.at + request.deadline {
            return;
        }
        let patience = request.patience * self.scenario.patience(self.now);
        let call = self.calls.len();
        self.calls.push(Call {
            req,
            alive: true,
            answered: false,
            flight: usize::MAX,
        });
        let gateway = self.rng.random_range(0..GATEWAYS);
        self.at(patience, Event::Patience(call));
        self.enter(gateway, call);
    }

    fn lose_patience(&mut self, call: usize) {
        let Call {
            req,
            alive,
            answered,
            flight,
        } = self.calls[call];
        if !alive || answered {
            return;
        }
        self.calls[call].alive = false;
        self.hang_up(flight);
        self.at(RETURN_S, Event::Send(req));
    }

    /// Ends a call without an answer; its caller comes back at once.
    pub(super) fn refuse(&mut self, call: usize) {
        if std::mem::replace(&mut self.calls[call].alive, false) {
            let req = self.calls[call].req;
            self.tally.refused += 1;
            self.at(RETURN_S, Event::Send(req));
        }
    }

    fn kick(&mut self, engine: usize) {
        let costs = self.costs;
        let life = self.engines[engine].life;
        if let Some(seconds) = self.engines[engine].start(&costs) {
            self.at(seconds, Event::StepEnd(engine, life));
            return;
        }
        self.drain_done(engine);
    }

    fn submit(&mut self, run: usize) {
        if !self.runs[run].live {
            return;
        }
        let handed_over = self.runs[run].handed_over;
        let engine = match self.runs[run].decode {
            Some(decode) if handed_over => decode,
            _ => self.runs[run].engine,
        };
        let flight = &self.flights[self.runs[run].flight];
        let request = &self.requests[flight.req];
        // A draining engine refuses new work as not run; a stream that is handed over to it was
        // promised before and goes on.
        let refused = !self.engines[engine].up
            || self.engines[engine].changing
            || !handed_over && !self.engines[engine].accepts();
        if refused {
            let key = self.keys[engine];
            self.runs[run].live = false;
            self.give_back(run);
            self.again(self.runs[run].flight, key);
            return;
        }
        let prompt = request.prompt + flight.delivered;
        let imported = match (handed_over, self.runs[run].holder) {
            (true, _) => prompt,
            (false, Some(holder)) => self.engines[holder].held(&request.pieces) as u32 * PIECE,
            (false, None) => 0,
        };
        let seq = Sequence {
            id: run,
            priority: u8::from(request.urgent),
            prompt,
            pieces: request.pieces.clone(),
            prefill_left: 0,
            output_left: request.output - flight.delivered.min(request.output - 1),
            prefill_only: self.runs[run].decode.is_some() && !handed_over,
            poison: request.poison,
            imported,
        };
        let (req, gateway) = (flight.req, flight.gateway);
        let cached = self.engines[engine].submit(seq, PIECE);
        if !handed_over {
            self.runs[run].prefilled = prompt - cached;
            self.runs[run].submitted = self.now;
            let key = self.keys[engine];
            let pieces = &self.requests[req].pieces;
            let missed = cached < self.runs[run].expected_cached && imported == 0;
            if let Some(up) = self.gateways[gateway].fleet.get_mut(key).filter(|_| missed) {
                let held = (cached / PIECE) as usize;
                up.prefix_blocks_mut().record_hits(pieces, held);
            }
        }
        self.kick(engine);
    }

    fn end_step(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life != life {
            return;
        }
        let Some(progress) = self.engines[engine].finish() else {
            self.crash(engine);
            return;
        };
        for step in progress {
            match step {
                Progress::Prefilled(run) => self.prefilled(run),
                Progress::Token(run) => self.token(run, false),
                Progress::Last(run) => self.token(run, true),
            }
        }
        self.kick(engine);
    }

    fn report(&mut self, engine: usize) {
        let state = &self.engines[engine];
        if state.up && !state.changing {
            let (mut events, next) = state.events(self.event_next[engine]);
            let delivery = Delivery {
                engine,
                life: state.life,
                taken: self.now,
                report: state.load(),
                accepts: state.accepts(),
                events: Vec::new(),
                next,
            };
            self.event_next[engine] = next;
            events.retain(|_| self.rng.random::<f64>() >= EVENT_LOSS);
            let delivery = Delivery { events, ..delivery };
            self.at(REPORT_LAG_S, Event::Deliver(Box::new(delivery)));
        }
        self.at(REPORT_S, Event::Report(engine));
    }

    fn deliver(&mut self, delivery: &Delivery) {
        let key = self.keys[delivery.engine];
        let current = self.engines[delivery.engine].life == delivery.life;
        let taken = MonotonicTime(Duration::from_secs_f64(delivery.taken));
        for gateway in &mut self.gateways {
            if let Some(up) = gateway.fleet.get_mut(key) {
                up.apply_report(delivery.report, taken);
                up.slots = limits(delivery.report.role).1 as u32;
                up.prefix_blocks_mut()
                    .apply(&delivery.events, delivery.next);
                up.accepting =
                    delivery.accepts && current && self.engines[delivery.engine].accepts();
            }
        }
        for gateway in 0..GATEWAYS {
            self.pump(gateway);
        }
    }

    fn plan(&mut self) {
        let now = self.moment();
        let offered = self.offered.take(now);
        self.planner.observe(offered, now);
        let log_down =
            self.scenario == Scenario::LogOutage && (EVENT_S.0..EVENT_S.1).contains(&self.now);
        // Orders need their intent in the log.
        if log_down {
            return;
        }
        let mut engines = Engines::new();
        let fleet = &self.gateways[0].fleet;
        for (index, &key) in self.keys.iter().enumerate() {
            let Some(up) = fleet.get(key).filter(|_| !self.engines[index].leaving) else {
                continue;
            };
            let view = EngineView {
                domain: up.domain,
                role: up.role,
                version: 0,
                available: up.accepting,
                report_age: now.since(up.reported_at()),
                backlog: up.backlog(&self.gateways[0].cost, now),
            };
            engines.insert(key, view);
        }
        for order in self.planner.plan(&engines, now) {
            self.order(order);
        }
    }

    fn order(&mut self, order: Order) {
        match order {
            Order::SetRole(key, role) => {
                let engine = self.gateways[0].index[key];
                if self.engines[engine].accepts() {
                    self.tally.role_change(engine, self.now);
                    self.engines[engine].next_role = Some(role);
                    self.stop_accepting(engine);
                    self.drain_done(engine);
                }
            }
            Order::Add(domain) => {
                self.tally.ordered += 1;
                self.at(180.0, Event::Added(domain));
            }
            Order::Remove(key) => {
                let engine = self.gateways[0].index[key];
                if self.engines[engine].accepts() {
                    self.tally.given_back += 1;
                    self.engines[engine].leaving = true;
                    self.stop_accepting(engine);
                    self.drain_done(engine);
                }
            }
            Order::LoadVersion(..) => {}
        }
    }

    /// A sidecar announces its drain directly to the gateways.
    fn stop_accepting(&mut self, engine: usize) {
        for gateway in &mut self.gateways {
            if let Some(up) = gateway.fleet.get_mut(self.keys[engine]) {
                up.accepting = false;
            }
        }
    }

    fn drain_done(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if !state.up || state.busy || state.changing || !state.is_idle() {
            return;
        }
        if state.leaving {
            state.up = false;
            self.tally.engine_ends(true, self.now);
        } else if state.next_role.is_some() {
            state.changing = true;
            let (life, seconds) = (state.life, self.costs.change_s);
            self.at(seconds, Event::Changed(engine, life));
        }
    }

    fn changed(&mut self, engine: usize, life: u32) {
        let state = &mut self.engines[engine];
        if state.life != life || !state.changing {
            return;
        }
        state.changing = false;
        if let Some(role) = state.next_role.take() {
            state.role = role;
            state.forget();
        }
        self.forget(engine);
        self.kick(engine);
    }

    fn forget(&mut self, engine: usize) {
        let (_, next) = self.engines[engine].events(u64::MAX);
        self.event_next[engine] = next;
        for gateway in &mut self.gateways {
            if let Some(up) = gateway.fleet.get_mut(self.keys[engine]) {
                up.prefix_blocks_mut().clear();
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        if !self.engines[engine].up || self.engines[engine].leaving {
            return;
        }
        let lost = self.engines[engine].crash();
        self.tally.crashes += 1;
        self.stop_accepting(engine);
        let long = self.scenario == Scenario::DomainLost;
        let back = if long {
            EVENT_S.1 - EVENT_S.0
        } else {
            RESTART_S
        };
        self.at(back, Event::Restart(engine));
        for run in lost {
            let flight = self.runs[run].flight;
            let req = self.flights[flight].req;
            self.crashes[req] += 1;
            if !std::mem::replace(&mut self.runs[run].live, false) {
                continue;
            }
            self.give_back(run);
            let within = self.crashes[req] < QUARANTINE_AFTER;
            if self.mechanisms.join && within {
                self.resume(flight, self.keys[engine]);
            } else {
                self.fail(flight);
            }
        }
    }

    fn restart(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.forget(engine);
    }

    /// Whether a request is refused because it crashed engines.
    pub(super) fn is_quarantined(&self, req: usize) -> bool {
        self.mechanisms.join && self.crashes[req] >= QUARANTINE_AFTER
    }

    pub(super) fn submit_later(&mut self, run: usize, after: f64) {
        self.at(HOP_S + after, Event::Submit(run));
    }
}
