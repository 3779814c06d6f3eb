//! Routing by waiting work and cached prefix.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Ask, CacheFrom, Choice, Router, eligible};
use crate::UpstreamKey;
use crate::cost::CostModel;
use crate::fleet::{Fleet, Upstream};

/// Waiting prefill from which on a mixed engine has some in every step.
const BUSY_S: f64 = 0.2;

/// Settings of a [`LoadRouter`].
#[derive(Debug, Clone, Copy)]
pub struct LoadRouterSettings {
    /// Random candidates beside the prefix holder.
    pub candidates: usize,
    /// Seconds to move the cache of one prompt token between upstreams.
    pub transfer_s_per_token: f64,
    /// Fixed seconds of a cache transfer.
    pub transfer_base_s: f64,
    /// Prompt tokens that a mixed engine adds to a step.
    pub chunk_tokens: u32,
    /// Scores closer than this are a tie, decided by failure domain.
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

/// Takes the least waiting work plus uncached prefill among random candidates and the upstream
/// that holds most of the prefix.
#[derive(Debug)]
pub struct LoadRouter {
    rng: ChaCha8Rng,
    settings: LoadRouterSettings,
    pool: Vec<UpstreamKey>,
    tied: Vec<UpstreamKey>,
}

/// A way to run a request, with the seconds until its answer is complete.
#[derive(Debug, Clone, Copy)]
struct Plan {
    choice: Choice,
    score: f64,
    domain: u16,
}

/// What a plan is made for.
#[derive(Clone, Copy)]
struct View<'a> {
    ask: &'a Ask<'a>,
    fleet: &'a Fleet,
    cost: &'a CostModel,
    now: MonotonicTime,
}

impl LoadRouter {
    /// Creates a router. Gateways need different seeds: with equal ones they choose alike.
    pub fn new(seed: u64, settings: LoadRouterSettings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            pool: Vec::new(),
            tied: Vec::new(),
        }
    }

    /// Fills `self.pool` with random candidates of a role and the best prefix holder among them.
    fn draw(&mut self, view: View<'_>, role: fn(EngineRole) -> bool) {
        self.pool.clear();
        self.tied.clear();
        let pieces = view.ask.pieces;
        let mut most = 1;
        for (key, up) in eligible(view.fleet, view.ask, role) {
            self.pool.push(key);
            let cached = if pieces.is_empty() {
                0
            } else {
                up.cached(pieces)
            };
            if cached > most {
                most = cached;
                self.tied.clear();
            }
            if cached == most {
                self.tied.push(key);
            }
        }
        let holder = match self.tied.len() {
            0 => None,
            n => Some(self.tied[self.rng.random_range(0..n)]),
        };
        let count = self.settings.candidates.min(self.pool.len());
        for i in 0..count {
            let j = self.rng.random_range(i..self.pool.len());
            self.pool.swap(i, j);
        }
        self.pool.truncate(count);
        if let Some(holder) = holder.filter(|holder| !self.pool.contains(holder)) {
            self.pool.push(holder);
        }
    }

    /// Best plan over the drawn candidates.
    fn best(&self, domain: u16, plan: impl Fn(UpstreamKey) -> Option<Plan>) -> Option<Plan> {
        self.pool
            .iter()
            .filter_map(|&key| plan(key))
            .reduce(|best, next| better(best, next, domain, self.settings.tie_s))
    }

    /// Seconds between two tokens of one more sequence on `up`. Prefill of others takes part of
    /// each step of a mixed engine while any waits.
    fn step(&self, view: View<'_>, up: &Upstream) -> f64 {
        let step = view.cost.step(up.batch() + 1);
        if up.role != EngineRole::Mixed {
            return step;
        }
        let busy = (up.backlog(view.cost, view.now) / BUSY_S).min(1.0);
        step + busy * view.cost.prefill(self.settings.chunk_tokens)
    }

    fn transfer(&self, tokens: u32) -> f64 {
        self.settings.transfer_base_s + f64::from(tokens) * self.settings.transfer_s_per_token
    }

    /// Prefill and generation on one upstream, with an import of the prefix where that is cheaper.
    fn plan_own(&mut self, view: View<'_>, role: fn(EngineRole) -> bool) -> Option<Plan> {
        self.draw(view, role);
        let (ask, cost) = (view.ask, view.cost);
        let holder = self
            .pool
            .iter()
            .filter_map(|&key| Some((ask.uncached(view.fleet.get(key)?), key)))
            .min();
        self.best(ask.domain, |key| {
            let up = view.fleet.get(key)?;
            let mut uncached = ask.uncached(up);
            let mut prefill = cost.prefill(uncached);
            let mut cache = CacheFrom::Own;
            match holder {
                Some((least, from)) if from != key && least < uncached => {
                    let import = self.transfer(ask.prompt_tokens - least) + cost.prefill(least);
                    if import < prefill {
                        prefill = import;
                        uncached = least;
                        cache = CacheFrom::Holder(from);
                    }
                }
                _ => {}
            }
            let wait = up.backlog(cost, view.now) + up.slot_wait(cost);
            let step = self.step(view, up);
            let first = wait + prefill + step;
            Some(Plan {
                choice: Choice {
                    upstream: key,
                    cache,
                    cached_tokens: ask.prompt_tokens - uncached,
                    wait: Duration::from_secs_f64(wait),
                    first_token: Duration::from_secs_f64(first),
                },
                score: first + f64::from(ask.output_tokens) * step,
                domain: up.domain,
            })
        })
    }

    /// Prefill on one upstream and generation on another.
    fn plan_split(&mut self, view: View<'_>) -> Option<Plan> {
        let (ask, cost) = (view.ask, view.cost);
        // Mixed engines prefill for decode engines too; else those idle while no engine does
        // prefill alone.
        self.draw(view, |role| role != EngineRole::Decode);
        let first = self.best(ask.domain, |key| {
            let up = view.fleet.get(key)?;
            let uncached = ask.uncached(up);
            let wait = up.backlog(cost, view.now);
            let score = wait + cost.prefill(uncached);
            Some(Plan {
                choice: Choice {
                    upstream: key,
                    cache: CacheFrom::Own,
                    cached_tokens: ask.prompt_tokens - uncached,
                    wait: Duration::from_secs_f64(wait),
                    first_token: Duration::from_secs_f64(score),
                },
                score,
                domain: up.domain,
            })
        })?;
        self.plan_decode(view, &first)
    }

    /// Generation on a decode upstream after the prefill in `first`.
    fn plan_decode(&mut self, view: View<'_>, first: &Plan) -> Option<Plan> {
        let (ask, cost) = (view.ask, view.cost);
        self.draw(view, |role| role == EngineRole::Decode);
        let moved = first.score + self.transfer(ask.prompt_tokens);
        self.best(first.domain, |key| {
            let up = view.fleet.get(key)?;
            let step = self.step(view, up);
            let slot_wait = up.slot_wait(cost);
            let start = moved + slot_wait + step;
            Some(Plan {
                choice: Choice {
                    upstream: key,
                    cache: CacheFrom::Prefill(first.choice.upstream),
                    wait: first.choice.wait.max(Duration::from_secs_f64(slot_wait)),
                    first_token: Duration::from_secs_f64(start),
                    ..first.choice
                },
                score: start + f64::from(ask.output_tokens) * step,
                domain: up.domain,
            })
        })
    }
}

impl Router for LoadRouter {
    fn route(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: MonotonicTime,
    ) -> Option<Choice> {
        let view = View {
            ask,
            fleet,
            cost,
            now,
        };
        let own = self.plan_own(view, |role| role == EngineRole::Mixed);
        let split = self.plan_split(view);
        let best = match (own, split) {
            (Some(own), Some(split)) if split.score < own.score => Some(split),
            (Some(own), _) => Some(own),
            (None, split) => split,
        };
        // A fleet that lost all engines of a role still serves on the others.
        best.or_else(|| self.plan_own(view, |_| true))
            .map(|plan| plan.choice)
    }

    fn hand_over(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: MonotonicTime,
    ) -> Option<UpstreamKey> {
        let view = View {
            ask,
            fleet,
            cost,
            now,
        };
        self.draw(view, |role| role != EngineRole::Prefill);
        self.best(ask.domain, |key| {
            let up = fleet.get(key)?;
            let step = self.step(view, up);
            Some(Plan {
                choice: Choice {
                    upstream: key,
                    cache: CacheFrom::Own,
                    cached_tokens: 0,
                    wait: Duration::ZERO,
                    first_token: Duration::ZERO,
                },
                score: up.slot_wait(cost) + f64::from(ask.output_tokens) * step,
                domain: up.domain,
            })
        })
        .map(|plan| plan.choice.upstream)
    }
}

/// The plan with the lower score; on a tie the one in `domain`.
fn better(best: Plan, next: Plan, domain: u16, tie_s: f64) -> Plan {
    let is_tie = (best.score - next.score).abs() < tie_s;
    let next_wins = if is_tie {
        next.domain == domain && best.domain != domain
    } else {
        next.score < best.score
    };
    if next_wins { next } else { best }
}
