//! Simulation of one run: callers, gateways with the production decision code, and fake engines on
//! a virtual clock.

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

use super::engine::{Engine, EngineCosts, Progress, Sequence, step_limits};
use super::events::{Call, DelayedReport, EngineRun, Event, ScheduledEvent};
use super::gateway::{Gateway, Job};
use super::statistics::RunStatistics;
use super::workload::{BLOCK_TOKENS, DISTURBANCE_S, RUN_S, Request, Scenario};

/// Number of gateways.
pub const GATEWAYS: usize = 3;

/// Number of failure domains.
pub const DOMAINS: u16 = 3;

/// Interval of the load reports of an engine.
const REPORT_INTERVAL_S: f64 = 0.5;

/// Time from taking a load report until the gateways receive it.
const REPORT_LAG_S: f64 = 0.3;

/// Fraction of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.02;

/// Interval of the gossip rounds.
const GOSSIP_INTERVAL_S: f64 = 0.25;

/// Interval at which the planner observes the demand and plans.
const PLAN_INTERVAL_S: f64 = 1.0;

/// Time until a gateway tries again to dispatch from a queue for which no engine had capacity.
const DISPATCH_RETRY_S: f64 = 0.02;

/// Time after which a caller that was refused or disconnected sends its request again.
const CALLER_RETRY_S: f64 = 0.05;

/// Network latency from gateway to engine.
const HOP_LATENCY_S: f64 = 0.001;

/// Time from a crash until the engine runs again.
const RESTART_TIME_S: f64 = 30.0;

/// Number of engine crashes by a request from which it is quarantined.
const QUARANTINE_CRASHES: u32 = 2;

/// Mechanisms that are enabled besides queue, router and planner.
#[derive(Debug, Clone, Copy)]
pub struct Mechanisms {
    /// Repeated requests join the run in progress, streams resume after a crash of their engine,
    /// and requests that crash engines are quarantined.
    pub join_and_resume: bool,
    /// Requests stay in the gateway's queue until an engine can start them within this time, in
    /// seconds. With `None` they are dispatched at once.
    pub max_dispatch_wait_s: Option<f64>,
}

/// Simulated site under one policy.
pub struct Simulation<R, Q, P> {
    pub(super) requests: Vec<Request>,
    pub(super) costs: EngineCosts,
    pub(super) mechanisms: Mechanisms,
    pub(super) gateways: Vec<Gateway<R, Q>>,
    pub(super) engines: Vec<Engine>,
    pub(super) upstream_keys: Vec<UpstreamKey>,
    pub(super) calls: Vec<Call>,
    pub(super) jobs: Vec<Job>,
    pub(super) runs: Vec<EngineRun>,
    pub(super) statistics: RunStatistics,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: f64,
    pub(super) offered_demand: DemandLedger,
    pub(super) crashes_by_request: Vec<u32>,
    scenario: Scenario,
    planner: P,
    scheduled_events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_seq: u64,
    next_cache_event: Vec<u64>,
}

impl<R: Router, Q: Queue<usize>, P: Planner> Simulation<R, Q, P> {
    /// Creates the engines and schedules all requests and faults of the scenario.
    pub fn new(
        scenario: Scenario,
        requests: Vec<Request>,
        gateways: Vec<Gateway<R, Q>>,
        planner: P,
        mechanisms: Mechanisms,
        roles: &[EngineRole],
        seed: u64,
    ) -> Self {
        let statistics = RunStatistics::new(&requests);
        let crashes_by_request = vec![0; requests.len()];
        let mut simulation = Self {
            requests,
            costs: EngineCosts::default(),
            mechanisms,
            gateways,
            engines: Vec::new(),
            upstream_keys: Vec::new(),
            calls: Vec::new(),
            jobs: Vec::new(),
            runs: Vec::new(),
            statistics,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5173),
            now: 0.0,
            offered_demand: DemandLedger::new(1),
            crashes_by_request,
            scenario,
            planner,
            scheduled_events: BinaryHeap::new(),
            last_seq: 0,
            next_cache_event: Vec::new(),
        };
        for (index, &role) in roles.iter().enumerate() {
            simulation.add_engine(index as u16 % DOMAINS, role);
        }
        simulation.schedule_initial_events();
        simulation
    }

    /// Runs until the end of the virtual time and returns the statistics.
    pub fn run(mut self) -> RunStatistics {
        while let Some(Reverse(scheduled)) = self.scheduled_events.pop() {
            if scheduled.at > RUN_S {
                break;
            }
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        for run in 0..self.runs.len() {
            self.record_run_work(run);
        }
        for engine in &self.engines {
            self.statistics
                .record_engine_end(engine.is_up || !engine.removal_ordered, RUN_S);
        }
        self.statistics
    }

    /// Returns the virtual time in the type of the decision code.
    pub(super) fn monotonic_now(&self) -> MonotonicTime {
        MonotonicTime(Duration::from_secs_f64(self.now))
    }

    pub(super) fn schedule_after(&mut self, delay_s: f64, event: Event) {
        self.last_seq += 1;
        self.scheduled_events.push(Reverse(ScheduledEvent {
            at: self.now + delay_s,
            seq: self.last_seq,
            event,
        }));
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.requests.len() {
            let at = self.requests[index].sent_at;
            self.schedule_after(at, Event::Send(index));
        }
        self.schedule_after(GOSSIP_INTERVAL_S, Event::Gossip);
        self.schedule_after(PLAN_INTERVAL_S, Event::Plan);
        let engines = self.engines.len();
        match self.scenario {
            Scenario::EngineCrash => {
                for round in 0..8 {
                    let engine = self.rng.random_range(0..engines);
                    // The first crash occurs during the role changes after the first change of the
                    // mix.
                    self.schedule_after(155.0 + 50.0 * f64::from(round), Event::Crash(engine));
                }
            }
            Scenario::DomainLost => {
                for engine in (0..engines).step_by(usize::from(DOMAINS)) {
                    self.schedule_after(DISTURBANCE_S.0, Event::Crash(engine));
                }
            }
            _ => {}
        }
    }

    fn add_engine(&mut self, domain: u16, role: EngineRole) {
        let index = self.engines.len();
        self.engines.push(Engine::new(domain, role));
        self.next_cache_event.push(0);
        let now = self.monotonic_now();
        for gateway in &mut self.gateways {
            let key = gateway.fleet.add(domain, role, now);
            if let Some(up) = gateway.fleet.get_mut(key) {
                up.slots = step_limits(role).1 as u32;
            }
            if self.upstream_keys.len() == index {
                self.upstream_keys.push(key);
            }
            gateway.engine_by_upstream.insert(key, index);
        }
        self.statistics.record_engine_start(self.now);
        let report_offset_s = self.rng.random_range(0.0..REPORT_INTERVAL_S);
        self.schedule_after(report_offset_s, Event::TakeReport(index));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(req) => self.send(req),
            Event::PatienceEnded(call) => self.lose_patience(call),
            Event::Submit(run) => self.submit(run),
            Event::StepEnd(engine, incarnation) => self.end_step(engine, incarnation),
            Event::TakeReport(engine) => self.take_report(engine),
            Event::DeliverReport(delayed) => self.deliver_report(&delayed),
            Event::Gossip => {
                self.gossip();
                self.schedule_after(GOSSIP_INTERVAL_S, Event::Gossip);
            }
            Event::Plan => {
                self.plan();
                self.schedule_after(PLAN_INTERVAL_S, Event::Plan);
            }
            Event::DispatchQueued(gateway) => {
                self.gateways[gateway].dispatch_scheduled = false;
                self.dispatch_queued(gateway);
            }
            Event::RoleChanged(engine, incarnation) => self.finish_role_change(engine, incarnation),
            Event::Crash(engine) => self.crash(engine),
            Event::Restart(engine) => self.restart(engine),
            Event::EngineAdded(domain) => self.add_engine(domain, EngineRole::Mixed),
        }
    }

    pub(super) fn schedule_dispatch(&mut self, gateway: usize) {
        if !self.gateways[gateway].dispatch_scheduled {
            self.gateways[gateway].dispatch_scheduled = true;
            self.schedule_after(DISPATCH_RETRY_S, Event::DispatchQueued(gateway));
        }
    }

    /// Sends the request to a random gateway, for the first time or again. A request that is
    /// completed or past its deadline is not sent.
    fn send(&mut self, req: usize) {
        let request = &self.requests[req];
        if self.statistics.is_completed(req) || self.now > request.sent_at + request.deadline_s {
            return;
        }
        let patience_s = request.patience_s * self.scenario.patience_factor(self.now);
        let call = self.calls.len();
        self.calls.push(Call {
            req,
            is_pending: true,
            has_first_token: false,
            job: usize::MAX,
        });
        let gateway = self.rng.random_range(0..GATEWAYS);
        self.schedule_after(patience_s, Event::PatienceEnded(call));
        self.receive_call(gateway, call);
    }

    fn lose_patience(&mut self, call: usize) {
        let Call {
            req,
            is_pending,
            has_first_token,
            job,
        } = self.calls[call];
        if !is_pending || has_first_token {
            return;
        }
        self.calls[call].is_pending = false;
        self.handle_disconnect(job);
        self.schedule_after(CALLER_RETRY_S, Event::Send(req));
    }

    /// Ends a call without an answer. Its caller sends the request again after `CALLER_RETRY_S`.
    pub(super) fn refuse_call(&mut self, call: usize) {
        if std::mem::replace(&mut self.calls[call].is_pending, false) {
            let req = self.calls[call].req;
            self.statistics.refused += 1;
            self.schedule_after(CALLER_RETRY_S, Event::Send(req));
        }
    }

    fn start_next_step(&mut self, engine: usize) {
        let costs = self.costs;
        let incarnation = self.engines[engine].incarnation;
        if let Some(seconds) = self.engines[engine].start_step(&costs) {
            self.schedule_after(seconds, Event::StepEnd(engine, incarnation));
            return;
        }
        self.check_drained(engine);
    }

    fn submit(&mut self, run: usize) {
        if !self.runs[run].is_active {
            return;
        }
        let handed_over = self.runs[run].handed_over;
        let engine = match self.runs[run].decode_engine {
            Some(decode) if handed_over => decode,
            _ => self.runs[run].engine,
        };
        let job = &self.jobs[self.runs[run].job];
        let request = &self.requests[job.req];
        // A draining engine refuses new work as not run. It still accepts a stream that is handed
        // over after prefill, because that was dispatched before the drain.
        let refused = !self.engines[engine].is_up
            || self.engines[engine].role_changing
            || !handed_over && !self.engines[engine].accepts_work();
        if refused {
            let key = self.upstream_keys[engine];
            self.runs[run].is_active = false;
            self.record_dispatch_end(run);
            self.requeue_job(self.runs[run].job, key);
            return;
        }
        let prompt_tokens = request.prompt_tokens + job.delivered_tokens;
        let imported_tokens = match (handed_over, self.runs[run].cache_holder) {
            (true, _) => prompt_tokens,
            (false, Some(holder)) => {
                self.engines[holder].cached_blocks(&request.prefix_blocks) as u32 * BLOCK_TOKENS
            }
            (false, None) => 0,
        };
        let sequence = Sequence {
            id: run,
            priority: u8::from(request.urgent),
            prompt_tokens,
            prefix_blocks: request.prefix_blocks.clone(),
            prefill_remaining: 0,
            output_remaining: request.output_tokens
                - job.delivered_tokens.min(request.output_tokens - 1),
            prefill_only: self.runs[run].decode_engine.is_some() && !handed_over,
            poison: request.poison,
            imported_tokens,
        };
        let (req, gateway) = (job.req, job.gateway);
        let cached = self.engines[engine].submit(sequence, BLOCK_TOKENS);
        if !handed_over {
            self.runs[run].prefilled_tokens = prompt_tokens - cached;
            self.runs[run].submitted_at = self.now;
            let key = self.upstream_keys[engine];
            let prefix_blocks = &self.requests[req].prefix_blocks;
            let was_evicted =
                cached < self.runs[run].expected_cached_tokens && imported_tokens == 0;
            if let Some(up) = self.gateways[gateway]
                .fleet
                .get_mut(key)
                .filter(|_| was_evicted)
            {
                let cached_blocks = (cached / BLOCK_TOKENS) as usize;
                up.prefix_blocks_mut()
                    .record_hits(prefix_blocks, cached_blocks);
            }
        }
        self.start_next_step(engine);
    }

    fn end_step(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let Some(progress) = self.engines[engine].finish_step() else {
            self.crash(engine);
            return;
        };
        for step in progress {
            match step {
                Progress::Prefilled(run) => self.finish_prefill(run),
                Progress::Token(run) => self.receive_token(run, false),
                Progress::LastToken(run) => self.receive_token(run, true),
            }
        }
        self.start_next_step(engine);
    }

    fn take_report(&mut self, engine: usize) {
        let state = &self.engines[engine];
        if state.is_up && !state.role_changing {
            let (mut events, next) = state.cache_events(self.next_cache_event[engine]);
            let delayed = DelayedReport {
                engine,
                incarnation: state.incarnation,
                taken_at: self.now,
                report: state.load_report(),
                accepts_work: state.accepts_work(),
                cache_events: Vec::new(),
                next_cache_event: next,
            };
            self.next_cache_event[engine] = next;
            events.retain(|_| self.rng.random::<f64>() >= CACHE_EVENT_LOSS);
            let delayed = DelayedReport {
                cache_events: events,
                ..delayed
            };
            self.schedule_after(REPORT_LAG_S, Event::DeliverReport(Box::new(delayed)));
        }
        self.schedule_after(REPORT_INTERVAL_S, Event::TakeReport(engine));
    }

    fn deliver_report(&mut self, delayed: &DelayedReport) {
        let key = self.upstream_keys[delayed.engine];
        let is_current = self.engines[delayed.engine].incarnation == delayed.incarnation;
        let taken_at = MonotonicTime(Duration::from_secs_f64(delayed.taken_at));
        for gateway in &mut self.gateways {
            if let Some(up) = gateway.fleet.get_mut(key) {
                up.apply_report(delayed.report, taken_at);
                up.slots = step_limits(delayed.report.role).1 as u32;
                up.prefix_blocks_mut()
                    .apply(&delayed.cache_events, delayed.next_cache_event);
                up.accepting = delayed.accepts_work
                    && is_current
                    && self.engines[delayed.engine].accepts_work();
            }
        }
        for gateway in 0..GATEWAYS {
            self.dispatch_queued(gateway);
        }
    }

    fn plan(&mut self) {
        let now = self.monotonic_now();
        let offered = self.offered_demand.take(now);
        self.planner.observe(offered, now);
        let log_unavailable = self.scenario == Scenario::LogOutage
            && (DISTURBANCE_S.0..DISTURBANCE_S.1).contains(&self.now);
        // An order is only sent after its intent is in the log.
        if log_unavailable {
            return;
        }
        let mut engines = Engines::new();
        let fleet = &self.gateways[0].fleet;
        for (index, &key) in self.upstream_keys.iter().enumerate() {
            let Some(up) = fleet
                .get(key)
                .filter(|_| !self.engines[index].removal_ordered)
            else {
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
            self.execute_order(order);
        }
    }

    fn execute_order(&mut self, order: Order) {
        match order {
            Order::SetRole(key, role) => {
                let engine = self.gateways[0].engine_by_upstream[key];
                if self.engines[engine].accepts_work() {
                    self.statistics.record_role_change(engine, self.now);
                    self.engines[engine].next_role = Some(role);
                    self.stop_accepting(engine);
                    self.check_drained(engine);
                }
            }
            Order::Add(domain) => {
                self.statistics.ordered_upstreams += 1;
                self.schedule_after(180.0, Event::EngineAdded(domain));
            }
            Order::Remove(key) => {
                let engine = self.gateways[0].engine_by_upstream[key];
                if self.engines[engine].accepts_work() {
                    self.statistics.removed_upstreams += 1;
                    self.engines[engine].removal_ordered = true;
                    self.stop_accepting(engine);
                    self.check_drained(engine);
                }
            }
            Order::LoadVersion(..) => {}
        }
    }

    /// Marks the engine as draining at all gateways without delay, because sidecars announce a
    /// drain directly to them.
    fn stop_accepting(&mut self, engine: usize) {
        for gateway in &mut self.gateways {
            if let Some(up) = gateway.fleet.get_mut(self.upstream_keys[engine]) {
                up.accepting = false;
            }
        }
    }

    /// Completes the removal or starts the role change of an engine that has drained.
    fn check_drained(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if !state.is_up || state.step_in_progress || state.role_changing || !state.is_idle() {
            return;
        }
        if state.removal_ordered {
            state.is_up = false;
            self.statistics.record_engine_end(true, self.now);
        } else if state.next_role.is_some() {
            state.role_changing = true;
            let (incarnation, seconds) = (state.incarnation, self.costs.role_change_s);
            self.schedule_after(seconds, Event::RoleChanged(engine, incarnation));
        }
    }

    fn finish_role_change(&mut self, engine: usize, incarnation: u32) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation || !state.role_changing {
            return;
        }
        state.role_changing = false;
        if let Some(role) = state.next_role.take() {
            state.role = role;
            state.clear_cache();
        }
        self.clear_cached_blocks(engine);
        self.start_next_step(engine);
    }

    /// Clears the engine's cached blocks in the indexes of all gateways, and skips its pending
    /// cache events.
    fn clear_cached_blocks(&mut self, engine: usize) {
        let (_, next) = self.engines[engine].cache_events(u64::MAX);
        self.next_cache_event[engine] = next;
        for gateway in &mut self.gateways {
            if let Some(up) = gateway.fleet.get_mut(self.upstream_keys[engine]) {
                up.prefix_blocks_mut().clear();
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        if !self.engines[engine].is_up || self.engines[engine].removal_ordered {
            return;
        }
        let lost_runs = self.engines[engine].crash();
        self.statistics.crashes += 1;
        self.stop_accepting(engine);
        let domain_lost = self.scenario == Scenario::DomainLost;
        let restart_after_s = if domain_lost {
            DISTURBANCE_S.1 - DISTURBANCE_S.0
        } else {
            RESTART_TIME_S
        };
        self.schedule_after(restart_after_s, Event::Restart(engine));
        for run in lost_runs {
            let job = self.runs[run].job;
            let req = self.jobs[job].req;
            self.crashes_by_request[req] += 1;
            if !std::mem::replace(&mut self.runs[run].is_active, false) {
                continue;
            }
            self.record_dispatch_end(run);
            let below_quarantine = self.crashes_by_request[req] < QUARANTINE_CRASHES;
            if self.mechanisms.join_and_resume && below_quarantine {
                self.resume_job(job, self.upstream_keys[engine]);
            } else {
                self.fail_job(job);
            }
        }
    }

    fn restart(&mut self, engine: usize) {
        self.engines[engine].is_up = true;
        self.clear_cached_blocks(engine);
    }

    /// Returns whether the request is refused because it crashed `QUARANTINE_CRASHES` engines.
    pub(super) fn is_quarantined(&self, req: usize) -> bool {
        self.mechanisms.join_and_resume && self.crashes_by_request[req] >= QUARANTINE_CRASHES
    }

    pub(super) fn schedule_submit(&mut self, run: usize, delay_s: f64) {
        self.schedule_after(HOP_LATENCY_S + delay_s, Event::Submit(run));
    }
}
