//! `nutmegbay-load policy`: runs the production decision code against fake engines on a virtual
//! clock.

mod engine;
mod events;
mod gateway;
mod html;
mod simulation;
mod statistics;
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

pub use engine::EngineCosts;
pub use simulation::{GATEWAYS, Mechanisms, Simulation};
pub use statistics::{RunMetrics, RunStatistics};
pub use workload::{Deployment, Request, Scenario, generate_requests};

use gateway::Gateway;

/// Number of threads, each of which executes one run at a time.
const THREADS: usize = 4;

/// Maximum expected wait at an engine for which a request leaves the gateway's queue. Short enough
/// that the fair queue decides the order, long enough that no engine becomes idle between two load
/// reports.
const MAX_DISPATCH_WAIT_S: f64 = 0.4;

/// Policy to compare.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// All mechanisms: fair queue, routing by load and prefix, shared runs and role planner.
    #[strum(serialize = "ours")]
    Full,
    /// Like `Full`, with a planner that knows the future demand. Its goodput is the reference of
    /// the goodput ratio.
    #[strum(serialize = "clairvoyant")]
    PerfectForecast,
    /// Like `Full`, without a planner; all engines are mixed.
    StaticRoles,
    /// Like `Full`, without a planner; half of the engines prefill and half decode.
    StaticSplit,
    /// Like `Full`, with a first-come-first-served queue.
    Fcfs,
    /// Plain proxy with round robin over the upstreams.
    RoundRobin,
    /// Plain proxy that selects the upstream with the fewest requests in flight.
    LeastOutstanding,
    /// Plain proxy that selects the upstream by a hash of the prompt prefix.
    PrefixHash,
}

/// Result of one combination of deployment, scenario and policy.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Outer name of the deployment.
    pub deployment: Box<str>,
    /// Outer name of the scenario.
    pub scenario: Box<str>,
    /// Outer name of the policy.
    pub policy: Box<str>,
    /// First seed.
    pub seed: u64,
    /// Number of seeds. Each metric is the median over them.
    pub seeds: u64,
    /// Reasons why metrics are null, by field name.
    pub notes: BTreeMap<&'static str, &'static str>,
    /// Medians of the metrics.
    #[serde(flatten)]
    pub metrics: RunMetrics,
    /// Tokens of answers within their deadline, for each second of the run with the first seed.
    #[serde(skip)]
    pub goodput_series: Vec<f64>,
}

/// Set of runs: all combinations of these deployments, scenarios, policies and seeds.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Deployments to run.
    pub deployments: Vec<Deployment>,
    /// Scenarios to run.
    pub scenarios: Vec<Scenario>,
    /// Policies to report. [`Policy::PerfectForecast`] is always run as well.
    pub policies: Vec<Policy>,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
}

impl Experiment {
    /// Runs all combinations. The result does not depend on the number of threads.
    pub fn run(&self, progress: &ProgressBar) -> Vec<Outcome> {
        let mut run_keys = Vec::new();
        for &deployment in &self.deployments {
            for &scenario in &self.scenarios {
                for &policy in &self.policies_to_run() {
                    for seed in self.seed..self.seed + self.seeds {
                        run_keys.push((deployment, scenario, policy, seed));
                    }
                }
            }
        }
        progress.set_length(run_keys.len() as u64);
        let next = AtomicUsize::new(0);
        let results = Mutex::new(BTreeMap::new());
        std::thread::scope(|scope| {
            for _ in 0..THREADS.min(run_keys.len()) {
                scope.spawn(|| {
                    while let Some(&run_key) = run_keys.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let result = run_once(run_key.0, run_key.1, run_key.2, run_key.3);
                        if let Ok(mut results) = results.lock() {
                            results.insert(run_key, result);
                        }
                        progress.inc(1);
                    }
                });
            }
        });
        progress.finish_and_clear();
        let mut runs = results.into_inner().unwrap_or_default();
        set_goodput_ratios(&mut runs);
        self.summarize(&runs)
    }

    /// Returns the requested policies and [`Policy::PerfectForecast`], the reference of the goodput
    /// ratio.
    fn policies_to_run(&self) -> Vec<Policy> {
        let mut policies = self.policies.clone();
        if !policies.contains(&Policy::PerfectForecast) {
            policies.push(Policy::PerfectForecast);
        }
        policies
    }

    fn summarize(&self, runs: &Runs) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for &deployment in &self.deployments {
            for &scenario in &self.scenarios {
                for &policy in &self.policies {
                    let run_of = |seed| runs.get(&(deployment, scenario, policy, seed));
                    let seeds = self.seed..self.seed + self.seeds;
                    let metrics: Vec<_> = seeds.filter_map(run_of).map(|run| &run.0).collect();
                    outcomes.push(Outcome {
                        deployment: deployment.to_string().into(),
                        scenario: scenario.to_string().into(),
                        policy: policy.to_string().into(),
                        seed: self.seed,
                        seeds: self.seeds,
                        notes: null_reasons(scenario),
                        metrics: median_metrics(&metrics),
                        goodput_series: run_of(self.seed)
                            .map(|run| run.1.clone())
                            .unwrap_or_default(),
                    });
                }
            }
        }
        outcomes
    }
}

/// Metrics and goodput series of each run.
type Runs = BTreeMap<(Deployment, Scenario, Policy, u64), (RunMetrics, Vec<f64>)>;

/// Returns the reasons why metrics are null in this scenario, by field name.
fn null_reasons(scenario: Scenario) -> BTreeMap<&'static str, &'static str> {
    let mut notes = BTreeMap::new();
    let usage = "usage counting of nutmegbay_core is not part of this run";
    notes.insert("late_reports", usage);
    notes.insert("wrong_reports", usage);
    if scenario != Scenario::RetryStorm {
        notes.insert("after_storm_ratio", "the scenario has no retry storm");
    }
    notes
}

/// Sets the goodput ratio of each run to the run of [`Policy::PerfectForecast`] with the same seed.
fn set_goodput_ratios(runs: &mut Runs) {
    let perfect_goodput: BTreeMap<_, _> = runs
        .iter()
        .filter(|(key, _)| key.2 == Policy::PerfectForecast)
        .map(|(key, run)| ((key.0, key.1, key.3), run.0.goodput_tokens_per_s))
        .collect();
    for (key, run) in runs {
        run.0.goodput_ratio_to_clairvoyant = perfect_goodput
            .get(&(key.0, key.1, key.3))
            .map(|&perfect_goodput| run.0.goodput_tokens_per_s / perfect_goodput.max(1e-9));
    }
}

/// Returns the median of each metric.
fn median_metrics(runs: &[&RunMetrics]) -> RunMetrics {
    let median = |get: fn(&RunMetrics) -> f64| -> f64 {
        let mut values: Vec<f64> = runs.iter().map(|metrics| get(metrics)).collect();
        values.sort_by(f64::total_cmp);
        let value = match values.len() {
            0 => 0.0,
            n if n % 2 == 1 => values[n / 2],
            n => f64::midpoint(values[n / 2 - 1], values[n / 2]),
        };
        (value * 1e9).round() / 1e9
    };
    let median_if_all = |is_present: fn(&RunMetrics) -> bool, get: fn(&RunMetrics) -> f64| {
        runs.iter()
            .all(|metrics| is_present(metrics))
            .then(|| median(get))
    };
    RunMetrics {
        goodput_tokens_per_s: median(|f| f.goodput_tokens_per_s),
        goodput_ratio_to_clairvoyant: median_if_all(
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
        after_storm_ratio: median_if_all(
            |f| f.after_storm_ratio.is_some(),
            |f| f.after_storm_ratio.unwrap_or_default(),
        ),
        joined: median(|f| f.joined),
        refused: median(|f| f.refused),
        crashes: median(|f| f.crashes),
        given_back: median(|f| f.given_back),
    }
}

/// Runs one policy once and returns its metrics and, for each second, the tokens of answers within
/// their deadline.
pub fn run_once(
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    seed: u64,
) -> (RunMetrics, Vec<f64>) {
    let costs = EngineCosts::default();
    let requests = generate_requests(deployment, scenario, seed, &costs);
    let setup = Setup {
        deployment,
        scenario,
        policy,
        seed,
        requests,
    };
    let settings = plan_settings(deployment);
    let load_router =
        |gateway: u64| LoadRouter::new(seed * 31 + gateway, LoadRouterSettings::default());
    let full = Mechanisms {
        join_and_resume: true,
        max_dispatch_wait_s: Some(MAX_DISPATCH_WAIT_S),
    };
    let plain_proxy = Mechanisms {
        join_and_resume: false,
        max_dispatch_wait_s: None,
    };
    match policy {
        Policy::Full => setup.run(
            load_router,
            FairQueue::default,
            RolePlanner::new(settings),
            full,
        ),
        Policy::PerfectForecast => {
            let planner = PerfectForecast::new(settings, true_demand(&setup.requests));
            setup.run(load_router, FairQueue::default, planner, full)
        }
        Policy::StaticRoles | Policy::StaticSplit => {
            setup.run(load_router, FairQueue::default, StaticRoles, full)
        }
        Policy::Fcfs => setup.run(load_router, Fifo::default, RolePlanner::new(settings), full),
        Policy::RoundRobin => setup.run(
            |_| RoundRobin::default(),
            Fifo::default,
            StaticRoles,
            plain_proxy,
        ),
        Policy::LeastOutstanding => setup.run(
            |_| LeastOutstanding::default(),
            Fifo::default,
            StaticRoles,
            plain_proxy,
        ),
        Policy::PrefixHash => setup.run(|_| PrefixHash, Fifo::default, StaticRoles, plain_proxy),
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
    ) -> (RunMetrics, Vec<f64>) {
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
        let simulation = Simulation::new(
            self.scenario,
            self.requests,
            gateways,
            planner,
            mechanisms,
            &roles,
            self.seed,
        );
        let statistics = simulation.run();
        let metrics = statistics.metrics(self.scenario, &requests, &EngineCosts::default());
        (metrics, statistics.good_tokens_by_second().to_vec())
    }
}

/// Returns planner settings with which the fleet can shrink by a third and grow back to its size.
fn plan_settings(deployment: Deployment) -> PlanSettings {
    PlanSettings {
        role_change_time: Duration::from_secs(8),
        max_concurrent_changes: 4,
        min_upstreams: deployment.engines() * 2 / 3,
        max_upstreams: deployment.engines(),
        efficiency: EngineEfficiency {
            // With chunks of 512 instead of 2,048 tokens and batches of 24 instead of 64 sequences,
            // a mixed engine reaches 0.95 of the prefill rate and 0.56 of the decode rate. With
            // prefill in each step the time between tokens is 71 ms instead of the required 46 ms,
            // so the factors are lower.
            mixed_prefill_factor: 0.8,
            mixed_decode_factor: 0.45,
            max_utilization: 0.9,
        },
        ..PlanSettings::default()
    }
}

/// Returns a function that computes the mean demand over a future duration from the requests.
fn true_demand(requests: &[Request]) -> impl Fn(MonotonicTime, Duration) -> Demand + use<> {
    let costs = EngineCosts::default();
    let mut seconds = vec![Demand::default(); workload::RUN_S as usize + 1];
    for request in requests {
        let work = request.work(&costs);
        let second = &mut seconds[request.sent_at as usize];
        second.prefill += work.prefill;
        second.decode += work.decode;
    }
    move |from, over| {
        let last = seconds.len() - 1;
        let from = (from.0.as_secs() as usize).min(last - 1);
        let to = (from + over.as_secs().max(1) as usize).min(last);
        let n = (to - from) as f64;
        let interval = &seconds[from..to];
        Demand {
            prefill: interval.iter().map(|demand| demand.prefill).sum::<f64>() / n,
            decode: interval.iter().map(|demand| demand.decode).sum::<f64>() / n,
        }
    }
}

/// Writes the HTML report into a folder, which is created if missing, and returns the path of the
/// file.
pub fn write_report(dir: &PathBuf, outcomes: &[Outcome]) -> std::io::Result<PathBuf> {
    std::fs::create_dir_all(dir)?;
    let path = dir.join("policy.html");
    std::fs::write(&path, html::render_page(outcomes))?;
    Ok(path)
}
