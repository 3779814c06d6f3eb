//! What is counted in a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::engine::Costs;
use super::workload::{EVENT_S, RUN_S, Request, SHARES, STORM_S, Scenario, WARM_S};

/// End of the measured part: later requests may not be answered before the run ends.
const MEASURED_UNTIL_S: f64 = RUN_S - 45.0;

/// Seconds after the storm from which goodput is to be back.
const RECOVERY_S: f64 = 30.0;

/// Counts of one run.
#[derive(Debug)]
pub struct Tally {
    pub(super) joined: u64,
    pub(super) refused: u64,
    pub(super) crashes: u64,
    pub(super) ordered: u64,
    pub(super) given_back: u64,
    done: Vec<bool>,
    good: Vec<bool>,
    starts: Vec<f64>,
    work: Vec<(f64, f64)>,
    buckets: Vec<f64>,
    changes: Vec<Vec<f64>>,
    engine_seconds: f64,
    engines_started: f64,
    first_token_us: Histogram<u64>,
    gap_us: Histogram<u64>,
}

/// Figures of one run, named as in the JSON report.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Generated tokens plus a fifth of the prompt tokens of answers within their deadline.
    pub goodput_tokens_per_s: f64,
    /// Relative to the clairvoyant planner with the same seed; none before that is known.
    pub goodput_ratio_to_clairvoyant: Option<f64>,
    /// Share of requests answered within their deadline.
    pub deadline_met_share: f64,
    /// Role changes ordered.
    pub role_changes: f64,
    /// Most role changes of one engine between two changes of the mix.
    pub role_changes_per_engine_and_mix: f64,
    /// Smallest service over fair share of an account.
    pub worst_account_share: f64,
    /// Seconds of running upstreams.
    pub upstream_seconds: f64,
    /// Upstream seconds per good token.
    pub cost_per_good_token: f64,
    /// Late usage reports; none where usage is not counted.
    pub late_reports: Option<f64>,
    /// Wrong usage reports; none where usage is not counted.
    pub wrong_reports: Option<f64>,
    /// Time to the first token from the first sending.
    pub ttft_p95_s: f64,
    /// Time between tokens.
    pub itl_p95_s: f64,
    /// Engine work beyond the largest run of each request, in all work.
    pub duplicated_work_share: f64,
    /// Goodput from 30 s after the storm relative to that before it; none in other scenarios.
    pub after_storm_ratio: Option<f64>,
    /// Sendings that joined a run in flight.
    pub joined: f64,
    /// Sendings that were refused.
    pub refused: f64,
    /// Engine crashes.
    pub crashes: f64,
    /// Upstreams given back.
    pub given_back: f64,
}

impl Tally {
    pub(super) fn new(requests: &[Request]) -> Self {
        let n = requests.len();
        let histogram =
            || Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!());
        Self {
            joined: 0,
            refused: 0,
            crashes: 0,
            ordered: 0,
            given_back: 0,
            done: vec![false; n],
            good: vec![false; n],
            starts: requests.iter().map(|request| request.at).collect(),
            work: vec![(0.0, 0.0); n],
            buckets: vec![0.0; RUN_S as usize + 1],
            changes: Vec::new(),
            engine_seconds: 0.0,
            engines_started: 0.0,
            first_token_us: histogram(),
            gap_us: histogram(),
        }
    }

    pub(super) fn is_done(&self, req: usize) -> bool {
        self.done[req]
    }

    pub(super) fn complete(&mut self, req: usize, request: &Request, now: f64) {
        if std::mem::replace(&mut self.done[req], true) || now > request.at + request.deadline {
            return;
        }
        self.good[req] = true;
        self.buckets[now as usize] += request.tokens();
    }

    pub(super) fn first_token(&mut self, req: usize, now: f64) {
        let us = ((now - self.starts[req]) * 1e6) as u64;
        self.first_token_us.saturating_record(us);
    }

    pub(super) fn gap(&mut self, seconds: f64) {
        self.gap_us.saturating_record((seconds * 1e6) as u64);
    }

    pub(super) fn run_work(&mut self, req: usize, work: f64) {
        let (total, most) = &mut self.work[req];
        *total += work;
        *most = most.max(work);
    }

    pub(super) fn role_change(&mut self, engine: usize, now: f64) {
        if self.changes.len() <= engine {
            self.changes.resize(engine + 1, Vec::new());
        }
        self.changes[engine].push(now);
    }

    pub(super) fn engine_starts(&mut self, now: f64) {
        self.engines_started += now;
    }

    pub(super) fn engine_ends(&mut self, ran: bool, now: f64) {
        if ran {
            self.engine_seconds += now;
        }
    }

    /// Good tokens in each second.
    pub fn good_tokens(&self) -> &[f64] {
        &self.buckets
    }

    /// Figures of the run.
    pub fn figures(&self, scenario: Scenario, requests: &[Request], costs: &Costs) -> Figures {
        let measured = WARM_S as usize..MEASURED_UNTIL_S as usize;
        let tokens: f64 = self.buckets[measured.clone()].iter().sum();
        let goodput = tokens / measured.len() as f64;
        let upstream_seconds = self.engine_seconds - self.engines_started;
        let all_tokens: f64 = self.buckets.iter().sum();
        let (total, most) = self
            .work
            .iter()
            .fold((0.0, 0.0), |sum, work| (sum.0 + work.0, sum.1 + work.1));
        let counted = |request: &Request| (WARM_S..MEASURED_UNTIL_S).contains(&request.at);
        let all = requests.iter().filter(|r| counted(r)).count();
        let good = requests
            .iter()
            .zip(&self.good)
            .filter(|&(request, &good)| good && counted(request))
            .count();
        Figures {
            goodput_tokens_per_s: goodput,
            goodput_ratio_to_clairvoyant: None,
            deadline_met_share: good as f64 / all.max(1) as f64,
            role_changes: self.changes.iter().map(Vec::len).sum::<usize>() as f64,
            role_changes_per_engine_and_mix: self.changes_per_mix(scenario),
            worst_account_share: self.worst_account(scenario, requests, costs),
            upstream_seconds,
            cost_per_good_token: upstream_seconds / all_tokens.max(1.0),
            late_reports: None,
            wrong_reports: None,
            ttft_p95_s: self.first_token_us.value_at_quantile(0.95) as f64 / 1e6,
            itl_p95_s: self.gap_us.value_at_quantile(0.95) as f64 / 1e6,
            duplicated_work_share: (total - most) / total.max(1e-9),
            after_storm_ratio: (scenario == Scenario::RetryStorm).then(|| self.after_storm()),
            joined: self.joined as f64,
            refused: self.refused as f64,
            crashes: self.crashes as f64,
            given_back: self.given_back as f64,
        }
    }

    fn mean(&self, from: f64, to: f64) -> f64 {
        let part = &self.buckets[from as usize..to as usize];
        part.iter().sum::<f64>() / part.len() as f64
    }

    fn after_storm(&self) -> f64 {
        let back = STORM_S.1 + RECOVERY_S;
        self.mean(back, back + 100.0) / self.mean(STORM_S.0 - 100.0, STORM_S.0).max(1.0)
    }

    fn changes_per_mix(&self, scenario: Scenario) -> f64 {
        let phase = |at: f64| {
            if scenario.swings() {
                (at / super::workload::SWING_S) as u32
            } else {
                0
            }
        };
        let most = self.changes.iter().flat_map(|times| {
            times.iter().map(|&at| {
                times
                    .iter()
                    .filter(|&&other| phase(other) == phase(at))
                    .count()
            })
        });
        most.max().unwrap_or(0) as f64
    }

    /// Smallest service of an account over its fair share: what weighted max-min fairness gives it
    /// of the service delivered in all, and no more than it asked for.
    fn worst_account(&self, scenario: Scenario, requests: &[Request], costs: &Costs) -> f64 {
        let (from, to) = match scenario {
            Scenario::FlashCrowd => EVENT_S,
            _ => (WARM_S, MEASURED_UNTIL_S),
        };
        let mut asked = [0.0; SHARES.len()];
        let mut served = [0.0; SHARES.len()];
        for (request, &good) in requests.iter().zip(&self.good) {
            if (from..to).contains(&request.at) && !request.poison {
                let work = request.work(costs).total();
                asked[request.account] += work;
                served[request.account] += if good { work } else { 0.0 };
            }
        }
        let fair = max_min(&asked, served.iter().sum());
        served
            .iter()
            .zip(&fair)
            .filter(|&(_, &fair)| fair > 0.0)
            .map(|(served, fair)| served / fair)
            .fold(f64::INFINITY, f64::min)
    }
}

/// Weighted max-min fair division of `total` over what the accounts ask for.
fn max_min(asked: &[f64; SHARES.len()], total: f64) -> [f64; SHARES.len()] {
    let mut given = [0.0; SHARES.len()];
    let mut left = total;
    let mut open: Vec<usize> = (0..SHARES.len()).collect();
    while !open.is_empty() {
        let shares: f64 = open.iter().map(|&account| SHARES[account]).sum();
        let part = |account: usize| left * SHARES[account] / shares;
        let (full, short): (Vec<_>, Vec<_>) = open
            .iter()
            .partition(|&&account| asked[account] <= part(account));
        if full.is_empty() {
            for &account in &short {
                given[account] = part(account);
            }
            break;
        }
        for &account in &full {
            given[account] = asked[account];
        }
        left = total - given.iter().sum::<f64>();
        open = short;
    }
    given
}
