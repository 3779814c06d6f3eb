//! `nutmegbay-load policy`: the decision code before small fakes of the engines, on a virtual clock.

mod engine;
mod events;
mod gateway;
mod html;
mod site;
mod tally;
mod workload;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use indicatif::ProgressBar;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::plan::{
    Demand, EngineEfficiency, PerfectForecast, PlanSettings, Planner, RolePlanner, StaticRoles,
};
use nutmegbay_policy::queue::{FairQueue, Fifo, Queue};
use nutmegbay_policy::route::{
    LeastOutstanding, LoadRouter, LoadRouterSettings, PrefixHash, RoundRobin, Router,
};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use engine::Costs;
pub use site::{GATEWAYS, Mechanisms, Site};
pub use tally::{Figures, Tally};
pub use workload::{Deployment, Request, Scenario, draw};

use gateway::Gateway;

/// Threads for runs with different seeds.
const THREADS: usize = 4;

/// Wait for an engine up to which a request leaves the queue. Short enough that the fair queue
/// decides, long enough that no engine runs dry between two load reports.
const WINDOW_S: f64 = 0.4;

/// A policy by name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Fair queue, routing by load and prefix, joins and role planner.
    Ours,
    /// The same with a planner that knows the future.
    Clairvoyant,
    /// The same without a planner, all engines mixed.
    StaticRoles,
    /// The same without a planner, half of the engines for prefill and half for decode.
    StaticSplit,
    /// The same with first come, first served.
    Fcfs,
    /// Plain proxy: upstreams in turn.
    RoundRobin,
    /// Plain proxy: fewest requests in flight.
    LeastOutstanding,
    /// Plain proxy: hash of the prefix.
    PrefixHash,
}

/// Result of one deployment, scenario and policy.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Deployment.
    pub deployment: Box<str>,
    /// Scenario.
    pub scenario: Box<str>,
    /// Policy.
    pub policy: Box<str>,
    /// First seed.
    pub seed: u64,
    /// Number of seeds that the figures are medians of.
    pub seeds: u64,
    /// Why figures are null.
    pub notes: BTreeMap<&'static str, &'static str>,
    /// Figures.
    #[serde(flatten)]
    pub figures: Figures,
    /// Good tokens in each second of the first seed, for the plot.
    #[serde(skip)]
    pub series: Vec<f64>,
}

/// What to run.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Deployments.
    pub deployments: Vec<Deployment>,
    /// Scenarios.
    pub scenarios: Vec<Scenario>,
    /// Policies.
    pub policies: Vec<Policy>,
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
}

impl Experiment {
    /// Runs everything; the result does not depend on the number of threads.
    pub fn run(&self, bar: &ProgressBar) -> Vec<Outcome> {
        let mut jobs = Vec::new();
        for &deployment in &self.deployments {
            for &scenario in &self.scenarios {
                for &policy in &self.all_policies() {
                    for seed in self.seed..self.seed + self.seeds {
                        jobs.push((deployment, scenario, policy, seed));
                    }
                }
            }
        }
        bar.set_length(jobs.len() as u64);
        let next = AtomicUsize::new(0);
        let results = Mutex::new(BTreeMap::new());
        std::thread::scope(|scope| {
            for _ in 0..THREADS.min(jobs.len()) {
                scope.spawn(|| {
                    while let Some(&job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let result = run_once(job.0, job.1, job.2, job.3);
                        if let Ok(mut results) = results.lock() {
                            results.insert(job, result);
                        }
                        bar.inc(1);
                    }
                });
            }
        });
        bar.finish_and_clear();
        let mut runs = results.into_inner().unwrap_or_default();
        relate(&mut runs);
        self.summarize(&runs)
    }

    /// The policies asked for, and the clairvoyant one that the ratio needs.
    fn all_policies(&self) -> Vec<Policy> {
        let mut policies = self.policies.clone();
        if !policies.contains(&Policy::Clairvoyant) {
            policies.push(Policy::Clairvoyant);
        }
        policies
    }

    fn summarize(&self, runs: &Runs) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for &deployment in &self.deployments {
            for &scenario in &self.scenarios {
                for &policy in &self.policies {
                    let of = |seed| runs.get(&(deployment, scenario, policy, seed));
                    let seeds = self.seed..self.seed + self.seeds;
                    let figures: Vec<_> = seeds.filter_map(of).map(|run| &run.0).collect();
                    outcomes.push(Outcome {
                        deployment: deployment.to_string().into(),
                        scenario: scenario.to_string().into(),
                        policy: policy.to_string().into(),
                        seed: self.seed,
                        seeds: self.seeds,
                        notes: notes(scenario),
                        figures: median_figures(&figures),
                        series: of(self.seed).map(|run| run.1.clone()).unwrap_or_default(),
                    });
                }
            }
        }
        outcomes
    }
}

type Runs = BTreeMap<(Deployment, Scenario, Policy, u64), (Figures, Vec<f64>)>;

fn notes(scenario: Scenario) -> BTreeMap<&'static str, &'static str> {
    let mut notes = BTreeMap::new();
    let usage = "usage counting of nutmegbay_core is not part of this run";
    notes.insert("late_reports", usage);
    notes.insert("wrong_reports", usage);
    if scenario != Scenario::RetryStorm {
        notes.insert("after_storm_ratio", "the scenario has no retry storm");
    }
    notes
}

/// Sets the goodput of each run in relation to the clairvoyant run with the same seed.
fn relate(runs: &mut Runs) {
    let bound: BTreeMap<_, _> = runs
        .iter()
        .filter(|(key, _)| key.2 == Policy::Clairvoyant)
        .map(|(key, run)| ((key.0, key.1, key.3), run.0.goodput_tokens_per_s))
        .collect();
    for (key, run) in runs {
        run.0.goodput_ratio_to_clairvoyant = bound
            .get(&(key.0, key.1, key.3))
            .map(|&bound| run.0.goodput_tokens_per_s / bound.max(1e-9));
    }
}

/// Median of each figure.
fn median_figures(runs: &[&Figures]) -> Figures {
    let median = |get: fn(&Figures) -> f64| -> f64 {
        let mut values: Vec<f64> = runs.iter().map(|figures| get(figures)).collect();
        values.sort_by(f64::total_cmp);
        let value = match values.len() {
            0 => 0.0,
            n if n % 2 == 1 => values[n / 2],
            n => f64::midpoint(values[n / 2 - 1], values[n / 2]),
        };
        (value * 1e9).round() / 1e9
    };
    let some = |is: fn(&Figures) -> bool, get: fn(&Figures) -> f64| {
        runs.iter().all(|figures| is(figures)).then(|| median(get))
    };
    Figures {
        goodput_tokens_per_s: median(|f| f.goodput_tokens_per_s),
        goodput_ratio_to_clairvoyant: some(
            |f| f.goodput_ratio_to_clairvoyant.is_some(),
            |f| f.goodput_ratio_to_clairvoyant.unwrap_or_default(),
        ),
        deadline_met_share: median(|f| f.deadline_met_share),
        role_changes: median(|f| f.role_changes),
        role_changes_per_engine_and_mix: median(|f| f.role_changes_per_engine_and_mix),
        worst_account_share: median(|f| f.worst_account_share),
        upstream_seconds: median(|f| f.upstream_seconds),
        cost_per_good_token: median(|f| f.cost_per_good_token),
        late_reports: None,
        wrong_reports: None,
        ttft_p95_s: median(|f| f.ttft_p95_s),
        itl_p95_s: median(|f| f.itl_p95_s),
        duplicated_work_share: median(|f| f.duplicated_work_share),
        after_storm_ratio: some(
            |f| f.after_storm_ratio.is_some(),
            |f| f.after_storm_ratio.unwrap_or_default(),
        ),
        joined: median(|f| f.joined),
        refused: median(|f| f.refused),
        crashes: median(|f| f.crashes),
        given_back: median(|f| f.given_back),
    }
}

/// Runs one policy once and returns its figures and the good tokens of each second.
pub fn run_once(
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    seed: u64,
) -> (Figures, Vec<f64>) {
    let costs = Costs::default();
    let requests = draw(deployment, scenario, seed, &costs);
    let setup = Setup {
        deployment,
        scenario,
        policy,
        seed,
        requests,
    };
    let settings = plan_settings(deployment);
    let load = |gateway: u64| LoadRouter::new(seed * 31 + gateway, LoadRouterSettings::default());
    let ours = Mechanisms {
        join: true,
        window_s: Some(WINDOW_S),
    };
    let plain = Mechanisms {
        join: false,
        window_s: None,
    };
    match policy {
        Policy::Ours => setup.run(load, FairQueue::default, RolePlanner::new(settings), ours),
        Policy::Clairvoyant => {
            let planner = PerfectForecast::new(settings, true_demand(&setup.requests));
            setup.run(load, FairQueue::default, planner, ours)
        }
        Policy::StaticRoles | Policy::StaticSplit => {
            setup.run(load, FairQueue::default, StaticRoles, ours)
        }
        Policy::Fcfs => setup.run(load, Fifo::default, RolePlanner::new(settings), ours),
        Policy::RoundRobin => {
            setup.run(|_| RoundRobin::default(), Fifo::default, StaticRoles, plain)
        }
        Policy::LeastOutstanding => setup.run(
            |_| LeastOutstanding::default(),
            Fifo::default,
            StaticRoles,
            plain,
        ),
        Policy::PrefixHash => setup.run(|_| PrefixHash, Fifo::default, StaticRoles, plain),
    }
}

struct Setup {
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    seed: u64,
    requests: Vec<Request>,
}

impl Setup {
    fn run<R: Router, Q: Queue<usize>, P: Planner>(
        self,
        router: impl Fn(u64) -> R,
        queue: impl Fn() -> Q,
        planner: P,
        mechanisms: Mechanisms,
    ) -> (Figures, Vec<f64>) {
        let gateways = (0..GATEWAYS as u64)
            .map(|index| Gateway::new(router(index), queue()))
            .collect();
        let roles: Vec<_> = (0..self.deployment.engines())
            .map(|index| match (self.policy, index % 2) {
                (Policy::StaticSplit, 0) => EngineRole::Prefill,
                (Policy::StaticSplit, _) => EngineRole::Decode,
                _ => EngineRole::Mixed,
            })
            .collect();
        let requests = self.requests.clone();
        let site = Site::new(
            self.scenario,
            self.requests,
            gateways,
            planner,
            mechanisms,
            &roles,
            self.seed,
        );
        let tally = site.run();
        let figures = tally.figures(self.scenario, &requests, &Costs::default());
        (figures, tally.good_tokens().to_vec())
    }
}

/// Settings of the planner at a site whose fleet can shrink and come back to its size.
fn plan_settings(deployment: Deployment) -> PlanSettings {
    PlanSettings {
        role_change_time: Duration::from_secs(8),
        max_concurrent_changes: 4,
        min_upstreams: deployment.engines() * 2 / 3,
        max_upstreams: deployment.engines(),
        efficiency: EngineEfficiency {
            // Chunks of 512 in place of 2,048 and batches of 24 in place of 64 leave 0.95 and 0.56.
            // With prefill in each step there are 71 ms between tokens, where 46 ms are wanted, so
            // less of it counts.
            mixed_prefill_factor: 0.8,
            mixed_decode_factor: 0.45,
            max_utilization: 0.9,
        },
        ..PlanSettings::default()
    }
}

/// Mean demand over a time ahead, from the requests themselves.
fn true_demand(requests: &[Request]) -> impl Fn(MonotonicTime, Duration) -> Demand + use<> {
    let costs = Costs::default();
    let mut seconds = vec![Demand::default(); workload::RUN_S as usize + 1];
    for request in requests {
        let work = request.work(&costs);
        let slot = &mut seconds[request.at as usize];
        slot.prefill += work.prefill;
        slot.decode += work.decode;
    }
    move |from, over| {
        let last = seconds.len() - 1;
        let from = (from.0.as_secs() as usize).min(last - 1);
        let to = (from + over.as_secs().max(1) as usize).min(last);
        let n = (to - from) as f64;
        let part = &seconds[from..to];
        Demand {
            prefill: part.iter().map(|demand| demand.prefill).sum::<f64>() / n,
            decode: part.iter().map(|demand| demand.decode).sum::<f64>() / n,
        }
    }
}

/// Writes the report page into a folder and returns its path.
pub fn write_report(dir: &PathBuf, outcomes: &[Outcome]) -> std::io::Result<PathBuf> {
    std::fs::create_dir_all(dir)?;
    let path = dir.join("policy.html");
    std::fs::write(&path, html::page(outcomes))?;
    Ok(path)
}
