//! Routing by waiting work and cached prefix.

use std::time::Duration;

use nutmegbay_core::record::EngineRole;
use nutmegbay_core::world::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Ask, CacheFrom, Choice, Router, eligible};
use crate::UpstreamKey;
use crate::cost::CostModel;
use crate::fleet::Fleet;

/// Settings of a [`LoadRouter`].
#[derive(Debug, Clone, Copy)]
pub struct LoadRouterSettings {
    /// Random candidates beside the prefix holder.
    pub candidates: usize,
    /// Seconds to move the cache of one prompt token between upstreams.
    pub transfer_s_per_token: f64,
    /// Fixed seconds of a cache transfer.
    pub transfer_base_s: f64,
    /// Scores closer than this are a tie, decided by failure domain.
    pub tie_s: f64,
}

impl Default for LoadRouterSettings {
    fn default() -> Self {
        Self {
            candidates: 2,
            transfer_s_per_token: 4e-6,
            transfer_base_s: 0.01,
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

/// A way to run a request, with its seconds to the first token and its engine seconds.
#[derive(Debug, Clone, Copy)]
struct Plan {
    choice: Choice,
    score: f64,
    domain: u16,
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
    fn draw(&mut self, ask: &Ask<'_>, fleet: &Fleet, role: fn(EngineRole) -> bool, count: usize) {
        self.pool.clear();
        self.tied.clear();
        let mut most = 0;
        for (key, up) in eligible(fleet, ask, role) {
            self.pool.push(key);
            let cached = if ask.pieces.is_empty() {
                0
            } else {
                up.cached(ask.pieces)
            };
            if cached > most {
                most = cached;
                self.tied.clear();
            }
            if cached == most && cached > 0 {
                self.tied.push(key);
            }
        }
        let holder = match self.tied.len() {
            0 => None,
            n => Some(self.tied[self.rng.random_range(0..n)]),
        };
        let count = count.min(self.pool.len());
        for i in 0..count {
            let j = self.rng.random_range(i..self.pool.len());
            self.pool.swap(i, j);
        }
        self.pool.truncate(count);
        if let Some(holder) = holder.filter(|holder| !self.pool.contains(holder)) {
            self.pool.push(holder);
        }
    }

    fn transfer(&self, tokens: u32) -> f64 {
        self.settings.transfer_base_s + f64::from(tokens) * self.settings.transfer_s_per_token
    }

    /// Prefill and generation on one upstream, with an import of the prefix where that is cheaper.
    fn plan_own(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: Moment,
    ) -> Option<Plan> {
        self.draw(
            ask,
            fleet,
            |role| role == EngineRole::Mixed,
            self.settings.candidates,
        );
        let holder = self
            .pool
            .iter()
            .filter_map(|&key| Some((ask.uncached(fleet.get(key)?), key)))
            .min();
        let mut best: Option<Plan> = None;
        for &key in &self.pool {
            let Some(up) = fleet.get(key) else { continue };
            let uncached = ask.uncached(up);
            let mut prefill = cost.prefill(uncached);
            let mut cache = CacheFrom::Own;
            match holder {
                Some((least, from)) if from != key && least < uncached => {
                    let import = self.transfer(ask.prompt_tokens - least) + cost.prefill(least);
                    if import < prefill {
                        prefill = import;
                        cache = CacheFrom::Holder(from);
                    }
                }
                _ => {}
            }
            let batch = up.batch();
            let score = up.backlog(cost, now) + prefill + cost.step(batch);
            let plan = Plan {
                choice: Choice {
                    upstream: key,
                    cache,
                    cached_tokens: ask.prompt_tokens - uncached,
                    first_token: Duration::from_secs_f64(score),
                },
                score,
                domain: up.domain,
            };
            best = Some(better(best, plan, ask.domain, self.settings.tie_s));
        }
        best
    }

    /// Prefill on one upstream and generation on another.
    fn plan_split(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: Moment,
    ) -> Option<Plan> {
        self.draw(
            ask,
            fleet,
            |role| role == EngineRole::Prefill,
            self.settings.candidates,
        );
        let mut first: Option<Plan> = None;
        for &key in &self.pool {
            let Some(up) = fleet.get(key) else { continue };
            let uncached = ask.uncached(up);
            let score = up.backlog(cost, now) + cost.prefill(uncached);
            let plan = Plan {
                choice: Choice {
                    upstream: key,
                    cache: CacheFrom::Own,
                    cached_tokens: ask.prompt_tokens - uncached,
                    first_token: Duration::from_secs_f64(score),
                },
                score,
                domain: up.domain,
            };
            first = Some(better(first, plan, ask.domain, self.settings.tie_s));
        }
        let first = first?;
        self.draw(
            ask,
            fleet,
            |role| role == EngineRole::Decode,
            self.settings.candidates,
        );
        let mut best: Option<Plan> = None;
        for &key in &self.pool {
            let Some(up) = fleet.get(key) else { continue };
            let score = first.score
                + self.transfer(ask.prompt_tokens)
                + up.backlog(cost, now)
                + cost.step(up.batch());
            let plan = Plan {
                choice: Choice {
                    upstream: key,
                    cache: CacheFrom::Prefill(first.choice.upstream),
                    cached_tokens: first.choice.cached_tokens,
                    first_token: Duration::from_secs_f64(score),
                },
                score,
                domain: up.domain,
            };
            best = Some(better(best, plan, first.domain, self.settings.tie_s));
        }
        best
    }

    /// Any upstream that accepts work, for fleets that lost all of a role.
    fn plan_any(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: Moment,
    ) -> Option<Plan> {
        self.draw(ask, fleet, |_| true, self.settings.candidates);
        let mut best: Option<Plan> = None;
        for &key in &self.pool {
            let Some(up) = fleet.get(key) else { continue };
            let uncached = ask.uncached(up);
            let score = up.backlog(cost, now) + cost.prefill(uncached);
            let plan = Plan {
                choice: Choice {
                    upstream: key,
                    cache: CacheFrom::Own,
                    cached_tokens: ask.prompt_tokens - uncached,
                    first_token: Duration::from_secs_f64(score),
                },
                score,
                domain: up.domain,
            };
            best = Some(better(best, plan, ask.domain, self.settings.tie_s));
        }
        best
    }
}

impl Router for LoadRouter {
    fn route(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: Moment,
    ) -> Option<Choice> {
        let own = self.plan_own(ask, fleet, cost, now);
        let split = self.plan_split(ask, fleet, cost, now);
        let best = match (own, split) {
            (Some(own), Some(split)) if split.score < own.score => Some(split),
            (Some(own), _) => Some(own),
            (None, split) => split,
        };
        best.or_else(|| self.plan_any(ask, fleet, cost, now))
            .map(|plan| plan.choice)
    }
}

/// The plan with the lower score; on a tie the one in `domain`.
fn better(best: Option<Plan>, plan: Plan, domain: u16, tie_s: f64) -> Plan {
    match best {
        None => plan,
        Some(best) if (best.score - plan.score).abs() < tie_s => {
            if plan.domain == domain && best.domain != domain {
                plan
            } else {
                best
            }
        }
        Some(best) if plan.score < best.score => plan,
        Some(best) => best,
    }
}
