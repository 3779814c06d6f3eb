//! Statistics of a simulated run and the metrics derived from them.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::engine::EngineCosts;
use super::workload::{
    ACCOUNT_SHARES, DISTURBANCE_S, RETRY_STORM_S, RUN_S, Request, Scenario, WARM_UP_S,
};

/// End of the measured interval. Later requests may not be answered before the run ends.
const MEASUREMENT_END_S: f64 = RUN_S - 45.0;

/// Time after the retry storm from which goodput must have recovered.
const STORM_RECOVERY_S: f64 = 30.0;

/// Statistics recorded during one run.
#[derive(Debug)]
pub struct RunStatistics {
    pub(super) joined: u64,
    pub(super) refused: u64,
    pub(super) crashes: u64,
    pub(super) ordered_upstreams: u64,
    pub(super) removed_upstreams: u64,
    /// Whether each request was completed, within its deadline or late.
    completed: Vec<bool>,
    within_deadline: Vec<bool>,
    first_sent_at: Vec<f64>,
    /// Work of all runs and of the largest run of each request, in engine seconds.
    total_and_largest_work: Vec<(f64, f64)>,
    good_tokens_by_second: Vec<f64>,
    /// Times of the role changes of each engine.
    role_changes_by_engine: Vec<Vec<f64>>,
    /// Sum of the times at which engines ended. Less `engine_start_sum_s` it is the running time.
    engine_end_sum_s: f64,
    engine_start_sum_s: f64,
    first_token_us: Histogram<u64>,
    token_gap_us: Histogram<u64>,
}

/// Metrics of one run, with the field names of the JSON report.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunMetrics {
    /// Generated tokens plus a fifth of the prompt tokens of the answers within their deadline, per
    /// second of the measured interval.
    pub goodput_tokens_per_s: f64,
    /// Goodput relative to that of the planner with a perfect forecast and the same seed. `None`
    /// until the results of the runs are compared.
    pub goodput_ratio_to_clairvoyant: Option<f64>,
    /// Fraction of requests that are answered within their deadline.
    pub deadline_met_share: f64,
    /// Number of role changes ordered.
    pub role_changes: f64,
    /// Maximum number of role changes of one engine between two changes of the mix.
    pub role_changes_per_engine_and_mix: f64,
    /// Minimum over the accounts of the service received, relative to the fair share.
    pub worst_account_share: f64,
    /// Sum of the running times of the upstreams in seconds.
    pub upstream_seconds: f64,
    /// Upstream seconds per good token.
    pub cost_per_good_token: f64,
    /// Number of late usage reports; `None` in runs that do not count usage.
    pub late_reports: Option<f64>,
    /// Number of wrong usage reports; `None` in runs that do not count usage.
    pub wrong_reports: Option<f64>,
    /// 95th percentile of the time from first sending a request to its first token, in seconds.
    pub ttft_p95_s: f64,
    /// 95th percentile of the time between tokens, in seconds.
    pub itl_p95_s: f64,
    /// Fraction of all engine work that is not part of the largest run of its request.
    pub duplicated_work_share: f64,
    /// Goodput from 30 s after the retry storm relative to that before it; `None` in other
    /// scenarios.
    pub after_storm_ratio: Option<f64>,
    /// Number of calls that joined a run in progress.
    pub joined: f64,
    /// Number of calls that were refused.
    pub refused: f64,
    /// Number of engine crashes.
    pub crashes: f64,
    /// Number of upstreams removed by order of the planner.
    pub given_back: f64,
}

impl RunStatistics {
    pub(super) fn new(requests: &[Request]) -> Self {
        let n = requests.len();
        let histogram =
            || Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!());
        Self {
            joined: 0,
            refused: 0,
            crashes: 0,
            ordered_upstreams: 0,
            removed_upstreams: 0,
            completed: vec![false; n],
            within_deadline: vec![false; n],
            first_sent_at: requests.iter().map(|request| request.sent_at).collect(),
            total_and_largest_work: vec![(0.0, 0.0); n],
            good_tokens_by_second: vec![0.0; RUN_S as usize + 1],
            role_changes_by_engine: Vec::new(),
            engine_end_sum_s: 0.0,
            engine_start_sum_s: 0.0,
            first_token_us: histogram(),
            token_gap_us: histogram(),
        }
    }

    pub(super) fn is_completed(&self, req: usize) -> bool {
        self.completed[req]
    }

    /// Records a completed answer. Its tokens count if it is the first one and within the deadline.
    pub(super) fn record_completion(&mut self, req: usize, request: &Request, now: f64) {
        if std::mem::replace(&mut self.completed[req], true)
            || now > request.sent_at + request.deadline_s
        {
            return;
        }
        self.within_deadline[req] = true;
        self.good_tokens_by_second[now as usize] += request.goodput_tokens();
    }

    pub(super) fn record_first_token(&mut self, req: usize, now: f64) {
        let us = ((now - self.first_sent_at[req]) * 1e6) as u64;
        self.first_token_us.saturating_record(us);
    }

    pub(super) fn record_token_gap(&mut self, seconds: f64) {
        self.token_gap_us.saturating_record((seconds * 1e6) as u64);
    }

    pub(super) fn record_run_work(&mut self, req: usize, work: f64) {
        let (total, largest) = &mut self.total_and_largest_work[req];
        *total += work;
        *largest = largest.max(work);
    }

    pub(super) fn record_role_change(&mut self, engine: usize, now: f64) {
        if self.role_changes_by_engine.len() <= engine {
            self.role_changes_by_engine.resize(engine + 1, Vec::new());
        }
        self.role_changes_by_engine[engine].push(now);
    }

    pub(super) fn record_engine_start(&mut self, now: f64) {
        self.engine_start_sum_s += now;
    }

    pub(super) fn record_engine_end(&mut self, was_running: bool, now: f64) {
        if was_running {
            self.engine_end_sum_s += now;
        }
    }

    /// Returns the tokens of answers within their deadline, by second of their completion.
    pub fn good_tokens_by_second(&self) -> &[f64] {
        &self.good_tokens_by_second
    }

    /// Returns the metrics of the run. The goodput ratio is still `None`.
    pub fn metrics(
        &self,
        scenario: Scenario,
        requests: &[Request],
        costs: &EngineCosts,
    ) -> RunMetrics {
        let measured = WARM_UP_S as usize..MEASUREMENT_END_S as usize;
        let tokens: f64 = self.good_tokens_by_second[measured.clone()].iter().sum();
        let goodput = tokens / measured.len() as f64;
        let upstream_seconds = self.engine_end_sum_s - self.engine_start_sum_s;
        let all_tokens: f64 = self.good_tokens_by_second.iter().sum();
        let (total, largest) = self
            .total_and_largest_work
            .iter()
            .fold((0.0, 0.0), |sum, work| (sum.0 + work.0, sum.1 + work.1));
        let is_measured =
            |request: &Request| (WARM_UP_S..MEASUREMENT_END_S).contains(&request.sent_at);
        let all = requests.iter().filter(|r| is_measured(r)).count();
        let good = requests
            .iter()
            .zip(&self.within_deadline)
            .filter(|&(request, &good)| good && is_measured(request))
            .count();
        RunMetrics {
            goodput_tokens_per_s: goodput,
            goodput_ratio_to_clairvoyant: None,
            deadline_met_share: good as f64 / all.max(1) as f64,
            role_changes: self
                .role_changes_by_engine
                .iter()
                .map(Vec::len)
                .sum::<usize>() as f64,
            role_changes_per_engine_and_mix: self.max_role_changes_per_mix(scenario),
            worst_account_share: self.lowest_account_share(scenario, requests, costs),
            upstream_seconds,
            cost_per_good_token: upstream_seconds / all_tokens.max(1.0),
            late_reports: None,
            wrong_reports: None,
            ttft_p95_s: self.first_token_us.value_at_quantile(0.95) as f64 / 1e6,
            itl_p95_s: self.token_gap_us.value_at_quantile(0.95) as f64 / 1e6,
            duplicated_work_share: (total - largest) / total.max(1e-9),
            after_storm_ratio: (scenario == Scenario::RetryStorm)
                .then(|| self.storm_recovery_ratio()),
            joined: self.joined as f64,
            refused: self.refused as f64,
            crashes: self.crashes as f64,
            given_back: self.removed_upstreams as f64,
        }
    }

    /// Returns the mean goodput per second between two times.
    fn mean_goodput(&self, from: f64, to: f64) -> f64 {
        let interval = &self.good_tokens_by_second[from as usize..to as usize];
        interval.iter().sum::<f64>() / interval.len() as f64
    }

    fn storm_recovery_ratio(&self) -> f64 {
        let recovered = RETRY_STORM_S.1 + STORM_RECOVERY_S;
        self.mean_goodput(recovered, recovered + 100.0)
            / self
                .mean_goodput(RETRY_STORM_S.0 - 100.0, RETRY_STORM_S.0)
                .max(1.0)
    }

    fn max_role_changes_per_mix(&self, scenario: Scenario) -> f64 {
        let phase = |at: f64| {
            if scenario.changes_mix() {
                (at / super::workload::MIX_CHANGE_INTERVAL_S) as u32
            } else {
                0
            }
        };
        let largest = self.role_changes_by_engine.iter().flat_map(|times| {
            times.iter().map(|&at| {
                times
                    .iter()
                    .filter(|&&other| phase(other) == phase(at))
                    .count()
            })
        });
        largest.max().unwrap_or(0) as f64
    }

    /// Returns the minimum over the accounts of the service received, relative to the fair share.
    /// The fair share is the weighted max-min fair part of all service delivered, and at most what
    /// the account demanded.
    fn lowest_account_share(
        &self,
        scenario: Scenario,
        requests: &[Request],
        costs: &EngineCosts,
    ) -> f64 {
        let (from, to) = match scenario {
            Scenario::FlashCrowd => DISTURBANCE_S,
            _ => (WARM_UP_S, MEASUREMENT_END_S),
        };
        let mut demanded = [0.0; ACCOUNT_SHARES.len()];
        let mut served = [0.0; ACCOUNT_SHARES.len()];
        for (request, &good) in requests.iter().zip(&self.within_deadline) {
            if (from..to).contains(&request.sent_at) && !request.poison {
                let work = request.work(costs).total();
                demanded[request.account] += work;
                served[request.account] += if good { work } else { 0.0 };
            }
        }
        let fair = max_min_fair_shares(&demanded, served.iter().sum());
        served
            .iter()
            .zip(&fair)
            .filter(|&(_, &fair)| fair > 0.0)
            .map(|(served, fair)| served / fair)
            .fold(f64::INFINITY, f64::min)
    }
}

/// Returns the weighted max-min fair division of `total` among accounts with these demands.
fn max_min_fair_shares(
    demanded: &[f64; ACCOUNT_SHARES.len()],
    total: f64,
) -> [f64; ACCOUNT_SHARES.len()] {
    let mut allocated = [0.0; ACCOUNT_SHARES.len()];
    let mut remaining = total;
    let mut unsatisfied: Vec<usize> = (0..ACCOUNT_SHARES.len()).collect();
    while !unsatisfied.is_empty() {
        let shares: f64 = unsatisfied
            .iter()
            .map(|&account| ACCOUNT_SHARES[account])
            .sum();
        let fair_part = |account: usize| remaining * ACCOUNT_SHARES[account] / shares;
        let (satisfied, limited): (Vec<_>, Vec<_>) = unsatisfied
            .iter()
            .partition(|&&account| demanded[account] <= fair_part(account));
        if satisfied.is_empty() {
            for &account in &limited {
                allocated[account] = fair_part(account);
            }
            break;
        }
        for &account in &satisfied {
            allocated[account] = demanded[account];
        }
        remaining = total - allocated.iter().sum::<f64>();
        unsatisfied = limited;
    }
    allocated
}
