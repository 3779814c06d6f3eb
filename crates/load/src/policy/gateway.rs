//! Gateways of a site: the decision code between callers and engines.

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

use super::events::Run;
use super::site::{DOMAINS, GATEWAYS, Site};
use super::workload::{PIECE, SHARES};

/// Part of its limit that an answer has on average, as gateways learn it from finished answers.
const OUTPUT_SHARE: f64 = 0.75;

/// Share of engine time that is planned with.
const USABLE: f64 = 0.9;

/// Factor on the expected time of an answer, because outputs vary by a third.
const SERVICE_MARGIN: f64 = 1.2;

/// Waits at the engines that a deadline leaves room for.
const WAIT_AHEAD_S: f64 = 0.8;

/// Tokens between two observations of the decode step.
const OBSERVE_EVERY: u32 = 16;

/// One gateway.
pub struct Gateway<R, Q> {
    /// Upstreams as it sees them.
    pub fleet: Fleet,
    /// Costs as it learned them.
    pub cost: CostModel,
    pub(super) index: SecondaryMap<UpstreamKey, usize>,
    pub(super) pump_due: bool,
    router: R,
    queue: Q,
    accounts: Vec<AccountKey>,
    limit: SharedLimit,
    join: JoinTable<usize>,
    joined: SecondaryMap<SharedRunKey, usize>,
    budget: RetryBudget,
    sent: SecondaryMap<UpstreamKey, f64>,
}

impl<R: Router, Q: Queue<usize>> Gateway<R, Q> {
    /// Creates a gateway.
    pub fn new(router: R, mut queue: Q) -> Self {
        let mut arena = SlotMap::<AccountKey, ()>::with_key();
        let accounts: Vec<_> = SHARES.iter().map(|_| arena.insert(())).collect();
        let mut limit = SharedLimit::default();
        for (&account, &share) in accounts.iter().zip(&SHARES) {
            queue.set_share(account, share);
            limit.set(account, share, None, MonotonicTime::default());
        }
        Self {
            fleet: Fleet::default(),
            // Guesses off by a fifth, as an operator's are; answers correct them.
            cost: CostModel::new(1.2e-4, 0.010, 3e-4),
            index: SecondaryMap::new(),
            pump_due: false,
            router,
            queue,
            accounts,
            limit,
            join: JoinTable::default(),
            joined: SecondaryMap::new(),
            budget: RetryBudget::new(MonotonicTime::default()),
            sent: SecondaryMap::new(),
        }
    }
}

/// A request inside a gateway, shared by the calls that joined it.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub req: usize,
    pub gateway: usize,
    pub delivered: u32,
    key: Option<SharedRunKey>,
    callers: Vec<usize>,
    run: Option<usize>,
    exclude: Vec<UpstreamKey>,
    live: bool,
    deadline: MonotonicTime,
}

impl<R: Router, Q: Queue<usize>, P: Planner> Site<R, Q, P> {
    /// A call arrives at a gateway.
    pub(super) fn enter(&mut self, gateway: usize, call: usize) {
        let req = self.calls[call].req;
        if self.is_quarantined(req) {
            self.refuse(call);
            return;
        }
        if !self.mechanisms.join {
            self.open(gateway, call, None);
            return;
        }
        let now = self.moment();
        let account = self.gateways[gateway].accounts[self.requests[req].account];
        let work = Fingerprint(req as u128);
        self.gateways[gateway]
            .join
            .record_arrival(account, work, now);
        let mut at = gateway;
        let mut join = self.gateways[at].join.enter(account, work, now);
        if let Join::AtPeer(peer) = join {
            at = peer;
            join = self.gateways[at].join.enter_forwarded(account, work, now);
        }
        match join {
            Join::Joined(key) => {
                let flight = self.gateways[at].joined[key];
                self.flights[flight].callers.push(call);
                self.calls[call].flight = flight;
                self.calls[call].answered = self.flights[flight].delivered > 0;
                self.tally.joined += 1;
            }
            Join::First(key) => self.open(at, call, Some(key)),
            Join::AtPeer(_) => self.refuse(call),
        }
    }

    fn open(&mut self, gateway: usize, call: usize, key: Option<SharedRunKey>) {
        let req = self.calls[call].req;
        let index = self.flights.len();
        self.calls[call].flight = index;
        let account = self.gateways[gateway].accounts[self.requests[req].account];
        let now = self.moment();
        let first = match key {
            Some(_) => {
                self.gateways[gateway]
                    .join
                    .record_arrival(account, Fingerprint(req as u128), now)
            }
            None => now,
        };
        let service = match self.mechanisms.window_s {
            Some(_) => self.service(gateway, req),
            None => 0.0,
        };
        let request = &self.requests[req];
        let deadline = first.plus(Duration::from_secs_f64(
            (request.deadline - service).max(0.0),
        ));
        self.flights.push(Flight {
            req,
            gateway,
            delivered: 0,
            key,
            callers: vec![call],
            run: None,
            exclude: Vec::new(),
            live: true,
            deadline,
        });
        if let Some(key) = key {
            self.gateways[gateway].joined.insert(key, index);
        }
        self.gateways[gateway].budget.record_first_attempt();
        let (prefill, decode) = self.estimate(index);
        let demand = Demand { prefill, decode };
        self.offered.record(Fingerprint(req as u128), demand, now);
        self.admit(index, prefill + decode);
    }

    /// Seconds from leaving the queue to the last token, with a margin for waits at the engines.
    fn service(&self, gateway: usize, req: usize) -> f64 {
        let request = &self.requests[req];
        let cost = &self.gateways[gateway].cost;
        let decode = f64::from(request.max_tokens) * OUTPUT_SHARE * cost.step(48);
        (decode + cost.prefill(request.prompt)) * SERVICE_MARGIN + WAIT_AHEAD_S
    }

    /// Expected prefill and decode work of a flight.
    fn estimate(&self, flight: usize) -> (f64, f64) {
        let Flight {
            req,
            gateway,
            delivered,
            ..
        } = self.flights[flight];
        let request = &self.requests[req];
        let gateway = &self.gateways[gateway];
        let held = gateway
            .fleet
            .iter()
            .map(|(_, up)| up.cached_blocks(&request.pieces) as u32)
            .max()
            .unwrap_or(0);
        let uncached = request.prompt + delivered - held * PIECE;
        let output = (f64::from(request.max_tokens) * OUTPUT_SHARE) as u32;
        (
            gateway.cost.prefill(uncached),
            gateway.cost.decode(output, 64),
        )
    }

    fn admit(&mut self, flight: usize, cost: f64) {
        let now = self.moment();
        let Flight {
            req,
            gateway: at,
            deadline,
            ..
        } = self.flights[flight];
        let request = &self.requests[req];
        let gateway = &mut self.gateways[at];
        let engines = gateway.fleet.iter().filter(|(_, up)| up.accepting).count();
        gateway
            .queue
            .set_rate(engines as f64 * USABLE / GATEWAYS as f64);
        let ticket = Ticket {
            account: gateway.accounts[request.account],
            cost,
            priority: u8::from(request.urgent),
            deadline,
            item: flight,
        };
        match gateway.queue.push(ticket, now) {
            Ok(()) => self.pump(at),
            Err(_) => self.fail(flight),
        }
    }

    /// Dispatches what there is room for.
    pub(super) fn pump(&mut self, at: usize) {
        let now = self.moment();
        for ticket in self.gateways[at].queue.expire(now) {
            self.fail(ticket.item);
        }
        while let Some(ticket) = self.gateways[at].queue.pop(now) {
            let flight = ticket.item;
            if !self.flights[flight].live {
                continue;
            }
            if self.is_quarantined(self.flights[flight].req) {
                self.fail(flight);
                continue;
            }
            let choice = self
                .route(flight)
                .filter(|choice| match self.mechanisms.window_s {
                    Some(window) => choice.wait.as_secs_f64() <= window,
                    None => true,
                });
            let Some(choice) = choice else {
                self.gateways[at].queue.put_back(ticket);
                self.pump_later(at);
                return;
            };
            self.dispatch(flight, choice, ticket.cost);
        }
    }

    fn route(&mut self, flight: usize) -> Option<Choice> {
        let now = self.moment();
        let Flight {
            req,
            gateway,
            delivered,
            ref exclude,
            ..
        } = self.flights[flight];
        let request = &self.requests[req];
        let gateway_state = &mut self.gateways[gateway];
        let ask = RouteRequest {
            prompt_tokens: request.prompt + delivered,
            output_tokens: (f64::from(request.max_tokens) * OUTPUT_SHARE) as u32,
            prefix_blocks: &request.pieces,
            block_tokens: PIECE,
            domain: gateway as u16 % DOMAINS,
            exclude,
        };
        let Gateway {
            router,
            fleet,
            cost,
            ..
        } = gateway_state;
        router.route(&ask, fleet, cost, now)
    }

    fn dispatch(&mut self, flight: usize, choice: Choice, work: f64) {
        let now = self.moment();
        let Flight {
            req,
            gateway: at,
            delivered,
            ..
        } = self.flights[flight];
        let request = &self.requests[req];
        let prompt = request.prompt + delivered;
        let gateway = &mut self.gateways[at];
        let (key, decode, holder) = match choice.cache {
            CacheSource::Own => (choice.upstream, None, None),
            CacheSource::Holder(holder) => (choice.upstream, None, Some(holder)),
            CacheSource::Prefill(key) => (key, Some(choice.upstream), None),
        };
        let prefill = gateway
            .cost
            .prefill(prompt - choice.cached_tokens.min(prompt));
        let tokens = if decode.is_some() {
            0
        } else {
            request.max_tokens
        };
        gateway.fleet.record_dispatch(key, prefill, tokens, now);
        if let Some(up) = gateway.fleet.get_mut(key) {
            up.prefix_blocks_mut().add_expected(&request.pieces);
        }
        if let Some(entry) = gateway.sent.entry(key) {
            *entry.or_default() += prefill;
        }
        gateway
            .limit
            .record_served(gateway.accounts[request.account], work, now);
        let run = self.runs.len();
        let index = &gateway.index;
        let moved = f64::from(choice.cached_tokens) * self.costs.transfer_s;
        let after = holder.map_or(0.0, |_| self.costs.transfer_base_s + moved);
        self.runs.push(Run {
            flight,
            engine: index[key],
            decode: decode.map(|key| index[key]),
            holder: holder.map(|key| index[key]),
            live: true,
            sent_work: prefill,
            prefilled: 0,
            generated: 0,
            handed_over: false,
            expected_cached: choice.cached_tokens,
            last_token: f64::NAN,
            submitted: self.now,
        });
        self.flights[flight].run = Some(run);
        self.submit_later(run, after);
    }

    /// Prefill has ended on an engine that does nothing else.
    pub(super) fn prefilled(&mut self, run: usize) {
        if !self.runs[run].live {
            return;
        }
        self.give_back(run);
        let now = self.moment();
        let flight = self.runs[run].flight;
        let Flight {
            req, gateway: at, ..
        } = self.flights[flight];
        let request = &self.requests[req];
        let gateway = &mut self.gateways[at];
        let state = &self.runs[run];
        if self.engines[state.engine].role == EngineRole::Prefill {
            let seconds = self.now - state.submitted;
            gateway.cost.observe_prefill(state.prefilled, seconds);
        }
        let ask = RouteRequest {
            prompt_tokens: request.prompt,
            output_tokens: (f64::from(request.max_tokens) * OUTPUT_SHARE) as u32,
            prefix_blocks: &[],
            block_tokens: PIECE,
            domain: self.engines[self.runs[run].engine].domain,
            exclude: &[],
        };
        let Gateway {
            router,
            fleet,
            cost,
            index,
            ..
        } = gateway;
        let planned = self.runs[run].decode;
        let target = router
            .route_decode(&ask, fleet, cost, now)
            .map(|key| index[key])
            .or(planned.filter(|&decode| self.engines[decode].accepts()));
        let Some(target) = target else {
            self.runs[run].live = false;
            let key = self.keys[self.runs[run].engine];
            self.again(flight, key);
            return;
        };
        let key = self.keys[target];
        fleet.record_dispatch(key, 0.0, request.max_tokens, now);
        let state = &mut self.runs[run];
        state.decode = Some(target);
        state.handed_over = true;
        state.sent_work = 0.0;
        let seconds =
            self.costs.transfer_base_s + f64::from(request.prompt) * self.costs.transfer_s;
        self.submit_later(run, seconds);
    }

    /// A token of a run, perhaps the last.
    pub(super) fn token(&mut self, run: usize, last: bool) {
        if !self.runs[run].live {
            return;
        }
        let now = self.now;
        let state = &mut self.runs[run];
        state.generated += 1;
        let gap = now - state.last_token;
        state.last_token = now;
        let flight = state.flight;
        let target = state.decode.unwrap_or(state.engine);
        if gap.is_finite() {
            self.tally.gap(gap);
            if state.generated.is_multiple_of(OBSERVE_EVERY) {
                self.observe(flight, target, gap);
            }
        }
        let state = &mut self.flights[flight];
        state.delivered += 1;
        let req = state.req;
        if state.delivered == 1 {
            self.tally.first_token(req, now);
        }
        for call in state.callers.clone() {
            self.calls[call].answered = true;
        }
        if last {
            self.complete(flight, run);
        }
    }

    /// Learns the decode step from an engine that does nothing else.
    fn observe(&mut self, flight: usize, engine: usize, gap: f64) {
        let gateway = &mut self.gateways[self.flights[flight].gateway];
        let Some(up) = gateway.fleet.get(self.keys[engine]) else {
            return;
        };
        if up.role == EngineRole::Decode && up.report().prefill_tokens == 0 {
            gateway.cost.observe_decode(up.report().running, gap);
        }
    }

    fn complete(&mut self, flight: usize, run: usize) {
        self.runs[run].live = false;
        self.give_back(run);
        let req = self.flights[flight].req;
        let callers = std::mem::take(&mut self.flights[flight].callers);
        let heard = callers.iter().any(|&call| self.calls[call].alive);
        for call in callers {
            self.calls[call].alive = false;
        }
        if heard {
            let request = &self.requests[req];
            self.tally.complete(req, request, self.now);
        }
        self.close(flight);
    }

    fn close(&mut self, flight: usize) {
        let state = &mut self.flights[flight];
        state.live = false;
        let gateway = &mut self.gateways[state.gateway];
        if let Some(key) = state.key.take() {
            gateway.joined.remove(key);
            gateway.join.finish(key);
        }
    }

    /// Ends a flight without an answer.
    pub(super) fn fail(&mut self, flight: usize) {
        self.close(flight);
        for call in std::mem::take(&mut self.flights[flight].callers) {
            self.refuse(call);
        }
    }

    /// A flight goes back into the queue after a refusal as not run.
    pub(super) fn again(&mut self, flight: usize, refused_by: UpstreamKey) {
        if !self.flights[flight].live {
            return;
        }
        self.flights[flight].run = None;
        self.flights[flight].exclude = vec![refused_by];
        let (prefill, decode) = self.estimate(flight);
        self.admit(flight, prefill + decode);
    }

    /// A flight that lost its engine goes on elsewhere, within the retry budget.
    pub(super) fn resume(&mut self, flight: usize, lost: UpstreamKey) {
        let now = self.moment();
        let at = self.flights[flight].gateway;
        if self.gateways[at].budget.try_retry(now) {
            self.again(flight, lost);
        } else {
            self.fail(flight);
        }
    }

    /// The last caller of a flight may have gone.
    pub(super) fn hang_up(&mut self, flight: usize) {
        if flight == usize::MAX || !self.flights[flight].live {
            return;
        }
        let now = self.moment();
        let state = &self.flights[flight];
        match state.key {
            Some(key) => self.gateways[state.gateway].join.leave(key, now),
            None => self.cancel(flight),
        }
    }

    fn cancel(&mut self, flight: usize) {
        if let Some(run) = self.flights[flight].run.filter(|&run| self.runs[run].live) {
            self.runs[run].live = false;
            let state = &self.runs[run];
            let (engine, decode) = (state.engine, state.decode);
            let left = self.engines[engine].cancel(run);
            self.runs[run].prefilled = self.runs[run].prefilled.saturating_sub(left);
            if let Some(decode) = decode {
                self.engines[decode].cancel(run);
            }
            self.give_back(run);
        }
        self.close(flight);
    }

    /// Takes a run off the books of its gateway.
    pub(super) fn give_back(&mut self, run: usize) {
        let state = &self.runs[run];
        let engine = match state.decode {
            Some(decode) if state.handed_over => decode,
            _ => state.engine,
        };
        let at = self.flights[state.flight].gateway;
        self.gateways[at]
            .fleet
            .record_end(self.keys[engine], state.sent_work);
    }

    /// Counts the work of a run, at the end of the experiment.
    pub(super) fn close_run(&mut self, run: usize) {
        let state = &self.runs[run];
        let work = f64::from(state.prefilled) * self.costs.prefill_s
            + f64::from(state.generated) * self.costs.ideal_decode_s();
        self.tally.run_work(self.flights[state.flight].req, work);
    }

    /// Gateways exchange served work, dispatched work and runs in flight.
    pub(super) fn gossip(&mut self) {
        let now = self.moment();
        for from in 0..GATEWAYS {
            for key in self.gateways[from].join.take_abandoned(now) {
                if let Some(flight) = self.gateways[from].joined.remove(key) {
                    self.flights[flight].key = None;
                    self.cancel(flight);
                }
            }
            let served = self.gateways[from].limit.take_unsent();
            let sent: Vec<_> = self.gateways[from].sent.drain().collect();
            let runs: Vec<_> = self.gateways[from].join.announcements(now).collect();
            for to in (0..GATEWAYS).filter(|&to| to != from) {
                let peer = &mut self.gateways[to];
                for &(account, work) in &served {
                    peer.limit.record_peer_served(account, work, now);
                    peer.queue.charge(account, work);
                }
                for &(key, work) in &sent {
                    peer.fleet.record_peer_dispatch(key, work, now);
                }
                peer.join
                    .apply_announcements(from, runs.iter().copied(), now);
            }
        }
    }
}
