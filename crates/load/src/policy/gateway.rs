//! Gateways of the simulation: the decision code between callers and engines.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::cost::CostModel;
use nutmegbay_policy::fleet::Fleet;
use nutmegbay_policy::join::{Join, JoinTable, SharedRunKey};
use nutmegbay_policy::limit::SharedLimit;
use nutmegbay_policy::plan::{Demand, Planner};
use nutmegbay_policy::queue::{Queue, Ticket};
use nutmegbay_policy::retry::RetryBudget;
use nutmegbay_policy::route::{CacheSource, Choice, RouteRequest, Router};
use nutmegbay_policy::{AccountKey, UpstreamKey};
use slotmap::{SecondaryMap, SlotMap};

use super::events::EngineRun;
use super::simulation::{DOMAINS, GATEWAYS, Simulation};
use super::workload::{ACCOUNT_SHARES, BLOCK_TOKENS};

/// Mean output of an answer as a fraction of its `max_tokens`. A real gateway learns it from
/// completed answers.
const MEAN_OUTPUT_FRACTION: f64 = 0.75;

/// Fraction of engine time that the queue counts as its service rate.
const USABLE_ENGINE_FRACTION: f64 = 0.9;

/// Safety factor on the expected time of an answer, because the output length varies by a third.
const SERVICE_MARGIN: f64 = 1.2;

/// Time reserved before a deadline for waits at the engines.
const ENGINE_WAIT_S: f64 = 0.8;

/// Number of tokens of a stream between two observations of the decode step time.
const DECODE_OBSERVATION_TOKENS: u32 = 16;

/// Gateway with its router, queue and view of the upstreams.
pub struct Gateway<R, Q> {
    /// Upstreams as seen from this gateway.
    pub fleet: Fleet,
    /// Engine costs as learned from answers.
    pub cost: CostModel,
    pub(super) engine_by_upstream: SecondaryMap<UpstreamKey, usize>,
    pub(super) dispatch_scheduled: bool,
    router: R,
    queue: Q,
    accounts: Vec<AccountKey>,
    shared_limit: SharedLimit,
    join_table: JoinTable<usize>,
    job_by_shared_run: SecondaryMap<SharedRunKey, usize>,
    retry_budget: RetryBudget,
    dispatched_since_gossip: SecondaryMap<UpstreamKey, f64>,
}

impl<R: Router, Q: Queue<usize>> Gateway<R, Q> {
    /// Creates a gateway without upstreams. The account shares are set on `queue`.
    pub fn new(router: R, mut queue: Q) -> Self {
        let mut arena = SlotMap::<AccountKey, ()>::with_key();
        let accounts: Vec<_> = ACCOUNT_SHARES.iter().map(|_| arena.insert(())).collect();
        let mut shared_limit = SharedLimit::default();
        for (&account, &share) in accounts.iter().zip(&ACCOUNT_SHARES) {
            queue.set_share(account, share);
            shared_limit.set(account, share, None, MonotonicTime::default());
        }
        Self {
            fleet: Fleet::default(),
            // Initial estimates that are wrong by a fifth, like an operator's settings. Answers
            // correct them.
            cost: CostModel::new(1.2e-4, 0.010, 3e-4),
            engine_by_upstream: SecondaryMap::new(),
            dispatch_scheduled: false,
            router,
            queue,
            accounts,
            shared_limit,
            join_table: JoinTable::default(),
            job_by_shared_run: SecondaryMap::new(),
            retry_budget: RetryBudget::new(MonotonicTime::default()),
            dispatched_since_gossip: SecondaryMap::new(),
        }
    }
}

/// Request inside a gateway, shared by the calls that joined it.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub req: usize,
    pub gateway: usize,
    pub delivered_tokens: u32,
    shared_run: Option<SharedRunKey>,
    calls: Vec<usize>,
    run: Option<usize>,
    exclude: Vec<UpstreamKey>,
    is_active: bool,
    deadline: MonotonicTime,
}

impl<R: Router, Q: Queue<usize>, P: Planner> Simulation<R, Q, P> {
    /// Handles a call that arrives at a gateway: joins it to the job of an equal request, at this
    /// gateway or a peer, or starts a job.
    pub(super) fn receive_call(&mut self, gateway: usize, call: usize) {
        let req = self.calls[call].req;
        if self.is_quarantined(req) {
            self.refuse_call(call);
            return;
        }
        if !self.mechanisms.join_and_resume {
            self.start_job(gateway, call, None);
            return;
        }
        let now = self.monotonic_now();
        let account = self.gateways[gateway].accounts[self.requests[req].account];
        let work = Fingerprint(req as u128);
        self.gateways[gateway]
            .join_table
            .record_arrival(account, work, now);
        let mut gateway_index = gateway;
        let mut join = self.gateways[gateway_index]
            .join_table
            .enter(account, work, now);
        if let Join::AtPeer(peer) = join {
            gateway_index = peer;
            join = self.gateways[gateway_index]
                .join_table
                .enter_forwarded(account, work, now);
        }
        match join {
            Join::Joined(key) => {
                let job = self.gateways[gateway_index].job_by_shared_run[key];
                self.jobs[job].calls.push(call);
                self.calls[call].job = job;
                self.calls[call].has_first_token = self.jobs[job].delivered_tokens > 0;
                self.statistics.joined += 1;
            }
            Join::First(key) => self.start_job(gateway_index, call, Some(key)),
            Join::AtPeer(_) => self.refuse_call(call),
        }
    }

    fn start_job(&mut self, gateway: usize, call: usize, key: Option<SharedRunKey>) {
        let req = self.calls[call].req;
        let index = self.jobs.len();
        self.calls[call].job = index;
        let account = self.gateways[gateway].accounts[self.requests[req].account];
        let now = self.monotonic_now();
        let first_arrival = match key {
            Some(_) => self.gateways[gateway].join_table.record_arrival(
                account,
                Fingerprint(req as u128),
                now,
            ),
            None => now,
        };
        let service_s = match self.mechanisms.max_dispatch_wait_s {
            Some(_) => self.expected_service_s(gateway, req),
            None => 0.0,
        };
        let request = &self.requests[req];
        let deadline = first_arrival.plus(Duration::from_secs_f64(
            (request.deadline_s - service_s).max(0.0),
        ));
        self.jobs.push(Job {
            req,
            gateway,
            delivered_tokens: 0,
            shared_run: key,
            calls: vec![call],
            run: None,
            exclude: Vec::new(),
            is_active: true,
            deadline,
        });
        if let Some(key) = key {
            self.gateways[gateway].job_by_shared_run.insert(key, index);
        }
        self.gateways[gateway].retry_budget.record_first_attempt();
        let (prefill, decode) = self.expected_work(index);
        let demand = Demand { prefill, decode };
        self.offered_demand
            .record(Fingerprint(req as u128), demand, now);
        self.enqueue(index, prefill + decode);
    }

    /// Returns the expected seconds from leaving the queue to the last token, with a margin for
    /// waits at the engines.
    fn expected_service_s(&self, gateway: usize, req: usize) -> f64 {
        let request = &self.requests[req];
        let cost = &self.gateways[gateway].cost;
        let decode = f64::from(request.max_tokens) * MEAN_OUTPUT_FRACTION * cost.step(48);
        (decode + cost.prefill(request.prompt_tokens)) * SERVICE_MARGIN + ENGINE_WAIT_S
    }

    /// Returns the expected prefill and decode work of a job in engine seconds.
    fn expected_work(&self, job: usize) -> (f64, f64) {
        let Job {
            req,
            gateway,
            delivered_tokens,
            ..
        } = self.jobs[job];
        let request = &self.requests[req];
        let gateway = &self.gateways[gateway];
        let cached_blocks = gateway
            .fleet
            .iter()
            .map(|(_, up)| up.cached_blocks(&request.prefix_blocks) as u32)
            .max()
            .unwrap_or(0);
        let uncached = request.prompt_tokens + delivered_tokens - cached_blocks * BLOCK_TOKENS;
        let output = (f64::from(request.max_tokens) * MEAN_OUTPUT_FRACTION) as u32;
        (
            gateway.cost.prefill(uncached),
            gateway.cost.decode(output, 64),
        )
    }

    fn enqueue(&mut self, job: usize, cost: f64) {
        let now = self.monotonic_now();
        let Job {
            req,
            gateway: gateway_index,
            deadline,
            ..
        } = self.jobs[job];
        let request = &self.requests[req];
        let gateway = &mut self.gateways[gateway_index];
        let engines = gateway.fleet.iter().filter(|(_, up)| up.accepting).count();
        gateway
            .queue
            .set_rate(engines as f64 * USABLE_ENGINE_FRACTION / GATEWAYS as f64);
        let ticket = Ticket {
            account: gateway.accounts[request.account],
            cost,
            priority: u8::from(request.urgent),
            deadline,
            item: job,
        };
        match gateway.queue.push(ticket, now) {
            Ok(()) => self.dispatch_queued(gateway_index),
            Err(_) => self.fail_job(job),
        }
    }

    /// Fails expired jobs and dispatches from the queue while an engine has capacity.
    pub(super) fn dispatch_queued(&mut self, gateway_index: usize) {
        let now = self.monotonic_now();
        for ticket in self.gateways[gateway_index].queue.expire(now) {
            self.fail_job(ticket.item);
        }
        while let Some(ticket) = self.gateways[gateway_index].queue.pop(now) {
            let job = ticket.item;
            if !self.jobs[job].is_active {
                continue;
            }
            if self.is_quarantined(self.jobs[job].req) {
                self.fail_job(job);
                continue;
            }
            let choice =
                self.route(job)
                    .filter(|choice| match self.mechanisms.max_dispatch_wait_s {
                        Some(max_wait_s) => choice.wait.as_secs_f64() <= max_wait_s,
                        None => true,
                    });
            let Some(choice) = choice else {
                self.gateways[gateway_index].queue.put_back(ticket);
                self.schedule_dispatch(gateway_index);
                return;
            };
            self.dispatch(job, choice, ticket.cost);
        }
    }

    fn route(&mut self, job: usize) -> Option<Choice> {
        let now = self.monotonic_now();
        let Job {
            req,
            gateway,
            delivered_tokens,
            ref exclude,
            ..
        } = self.jobs[job];
        let request = &self.requests[req];
        let gateway_state = &mut self.gateways[gateway];
        let route_request = RouteRequest {
            prompt_tokens: request.prompt_tokens + delivered_tokens,
            output_tokens: (f64::from(request.max_tokens) * MEAN_OUTPUT_FRACTION) as u32,
            prefix_blocks: &request.prefix_blocks,
            block_tokens: BLOCK_TOKENS,
            domain: gateway as u16 % DOMAINS,
            exclude,
        };
        let Gateway {
            router,
            fleet,
            cost,
            ..
        } = gateway_state;
        router.route(&route_request, fleet, cost, now)
    }

    fn dispatch(&mut self, job: usize, choice: Choice, work: f64) {
        let now = self.monotonic_now();
        let Job {
            req,
            gateway: gateway_index,
            delivered_tokens,
            ..
        } = self.jobs[job];
        let request = &self.requests[req];
        let prompt_tokens = request.prompt_tokens + delivered_tokens;
        let gateway = &mut self.gateways[gateway_index];
        let (key, decode, holder) = match choice.cache {
            CacheSource::Own => (choice.upstream, None, None),
            CacheSource::Holder(holder) => (choice.upstream, None, Some(holder)),
            CacheSource::Prefill(key) => (key, Some(choice.upstream), None),
        };
        let prefill = gateway
            .cost
            .prefill(prompt_tokens - choice.cached_tokens.min(prompt_tokens));
        let tokens = if decode.is_some() {
            0
        } else {
            request.max_tokens
        };
        gateway.fleet.record_dispatch(key, prefill, tokens, now);
        if let Some(up) = gateway.fleet.get_mut(key) {
            up.prefix_blocks_mut().add_expected(&request.prefix_blocks);
        }
        if let Some(entry) = gateway.dispatched_since_gossip.entry(key) {
            *entry.or_default() += prefill;
        }
        gateway
            .shared_limit
            .record_served(gateway.accounts[request.account], work, now);
        let run = self.runs.len();
        let engine_by_upstream = &gateway.engine_by_upstream;
        let transfer_s = f64::from(choice.cached_tokens) * self.costs.transfer_s_per_token;
        let submit_delay_s = holder.map_or(0.0, |_| self.costs.transfer_base_s + transfer_s);
        self.runs.push(EngineRun {
            job,
            engine: engine_by_upstream[key],
            decode_engine: decode.map(|key| engine_by_upstream[key]),
            cache_holder: holder.map(|key| engine_by_upstream[key]),
            is_active: true,
            dispatched_prefill_s: prefill,
            prefilled_tokens: 0,
            generated_tokens: 0,
            handed_over: false,
            expected_cached_tokens: choice.cached_tokens,
            last_token_at: f64::NAN,
            submitted_at: self.now,
        });
        self.jobs[job].run = Some(run);
        self.schedule_submit(run, submit_delay_s);
    }

    /// Handles the end of a prefill whose decode runs on another engine. Hands the run over to the
    /// best decode engine, or requeues its job if there is none.
    pub(super) fn finish_prefill(&mut self, run: usize) {
        if !self.runs[run].is_active {
            return;
        }
        self.record_dispatch_end(run);
        let now = self.monotonic_now();
        let job = self.runs[run].job;
        let Job {
            req,
            gateway: gateway_index,
            ..
        } = self.jobs[job];
        let request = &self.requests[req];
        let gateway = &mut self.gateways[gateway_index];
        let state = &self.runs[run];
        if self.engines[state.engine].role == EngineRole::Prefill {
            let seconds = self.now - state.submitted_at;
            gateway
                .cost
                .observe_prefill(state.prefilled_tokens, seconds);
        }
        let route_request = RouteRequest {
            prompt_tokens: request.prompt_tokens,
            output_tokens: (f64::from(request.max_tokens) * MEAN_OUTPUT_FRACTION) as u32,
            prefix_blocks: &[],
            block_tokens: BLOCK_TOKENS,
            domain: self.engines[self.runs[run].engine].domain,
            exclude: &[],
        };
        let Gateway {
            router,
            fleet,
            cost,
            engine_by_upstream,
            ..
        } = gateway;
        let planned = self.runs[run].decode_engine;
        let target = router
            .route_decode(&route_request, fleet, cost, now)
            .map(|key| engine_by_upstream[key])
            .or(planned.filter(|&decode| self.engines[decode].accepts_work()));
        let Some(target) = target else {
            self.runs[run].is_active = false;
            let key = self.upstream_keys[self.runs[run].engine];
            self.requeue_job(job, key);
            return;
        };
        let key = self.upstream_keys[target];
        fleet.record_dispatch(key, 0.0, request.max_tokens, now);
        let state = &mut self.runs[run];
        state.decode_engine = Some(target);
        state.handed_over = true;
        state.dispatched_prefill_s = 0.0;
        let seconds = self.costs.transfer_base_s
            + f64::from(request.prompt_tokens) * self.costs.transfer_s_per_token;
        self.schedule_submit(run, seconds);
    }

    /// Handles a token of a run.
    pub(super) fn receive_token(&mut self, run: usize, is_last: bool) {
        if !self.runs[run].is_active {
            return;
        }
        let now = self.now;
        let state = &mut self.runs[run];
        state.generated_tokens += 1;
        let gap = now - state.last_token_at;
        state.last_token_at = now;
        let job = state.job;
        let engine = state.decode_engine.unwrap_or(state.engine);
        if gap.is_finite() {
            self.statistics.record_token_gap(gap);
            if state
                .generated_tokens
                .is_multiple_of(DECODE_OBSERVATION_TOKENS)
            {
                self.observe_decode_step(job, engine, gap);
            }
        }
        let state = &mut self.jobs[job];
        state.delivered_tokens += 1;
        let req = state.req;
        if state.delivered_tokens == 1 {
            self.statistics.record_first_token(req, now);
        }
        for call in state.calls.clone() {
            self.calls[call].has_first_token = true;
        }
        if is_last {
            self.complete_job(job, run);
        }
    }

    /// Updates the cost model with a decode step of an engine that only decodes. With prefill in
    /// the same step the time between tokens is longer.
    fn observe_decode_step(&mut self, job: usize, engine: usize, gap: f64) {
        let gateway = &mut self.gateways[self.jobs[job].gateway];
        let Some(up) = gateway.fleet.get(self.upstream_keys[engine]) else {
            return;
        };
        if up.role == EngineRole::Decode && up.report().prefill_tokens == 0 {
            gateway.cost.observe_decode(up.report().running, gap);
        }
    }

    fn complete_job(&mut self, job: usize, run: usize) {
        self.runs[run].is_active = false;
        self.record_dispatch_end(run);
        let req = self.jobs[job].req;
        let calls = std::mem::take(&mut self.jobs[job].calls);
        let caller_waits = calls.iter().any(|&call| self.calls[call].is_pending);
        for call in calls {
            self.calls[call].is_pending = false;
        }
        if caller_waits {
            let request = &self.requests[req];
            self.statistics.record_completion(req, request, self.now);
        }
        self.close_job(job);
    }

    fn close_job(&mut self, job: usize) {
        let state = &mut self.jobs[job];
        state.is_active = false;
        let gateway = &mut self.gateways[state.gateway];
        if let Some(key) = state.shared_run.take() {
            gateway.job_by_shared_run.remove(key);
            gateway.join_table.finish(key);
        }
    }

    /// Ends a job without an answer.
    pub(super) fn fail_job(&mut self, job: usize) {
        self.close_job(job);
        for call in std::mem::take(&mut self.jobs[job].calls) {
            self.refuse_call(call);
        }
    }

    /// Puts a job back into the queue after an upstream refused it as not run.
    pub(super) fn requeue_job(&mut self, job: usize, refused_by: UpstreamKey) {
        if !self.jobs[job].is_active {
            return;
        }
        self.jobs[job].run = None;
        self.jobs[job].exclude = vec![refused_by];
        let (prefill, decode) = self.expected_work(job);
        self.enqueue(job, prefill + decode);
    }

    /// Requeues a job whose engine crashed, within the retry budget, and fails it otherwise.
    pub(super) fn resume_job(&mut self, job: usize, failed_upstream: UpstreamKey) {
        let now = self.monotonic_now();
        let gateway_index = self.jobs[job].gateway;
        if self.gateways[gateway_index].retry_budget.try_retry(now) {
            self.requeue_job(job, failed_upstream);
        } else {
            self.fail_job(job);
        }
    }

    /// Handles the disconnect of a caller. A job that cannot be joined is cancelled. A shared run
    /// continues for a while without callers.
    pub(super) fn handle_disconnect(&mut self, job: usize) {
        if job == usize::MAX || !self.jobs[job].is_active {
            return;
        }
        let now = self.monotonic_now();
        let state = &self.jobs[job];
        match state.shared_run {
            Some(key) => self.gateways[state.gateway].join_table.leave(key, now),
            None => self.cancel_job(job),
        }
    }

    fn cancel_job(&mut self, job: usize) {
        if let Some(run) = self.jobs[job].run.filter(|&run| self.runs[run].is_active) {
            self.runs[run].is_active = false;
            let state = &self.runs[run];
            let (engine, decode) = (state.engine, state.decode_engine);
            let prefill_remaining = self.engines[engine].cancel(run);
            self.runs[run].prefilled_tokens = self.runs[run]
                .prefilled_tokens
                .saturating_sub(prefill_remaining);
            if let Some(decode) = decode {
                self.engines[decode].cancel(run);
            }
            self.record_dispatch_end(run);
        }
        self.close_job(job);
    }

    /// Records at the gateway that a dispatch has ended, so that its work no longer counts as
    /// waiting at the upstream.
    pub(super) fn record_dispatch_end(&mut self, run: usize) {
        let state = &self.runs[run];
        let engine = match state.decode_engine {
            Some(decode) if state.handed_over => decode,
            _ => state.engine,
        };
        let gateway_index = self.jobs[state.job].gateway;
        self.gateways[gateway_index]
            .fleet
            .record_end(self.upstream_keys[engine], state.dispatched_prefill_s);
    }

    /// Adds the engine work of a run to the statistics, at the end of the simulation.
    pub(super) fn record_run_work(&mut self, run: usize) {
        let state = &self.runs[run];
        let work = f64::from(state.prefilled_tokens) * self.costs.prefill_s_per_token
            + f64::from(state.generated_tokens) * self.costs.ideal_decode_s_per_token();
        self.statistics
            .record_run_work(self.jobs[state.job].req, work);
    }

    /// Exchanges served work, dispatched work and announcements of shared runs between the
    /// gateways, and cancels jobs without callers.
    pub(super) fn gossip(&mut self) {
        let now = self.monotonic_now();
        for from in 0..GATEWAYS {
            for key in self.gateways[from].join_table.take_abandoned(now) {
                if let Some(job) = self.gateways[from].job_by_shared_run.remove(key) {
                    self.jobs[job].shared_run = None;
                    self.cancel_job(job);
                }
            }
            let served = self.gateways[from].shared_limit.take_unsent();
            let dispatched: Vec<_> = self.gateways[from]
                .dispatched_since_gossip
                .drain()
                .collect();
            let runs: Vec<_> = self.gateways[from].join_table.announcements(now).collect();
            for to in (0..GATEWAYS).filter(|&to| to != from) {
                let peer = &mut self.gateways[to];
                for &(account, work) in &served {
                    peer.shared_limit.record_peer_served(account, work, now);
                    peer.queue.charge(account, work);
                }
                for &(key, work) in &dispatched {
                    peer.fleet.record_peer_dispatch(key, work, now);
                }
                peer.join_table
                    .apply_announcements(from, runs.iter().copied(), now);
            }
        }
    }
}
