//! Pool of one model: its upstreams and the requests that wait for them.

use std::sync::Arc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::cost::CostModel;
use nutmegbay_policy::fleet::{Fleet, LoadReport, PrefixBlockEvent};
use nutmegbay_policy::plan::Demand;
use nutmegbay_policy::queue::{Queue, Ticket};
use nutmegbay_policy::route::{Choice, RouteRequest, Router};
use nutmegbay_policy::{AccountKey, UpstreamKey};
use nutmegbay_proto::engine::{CacheEvents, Load};
use nutmegbay_proto::prefix::PREFIX_BLOCK_TOKENS;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use crate::state::upstreams::Upstream;

/// Assumed average length of an answer, as a fraction of its token limit. Lengths of actual answers
/// are not used yet.
const EXPECTED_OUTPUT_FRACTION: f64 = 0.75;

/// Fraction of the engine time that the queue plans with.
const USABLE_ENGINE_FRACTION: f64 = 0.9;

/// Maximum expected wait at an upstream at which a request still leaves the queue. It is short
/// enough that the fair queue decides the order, and long enough that no engine becomes idle
/// between two load reports.
const MAX_UPSTREAM_WAIT: Duration = Duration::from_millis(400);

/// Time without a load report after which the dispatches of an upstream that no report covers are
/// discarded.
const DISPATCH_RESET_AFTER: Duration = Duration::from_secs(30);

/// Initial estimates of the cost model, in seconds: prefill of one prompt token, base time of a
/// decode step, and additional time of the step for each sequence in it.
const INITIAL_PREFILL_S_PER_TOKEN: f64 = 1.2e-4;
const INITIAL_DECODE_BASE_S: f64 = 0.010;
const INITIAL_DECODE_SLOPE_S: f64 = 3e-4;

/// What a request needs of an upstream.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Number of prompt tokens, including the answer tokens that were already delivered.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Hashes of the full prefix blocks of the prompt.
    pub prefix_blocks: Arc<[u64]>,
    /// Upstreams on which an attempt has failed. They are used only if no other one takes work.
    pub avoid: Vec<Arc<Upstream>>,
}

/// Request in the queue.
#[derive(Debug)]
pub struct QueuedRequest {
    /// What the request needs of an upstream.
    pub requirements: Requirements,
    /// Channel for the assignment; it is closed when the caller has left.
    pub reply: oneshot::Sender<Assignment>,
}

/// Upstream that was assigned to a request, with the work that is recorded for it.
#[derive(Debug)]
pub struct Assignment {
    /// Upstream that is to run the request.
    pub upstream: Arc<Upstream>,
    /// Key of the upstream in the pool.
    pub key: UpstreamKey,
    /// Estimated engine seconds of prefill.
    pub prefill_s: f64,
    /// Estimated engine seconds of prefill and decode together.
    pub total_s: f64,
}

/// Upstreams and queue of one model.
#[derive(Debug)]
pub struct Pool<R, Q> {
    /// Load and cache state of the upstreams, as this gateway estimates it.
    pub fleet: Fleet,
    /// Estimates the engine time of requests.
    pub cost: CostModel,
    router: R,
    /// Queue of the requests that have no upstream yet.
    pub queue: Q,
    upstreams: SecondaryMap<UpstreamKey, Arc<Upstream>>,
    domain: u16,
    /// Estimated engine seconds of the requests that arrived since the last run of the planner.
    pub offered_demand: Demand,
}

impl<R: Router, Q: Queue<QueuedRequest>> Pool<R, Q> {
    /// Creates a pool without upstreams, for a gateway in failure domain `domain`.
    pub fn new(router: R, queue: Q, domain: u16) -> Self {
        Self {
            fleet: Fleet::default(),
            cost: CostModel::new(
                INITIAL_PREFILL_S_PER_TOKEN,
                INITIAL_DECODE_BASE_S,
                INITIAL_DECODE_SLOPE_S,
            ),
            router,
            queue,
            upstreams: SecondaryMap::new(),
            domain,
            offered_demand: Demand::default(),
        }
    }

    /// Replaces the set of upstreams. Each is given with the index of its failure domain; an
    /// upstream that stays keeps its state.
    pub fn set_upstreams(&mut self, list: &[(Arc<Upstream>, u16)], now: MonotonicTime) {
        let is_listed = |u: &Arc<Upstream>| list.iter().any(|(l, _)| Arc::ptr_eq(l, u));
        let removed: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, u)| !is_listed(u))
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            self.upstreams.remove(key);
            self.fleet.remove(key);
        }
        for (upstream, domain) in list {
            if self.key_of(upstream).is_none() {
                let key = self.fleet.add(*domain, EngineRole::Mixed, now);
                self.upstreams.insert(key, Arc::clone(upstream));
            }
        }
    }

    /// Returns the upstreams with their keys.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Arc<Upstream>)> {
        self.upstreams.iter()
    }

    fn key_of(&self, upstream: &Arc<Upstream>) -> Option<UpstreamKey> {
        let mut upstreams = self.upstreams.iter();
        let found = upstreams.find(|(_, u)| Arc::ptr_eq(u, upstream));
        found.map(|(key, _)| key)
    }

    /// Applies a load report of an upstream that was measured at `measured_at`.
    pub fn on_load_report(
        &mut self,
        upstream: &Arc<Upstream>,
        load: &Load,
        measured_at: MonotonicTime,
    ) {
        let up = self
            .key_of(upstream)
            .and_then(|key| self.fleet.get_mut(key));
        if let Some(up) = up {
            let report = LoadReport {
                running: load.running,
                waiting: load.waiting,
                prefill_tokens: load.prefill_tokens,
                decode_tokens: load.decode_tokens,
                role: load.role,
            };
            up.apply_report(report, measured_at);
        }
    }

    /// Applies cache events of an upstream to the index of its cached prefix blocks.
    pub fn on_cache_events(&mut self, upstream: &Arc<Upstream>, events: &CacheEvents) {
        let up = self
            .key_of(upstream)
            .and_then(|key| self.fleet.get_mut(key));
        if let Some(up) = up {
            let block_events: Vec<PrefixBlockEvent> = events
                .events
                .iter()
                .map(|e| PrefixBlockEvent {
                    seq: e.seq,
                    block: e.block,
                    stored: e.stored,
                })
                .collect();
            up.prefix_blocks_mut().apply(&block_events, events.next);
        }
    }

    /// Corrects the index of cached prefix blocks by the number of cached tokens in an answer.
    pub fn record_cache_hits(
        &mut self,
        key: UpstreamKey,
        prefix_blocks: &[u64],
        cached_tokens: u32,
    ) {
        if let Some(up) = self.fleet.get_mut(key) {
            let cached_blocks = cached_tokens as usize / PREFIX_BLOCK_TOKENS;
            up.prefix_blocks_mut()
                .record_hits(prefix_blocks, cached_blocks);
        }
    }

    /// Updates which upstreams accept work, and returns whether any does. Upstreams whose last call
    /// failed are used only if all others do not take work either.
    pub fn update_accepting(&mut self, now: MonotonicTime) -> bool {
        let accepts_work = |u: &Arc<Upstream>| u.accepts_work();
        let has_healthy = self
            .upstreams
            .values()
            .any(|u| accepts_work(u) && !u.is_failing());
        let mut count = 0_u32;
        for (key, upstream) in &self.upstreams {
            let Some(up) = self.fleet.get_mut(key) else {
                continue;
            };
            up.accepting = accepts_work(upstream) && !(has_healthy && upstream.is_failing());
            count += u32::from(up.accepting);
            if now.since(up.reported_at()) > DISPATCH_RESET_AFTER {
                let report = LoadReport {
                    running: up.in_flight(),
                    role: up.role,
                    ..LoadReport::default()
                };
                up.apply_report(report, now);
            }
        }
        self.queue
            .set_rate(f64::from(count) * USABLE_ENGINE_FRACTION);
        count > 0
    }

    /// Returns the estimated engine seconds of prefill and decode of a request. It assumes the
    /// longest cached prefix that any upstream has.
    pub fn estimate_demand(&self, requirements: &Requirements) -> Demand {
        let cached_blocks = self
            .fleet
            .iter()
            .map(|(_, up)| up.cached_blocks(&requirements.prefix_blocks))
            .max();
        let cached_tokens =
            u32::try_from(cached_blocks.unwrap_or(0) * PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX);
        let uncached = requirements.prompt_tokens.saturating_sub(cached_tokens);
        Demand {
            prefill: self.cost.prefill(uncached),
            decode: self.cost.decode(expected_output_tokens(requirements), 64),
        }
    }

    /// Adds a request to the queue. If the queue refuses it, fails with the time after which the
    /// caller can retry.
    pub fn push(
        &mut self,
        account: AccountKey,
        priority: u8,
        deadline: MonotonicTime,
        queued: QueuedRequest,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let demand = self.estimate_demand(&queued.requirements);
        self.offered_demand.prefill += demand.prefill;
        self.offered_demand.decode += demand.decode;
        let ticket = Ticket {
            account,
            cost: demand.total(),
            priority,
            deadline,
            item: queued,
        };
        let pushed = self.queue.push(ticket, now);
        pushed.map_err(|refused| refused.retry_after)
    }

    /// Assigns upstreams to queued requests while there is capacity. Returns the assignments whose
    /// requests were abandoned. They must be released without the admission lock held.
    pub fn assign_queued(&mut self, now: MonotonicTime) -> Vec<Assignment> {
        // An expired request is refused when its channel closes.
        drop(self.queue.expire(now));
        let mut undelivered = Vec::new();
        while let Some(ticket) = self.queue.pop(now) {
            if ticket.item.reply.is_closed() {
                continue;
            }
            let choice = self.route(&ticket.item.requirements, now);
            let Some(choice) = choice.filter(|choice| self.has_capacity(choice, now)) else {
                self.queue.put_back(ticket);
                return undelivered;
            };
            let Some(assignment) = self.assign(choice, &ticket.item.requirements, ticket.cost, now)
            else {
                continue;
            };
            if let Err(assignment) = ticket.item.reply.send(assignment) {
                undelivered.push(assignment);
            }
        }
        undelivered
    }

    /// Assigns an upstream to a retry, which does not wait in the queue.
    pub fn assign_unqueued(
        &mut self,
        requirements: &Requirements,
        now: MonotonicTime,
    ) -> Option<Assignment> {
        let choice = self.route(requirements, now)?;
        self.assign(
            choice,
            requirements,
            self.estimate_demand(requirements).total(),
            now,
        )
    }

    /// Records the end of a request that was recorded with `prefill_s` seconds of prefill.
    pub fn record_end(&mut self, key: UpstreamKey, prefill_s: f64) {
        self.fleet.record_end(key, prefill_s);
    }

    fn route(&mut self, requirements: &Requirements, now: MonotonicTime) -> Option<Choice> {
        let mut exclude: Vec<_> = requirements
            .avoid
            .iter()
            .filter_map(|u| self.key_of(u))
            .collect();
        let is_candidate = |(key, up): (UpstreamKey, &nutmegbay_policy::fleet::Upstream)| {
            up.accepting && !exclude.contains(&key)
        };
        if !self.fleet.iter().any(is_candidate) {
            exclude.clear();
        }
        let route_request = RouteRequest {
            prompt_tokens: requirements.prompt_tokens,
            output_tokens: expected_output_tokens(requirements),
            prefix_blocks: &requirements.prefix_blocks,
            block_tokens: u32::try_from(PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX),
            domain: self.domain,
            exclude: &exclude,
        };
        self.router
            .route(&route_request, &self.fleet, &self.cost, now)
    }

    /// Returns whether the chosen upstream has capacity now. If its load report is stale, the
    /// requests of this gateway that are in flight there decide.
    fn has_capacity(&self, choice: &Choice, now: MonotonicTime) -> bool {
        choice.wait <= MAX_UPSTREAM_WAIT
            || self
                .fleet
                .get(choice.upstream)
                .is_some_and(|up| up.is_stale(now) && up.in_flight() < up.slots)
    }

    fn assign(
        &mut self,
        choice: Choice,
        requirements: &Requirements,
        total_s: f64,
        now: MonotonicTime,
    ) -> Option<Assignment> {
        let key = choice.upstream;
        let upstream = Arc::clone(self.upstreams.get(key)?);
        let uncached = requirements
            .prompt_tokens
            .saturating_sub(choice.cached_tokens);
        let prefill_s = self.cost.prefill(uncached);
        self.fleet
            .record_dispatch(key, prefill_s, requirements.max_tokens, now);
        if let Some(up) = self.fleet.get_mut(key) {
            up.prefix_blocks_mut()
                .add_expected(&requirements.prefix_blocks);
        }
        Some(Assignment {
            upstream,
            key,
            prefill_s,
            total_s,
        })
    }
}

/// Returns the expected number of answer tokens, at least 1.
fn expected_output_tokens(requirements: &Requirements) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a u32"
    )]
    let tokens = (f64::from(requirements.max_tokens) * EXPECTED_OUTPUT_FRACTION) as u32;
    tokens.max(1)
}
