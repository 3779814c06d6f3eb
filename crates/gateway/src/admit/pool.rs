//! Upstreams of one model with the requests that wait for them.

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

/// Part of its limit that an answer has on average, until answers are learned from.
const OUTPUT_SHARE: f64 = 0.75;

/// Share of engine time that is planned with.
const USABLE: f64 = 0.9;

/// Longest wait at an upstream for which a request leaves the queue: short enough that the fair
/// queue decides, long enough that no engine runs dry between two load reports.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Silence after which the unreported dispatches to an upstream are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// First guesses of the cost: seconds for each prompt token, for a decode step, and for each
/// sequence in it.
const PREFILL_S: f64 = 1.2e-4;
const DECODE_BASE_S: f64 = 0.010;
const DECODE_SLOPE_S: f64 = 3e-4;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Need {
    /// Prompt tokens, with those already delivered.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Hashes of the full pieces of the prompt.
    pub pieces: Arc<[u64]>,
    /// Upstreams on which an attempt has failed.
    pub avoid: Vec<Arc<Upstream>>,
}

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    /// What it needs.
    pub need: Need,
    /// Takes the place.
    pub reply: oneshot::Sender<Place>,
}

/// Where a request is to run.
#[derive(Debug)]
pub struct Place {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Its key in the pool.
    pub key: UpstreamKey,
    /// Engine seconds of prefill that it brings.
    pub work: f64,
    /// Engine seconds in all.
    pub cost: f64,
}

/// Pool of one model.
#[derive(Debug)]
pub struct Pool<R, Q> {
    /// Upstreams as this gateway sees them.
    pub fleet: Fleet,
    /// Cost of work.
    pub cost: CostModel,
    router: R,
    /// Requests that wait.
    pub queue: Q,
    upstreams: SecondaryMap<UpstreamKey, Arc<Upstream>>,
    domain: u16,
    /// Engine seconds of the requests since the planner last looked.
    pub offered: Demand,
}

impl<R: Router, Q: Queue<Waiter>> Pool<R, Q> {
    /// Pool without upstreams, for a gateway in failure domain `domain`.
    pub fn new(router: R, queue: Q, domain: u16) -> Self {
        Self {
            fleet: Fleet::default(),
            cost: CostModel::new(PREFILL_S, DECODE_BASE_S, DECODE_SLOPE_S),
            router,
            queue,
            upstreams: SecondaryMap::new(),
            domain,
            offered: Demand::default(),
        }
    }

    /// Takes the upstreams that exist now, each with the number of its failure domain.
    pub fn set_upstreams(&mut self, list: &[(Arc<Upstream>, u16)], now: MonotonicTime) {
        let is_listed = |u: &Arc<Upstream>| list.iter().any(|(l, _)| Arc::ptr_eq(l, u));
        let gone: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, u)| !is_listed(u))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
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

    /// Upstreams by key.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Arc<Upstream>)> {
        self.upstreams.iter()
    }

    fn key_of(&self, upstream: &Arc<Upstream>) -> Option<UpstreamKey> {
        let mut upstreams = self.upstreams.iter();
        let found = upstreams.find(|(_, u)| Arc::ptr_eq(u, upstream));
        found.map(|(key, _)| key)
    }

    /// Takes the load of an upstream.
    pub fn reported(&mut self, upstream: &Arc<Upstream>, load: &Load, taken: MonotonicTime) {
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
            up.apply_report(report, taken);
        }
    }

    /// Takes the cache events of an upstream.
    pub fn cached(&mut self, upstream: &Arc<Upstream>, events: &CacheEvents) {
        let up = self
            .key_of(upstream)
            .and_then(|key| self.fleet.get_mut(key));
        if let Some(up) = up {
            let pieces: Vec<PrefixBlockEvent> = events
                .events
                .iter()
                .map(|e| PrefixBlockEvent {
                    seq: e.seq,
                    block: e.block,
                    stored: e.stored,
                })
                .collect();
            up.prefix_blocks_mut().apply(&pieces, events.next);
        }
    }

    /// Corrects the view of a cache by an answer.
    pub fn answered(&mut self, key: UpstreamKey, pieces: &[u64], cached_tokens: u32) {
        if let Some(up) = self.fleet.get_mut(key) {
            let cached = cached_tokens as usize / PREFIX_BLOCK_TOKENS;
            up.prefix_blocks_mut().record_hits(pieces, cached);
        }
    }

    /// Looks at which upstreams take work now and returns whether any does.
    pub fn refresh(&mut self, now: MonotonicTime) -> bool {
        let takes = |u: &Arc<Upstream>| u.accepts_work();
        let has_healthy = self.upstreams.values().any(|u| takes(u) && !u.is_failing());
        let mut count = 0_u32;
        for (key, upstream) in &self.upstreams {
            let Some(up) = self.fleet.get_mut(key) else {
                continue;
            };
            up.accepting = takes(upstream) && !(has_healthy && upstream.is_failing());
            count += u32::from(up.accepting);
            if now.since(up.reported_at()) > FORGET_AFTER {
                let report = LoadReport {
                    running: up.in_flight(),
                    role: up.role,
                    ..LoadReport::default()
                };
                up.apply_report(report, now);
            }
        }
        self.queue.set_rate(f64::from(count) * USABLE);
        count > 0
    }

    /// Engine seconds of prefill and decode that a request is expected to use.
    pub fn cost_of(&self, need: &Need) -> Demand {
        let held = self
            .fleet
            .iter()
            .map(|(_, up)| up.cached_blocks(&need.pieces))
            .max();
        let held = u32::try_from(held.unwrap_or(0) * PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX);
        let uncached = need.prompt_tokens.saturating_sub(held);
        Demand {
            prefill: self.cost.prefill(uncached),
            decode: self.cost.decode(output_of(need), 64),
        }
    }

    /// Adds a request or returns the time after which a repeat has a chance.
    pub fn push(
        &mut self,
        account: AccountKey,
        priority: u8,
        deadline: MonotonicTime,
        waiter: Waiter,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let cost = self.cost_of(&waiter.need);
        self.offered.prefill += cost.prefill;
        self.offered.decode += cost.decode;
        let ticket = Ticket {
            account,
            cost: cost.total(),
            priority,
            deadline,
            item: waiter,
        };
        let pushed = self.queue.push(ticket, now);
        pushed.map_err(|refused| refused.retry_after)
    }

    /// Gives places to the requests for which there is room. Returns the places whose requests have
    /// left; they are to be given back without the lock of the pool.
    pub fn pump(&mut self, now: MonotonicTime) -> Vec<Place> {
        // Late ones learn of it by the end of their channel.
        drop(self.queue.expire(now));
        let mut returned = Vec::new();
        while let Some(ticket) = self.queue.pop(now) {
            if ticket.item.reply.is_closed() {
                continue;
            }
            let choice = self.route(&ticket.item.need, now);
            let Some(choice) = choice.filter(|choice| self.has_room(choice, now)) else {
                self.queue.put_back(ticket);
                return returned;
            };
            let Some(place) = self.take(choice, &ticket.item.need, ticket.cost, now) else {
                continue;
            };
            if let Err(place) = ticket.item.reply.send(place) {
                returned.push(place);
            }
        }
        returned
    }

    /// Place for a request that does not wait in the queue, because it has run before.
    pub fn place(&mut self, need: &Need, now: MonotonicTime) -> Option<Place> {
        let choice = self.route(need, now)?;
        self.take(choice, need, self.cost_of(need).total(), now)
    }

    /// A request has ended.
    pub fn finished(&mut self, key: UpstreamKey, work: f64) {
        self.fleet.record_end(key, work);
    }

    fn route(&mut self, need: &Need, now: MonotonicTime) -> Option<Choice> {
        let mut exclude: Vec<_> = need.avoid.iter().filter_map(|u| self.key_of(u)).collect();
        let is_left = |(key, up): (UpstreamKey, &nutmegbay_policy::fleet::Upstream)| {
            up.accepting && !exclude.contains(&key)
        };
        if !self.fleet.iter().any(is_left) {
            exclude.clear();
        }
        let ask = RouteRequest {
            prompt_tokens: need.prompt_tokens,
            output_tokens: output_of(need),
            prefix_blocks: &need.pieces,
            block_tokens: u32::try_from(PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX),
            domain: self.domain,
            exclude: &exclude,
        };
        self.router.route(&ask, &self.fleet, &self.cost, now)
    }

    /// Whether a request can be sent now. Without reports the own requests tell.
    fn has_room(&self, choice: &Choice, now: MonotonicTime) -> bool {
        choice.wait <= MAX_WAIT
            || self
                .fleet
                .get(choice.upstream)
                .is_some_and(|up| up.is_stale(now) && up.in_flight() < up.slots)
    }

    fn take(
        &mut self,
        choice: Choice,
        need: &Need,
        cost: f64,
        now: MonotonicTime,
    ) -> Option<Place> {
        let key = choice.upstream;
        let upstream = Arc::clone(self.upstreams.get(key)?);
        let uncached = need.prompt_tokens.saturating_sub(choice.cached_tokens);
        let work = self.cost.prefill(uncached);
        self.fleet.record_dispatch(key, work, need.max_tokens, now);
        if let Some(up) = self.fleet.get_mut(key) {
            up.prefix_blocks_mut().add_expected(&need.pieces);
        }
        Some(Place {
            upstream,
            key,
            work,
            cost,
        })
    }
}

/// Tokens that an answer is expected to have.
fn output_of(need: &Need) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a u32"
    )]
    let tokens = (f64::from(need.max_tokens) * OUTPUT_SHARE) as u32;
    tokens.max(1)
}
