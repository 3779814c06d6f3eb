//! Routing by waiting work and cached prefix.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CacheSource, Choice, RouteRequest, Router, eligible};
use crate::UpstreamKey;
use crate::cost::CostModel;
use crate::fleet::{Fleet, Upstream};

/// Seconds of waiting prefill from which a mixed engine runs some prefill in every step.
const BUSY_BACKLOG_S: f64 = 0.2;

/// Settings of a [`LoadRouter`].
#[derive(Debug, Clone, Copy)]
pub struct LoadRouterSettings {
    /// Number of random candidates in addition to the prefix holder.
    pub candidates: usize,
    /// Seconds to move the cache of one prompt token between upstreams.
    pub transfer_s_per_token: f64,
    /// Fixed seconds of a cache transfer.
    pub transfer_base_s: f64,
    /// Prompt tokens that a mixed engine adds to a step.
    pub chunk_tokens: u32,
    /// Difference of two scores, in seconds, below which they tie. The failure domain decides a
    /// tie.
    pub tie_s: f64,
}

impl Default for LoadRouterSettings {
    fn default() -> Self {
        Self {
            candidates: 2,
            transfer_s_per_token: 4e-6,
            transfer_base_s: 0.01,
            chunk_tokens: 512,
            tie_s: 0.005,
        }
    }
}

/// Chooses the least waiting work plus uncached prefill among random candidates and the upstream
/// that holds the longest part of the prefix.
#[derive(Debug)]
pub struct LoadRouter {
    rng: ChaCha8Rng,
    settings: LoadRouterSettings,
    drawn: Vec<UpstreamKey>,
    longest_holders: Vec<UpstreamKey>,
}

/// Choice for a request, with the estimated seconds until its answer is complete.
#[derive(Debug, Clone, Copy)]
struct ScoredChoice {
    choice: Choice,
    score: f64,
    domain: u16,
}

/// Inputs of a routing decision.
#[derive(Clone, Copy)]
struct RoutingContext<'a> {
    request: &'a RouteRequest<'a>,
    fleet: &'a Fleet,
    cost: &'a CostModel,
    now: MonotonicTime,
}

impl LoadRouter {
    /// Creates a router. Each gateway needs its own seed; with equal seeds they make the same
    /// choices.
    pub fn new(seed: u64, settings: LoadRouterSettings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            drawn: Vec::new(),
            longest_holders: Vec::new(),
        }
    }

    /// Fills `self.drawn` with random candidates that fit a role, and with the one that holds the
    /// longest cached prefix.
    fn draw_candidates(&mut self, context: RoutingContext<'_>, role: fn(EngineRole) -> bool) {
        self.drawn.clear();
        self.longest_holders.clear();
        let prefix_blocks = context.request.prefix_blocks;
        let mut longest = 1;
        for (key, up) in eligible(context.fleet, context.request, role) {
            self.drawn.push(key);
            let cached_blocks = if prefix_blocks.is_empty() {
                0
            } else {
                up.cached_blocks(prefix_blocks)
            };
            if cached_blocks > longest {
                longest = cached_blocks;
                self.longest_holders.clear();
            }
            if cached_blocks == longest {
                self.longest_holders.push(key);
            }
        }
        let holder = match self.longest_holders.len() {
            0 => None,
            n => Some(self.longest_holders[self.rng.random_range(0..n)]),
        };
        let count = self.settings.candidates.min(self.drawn.len());
        for i in 0..count {
            let j = self.rng.random_range(i..self.drawn.len());
            self.drawn.swap(i, j);
        }
        self.drawn.truncate(count);
        if let Some(holder) = holder.filter(|holder| !self.drawn.contains(holder)) {
            self.drawn.push(holder);
        }
    }

    /// Returns the best plan over the drawn candidates.
    fn best_plan(
        &self,
        domain: u16,
        plan: impl Fn(UpstreamKey) -> Option<ScoredChoice>,
    ) -> Option<ScoredChoice> {
        self.drawn
            .iter()
            .filter_map(|&key| plan(key))
            .reduce(|best, next| pick_better(best, next, domain, self.settings.tie_s))
    }

    /// Returns the seconds between two tokens if one more sequence runs on `up`. On a mixed engine,
    /// waiting prefill of other requests takes time in each step.
    fn token_interval_s(&self, context: RoutingContext<'_>, up: &Upstream) -> f64 {
        let step = context.cost.step(up.batch() + 1);
        if up.role != EngineRole::Mixed {
            return step;
        }
        let busy = (up.backlog(context.cost, context.now) / BUSY_BACKLOG_S).min(1.0);
        step + busy * context.cost.prefill(self.settings.chunk_tokens)
    }

    fn transfer_s(&self, tokens: u32) -> f64 {
        self.settings.transfer_base_s + f64::from(tokens) * self.settings.transfer_s_per_token
    }

    /// Plans prefill and decode on one upstream, which imports the prefix if that is cheaper.
    fn plan_single(
        &mut self,
        context: RoutingContext<'_>,
        role: fn(EngineRole) -> bool,
    ) -> Option<ScoredChoice> {
        self.draw_candidates(context, role);
        let (request, cost) = (context.request, context.cost);
        let holder = self
            .drawn
            .iter()
            .filter_map(|&key| Some((request.uncached_tokens(context.fleet.get(key)?), key)))
            .min();
        self.best_plan(request.domain, |key| {
            let up = context.fleet.get(key)?;
            let mut uncached_tokens = request.uncached_tokens(up);
            let mut prefill = cost.prefill(uncached_tokens);
            let mut cache = CacheSource::Own;
            match holder {
                Some((least, from)) if from != key && least < uncached_tokens => {
                    let import =
                        self.transfer_s(request.prompt_tokens - least) + cost.prefill(least);
                    if import < prefill {
                        prefill = import;
                        uncached_tokens = least;
                        cache = CacheSource::Holder(from);
                    }
                }
                _ => {}
            }
            let wait = up.backlog(cost, context.now) + up.slot_wait(cost);
            let token_interval_s = self.token_interval_s(context, up);
            let first_token_s = wait + prefill + token_interval_s;
            Some(ScoredChoice {
                choice: Choice {
                    upstream: key,
                    cache,
                    cached_tokens: request.prompt_tokens - uncached_tokens,
                    wait: Duration::from_secs_f64(wait),
                    first_token: Duration::from_secs_f64(first_token_s),
                },
                score: first_token_s + f64::from(request.output_tokens) * token_interval_s,
                domain: up.domain,
            })
        })
    }

    /// Plans prefill on one upstream and decode on another.
    fn plan_split(&mut self, context: RoutingContext<'_>) -> Option<ScoredChoice> {
        let (request, cost) = (context.request, context.cost);
        // Mixed engines also prefill for decode engines. Without this, decode engines are idle
        // while no engine has the prefill role.
        self.draw_candidates(context, |role| role != EngineRole::Decode);
        let prefill = self.best_plan(request.domain, |key| {
            let up = context.fleet.get(key)?;
            let uncached_tokens = request.uncached_tokens(up);
            let wait = up.backlog(cost, context.now);
            let score = wait + cost.prefill(uncached_tokens);
            Some(ScoredChoice {
                choice: Choice {
                    upstream: key,
                    cache: CacheSource::Own,
                    cached_tokens: request.prompt_tokens - uncached_tokens,
                    wait: Duration::from_secs_f64(wait),
                    first_token: Duration::from_secs_f64(score),
                },
                score,
                domain: up.domain,
            })
        })?;
        self.plan_decode(context, &prefill)
    }

    /// Plans decode on a decode upstream after the prefill in `prefill`.
    fn plan_decode(
        &mut self,
        context: RoutingContext<'_>,
        prefill: &ScoredChoice,
    ) -> Option<ScoredChoice> {
        let (request, cost) = (context.request, context.cost);
        self.draw_candidates(context, |role| role == EngineRole::Decode);
        let transferred_s = prefill.score + self.transfer_s(request.prompt_tokens);
        self.best_plan(prefill.domain, |key| {
            let up = context.fleet.get(key)?;
            let token_interval_s = self.token_interval_s(context, up);
            let slot_wait = up.slot_wait(cost);
            let start = transferred_s + slot_wait + token_interval_s;
            Some(ScoredChoice {
                choice: Choice {
                    upstream: key,
                    cache: CacheSource::Prefill(prefill.choice.upstream),
                    wait: prefill.choice.wait.max(Duration::from_secs_f64(slot_wait)),
                    first_token: Duration::from_secs_f64(start),
                    ..prefill.choice
                },
                score: start + f64::from(request.output_tokens) * token_interval_s,
                domain: up.domain,
            })
        })
    }
}

impl Router for LoadRouter {
    fn route(
        &mut self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: MonotonicTime,
    ) -> Option<Choice> {
        let context = RoutingContext {
            request,
            fleet,
            cost,
            now,
        };
        let single = self.plan_single(context, |role| role == EngineRole::Mixed);
        let split = self.plan_split(context);
        let best = match (single, split) {
            (Some(single), Some(split)) if split.score < single.score => Some(split),
            (Some(single), _) => Some(single),
            (None, split) => split,
        };
        // A fleet that lost all engines of a role still serves requests on the others.
        best.or_else(|| self.plan_single(context, |_| true))
            .map(|plan| plan.choice)
    }

    fn route_decode(
        &mut self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: MonotonicTime,
    ) -> Option<UpstreamKey> {
        let context = RoutingContext {
            request,
            fleet,
            cost,
            now,
        };
        self.draw_candidates(context, |role| role != EngineRole::Prefill);
        self.best_plan(request.domain, |key| {
            let up = fleet.get(key)?;
            let token_interval_s = self.token_interval_s(context, up);
            Some(ScoredChoice {
                choice: Choice {
                    upstream: key,
                    cache: CacheSource::Own,
                    cached_tokens: 0,
                    wait: Duration::ZERO,
                    first_token: Duration::ZERO,
                },
                score: up.slot_wait(cost) + f64::from(request.output_tokens) * token_interval_s,
                domain: up.domain,
            })
        })
        .map(|plan| plan.choice.upstream)
    }
}

/// Returns the plan with the lower score, or on a tie the one in `domain`.
fn pick_better(best: ScoredChoice, next: ScoredChoice, domain: u16, tie_s: f64) -> ScoredChoice {
    let is_tie = (best.score - next.score).abs() < tie_s;
    let next_wins = if is_tie {
        next.domain == domain && best.domain != domain
    } else {
        next.score < best.score
    };
    if next_wins { next } else { best }
}
