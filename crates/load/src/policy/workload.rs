//! Workload of the policy experiments: deployments, scenarios and generated requests.

use nutmegbay_policy::plan::Demand;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::engine::EngineCosts;

/// Length of one run in virtual seconds.
pub const RUN_S: f64 = 600.0;

/// Start of the measured interval in seconds. Before it, caches are empty and estimates are not
/// accurate.
pub const WARM_UP_S: f64 = 60.0;

/// Time between two changes of the workload mix in the scenarios that change it.
pub const MIX_CHANGE_INTERVAL_S: f64 = 150.0;

/// Duration of a change of the workload mix.
const MIX_RAMP_S: f64 = 10.0;

/// Start and end of the fault or flash crowd of a scenario, in seconds.
pub const DISTURBANCE_S: (f64, f64) = (200.0, 290.0);

/// Start and end of the retry storm, in seconds.
pub const RETRY_STORM_S: (f64, f64) = (200.0, 260.0);

/// Tokens in one prefix block.
pub const BLOCK_TOKENS: u32 = 2_048;

/// Index of the account that sends ten times its share in the flash crowd.
pub const CROWD_ACCOUNT: usize = 5;

/// Paid shares of the client accounts, of which a few are large.
pub const ACCOUNT_SHARES: [f64; 8] = [0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03];

/// Deployment as described in `docs/design.md` §1.1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// 14 engines. The two largest accounts send most of the batch work.
    Anthokartes,
    /// 12 engines. All accounts send batch and urgent work in the same ratio.
    Rastrillo,
}

impl Deployment {
    /// Returns the number of engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Anthokartes => 14,
            Self::Rastrillo => 12,
        }
    }

    /// Returns the account's fraction of the batch work, relative to its fraction of all work. In
    /// `Anthokartes` the two largest accounts send the archives, which are most of the batch work.
    /// In `Rastrillo` each account has the same fraction of the batch work (logs) and of the urgent
    /// work (questions).
    fn batch_weight(self, account: usize) -> f64 {
        match (self, account) {
            (Self::Anthokartes, 0 | 1) => 1.4,
            (Self::Anthokartes, _) => 0.5,
            (Self::Rastrillo, _) => 1.0,
        }
    }
}

/// Load and faults of a run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Constant workload mix below capacity.
    Steady,
    /// The prefill fraction alternates between one quarter and three quarters.
    Swing,
    /// One account sends ten times its share.
    FlashCrowd,
    /// More load, while callers wait only a fifth of the usual time before they repeat a request.
    RetryStorm,
    /// Engines crash one after the other while the workload mix changes.
    EngineCrash,
    /// All engines of one failure domain crash.
    DomainLost,
    /// The platform's log is unavailable while the workload mix changes.
    LogOutage,
    /// A request crashes every engine that runs it.
    PoisonRequest,
}

impl Scenario {
    /// Returns the offered work at time `t`, relative to the capacity of the engines in matching
    /// roles.
    fn relative_load(self, t: f64) -> f64 {
        match self {
            Self::DomainLost => 0.6,
            Self::RetryStorm if (RETRY_STORM_S.0..RETRY_STORM_S.1).contains(&t) => 1.2,
            Self::Steady | Self::FlashCrowd | Self::PoisonRequest | Self::RetryStorm => 0.7,
            Self::Swing | Self::EngineCrash | Self::LogOutage => 0.85,
        }
    }

    /// Returns whether the workload mix changes during the run.
    pub fn changes_mix(self) -> bool {
        matches!(self, Self::Swing | Self::EngineCrash | Self::LogOutage)
    }

    /// Returns the number of changes of the workload mix in a run.
    pub fn mix_changes(self) -> u32 {
        if self.changes_mix() {
            (RUN_S / MIX_CHANGE_INTERVAL_S) as u32 - 1
        } else {
            0
        }
    }

    /// Returns the fraction of batch work in all work at time `t`.
    fn batch_fraction(self, t: f64) -> f64 {
        if !self.changes_mix() {
            return 0.5;
        }
        let phase = (t / MIX_CHANGE_INTERVAL_S) as u32;
        let (old, new) = if phase.is_multiple_of(2) {
            (0.1, 0.75)
        } else {
            (0.75, 0.1)
        };
        let ramp_fraction = (t - f64::from(phase) * MIX_CHANGE_INTERVAL_S) / MIX_RAMP_S;
        if phase == 0 {
            new
        } else {
            old + (new - old) * ramp_fraction.min(1.0)
        }
    }

    /// Returns the factor on the patience of callers at time `t`.
    pub fn patience_factor(self, t: f64) -> f64 {
        match self {
            Self::RetryStorm if (RETRY_STORM_S.0..RETRY_STORM_S.1).contains(&t) => 0.2,
            _ => 1.0,
        }
    }
}

/// Request of a caller. Repeated transmissions belong to the same request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Time at which it is first sent, in seconds.
    pub sent_at: f64,
    /// Index of the client account.
    pub account: usize,
    /// Prompt tokens, including the shared blocks.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller requests.
    pub max_tokens: u32,
    /// Number of output tokens that the engine generates.
    pub output_tokens: u32,
    /// Hashes of the full prefix blocks of the prompt.
    pub prefix_blocks: Vec<u64>,
    /// Number of leading prefix blocks that other requests share.
    pub shared_blocks: u32,
    /// Whether it is short and has a higher priority than batch work.
    pub urgent: bool,
    /// Seconds after the first transmission from which the answer is too late.
    pub deadline_s: f64,
    /// Seconds without a first token after which the caller disconnects and sends it again.
    pub patience_s: f64,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
}

impl Request {
    /// Returns its work in engine seconds, on engines in matching roles that have the shared blocks
    /// cached.
    pub fn work(&self, costs: &EngineCosts) -> Demand {
        let uncached = self.prompt_tokens - self.shared_blocks * BLOCK_TOKENS;
        Demand {
            prefill: f64::from(uncached) * costs.prefill_s_per_token,
            decode: f64::from(self.output_tokens) * costs.ideal_decode_s_per_token(),
        }
    }

    /// Returns its contribution to goodput in generated tokens. A prompt token counts as a fifth of
    /// a generated token, which is the ratio of their engine time.
    pub fn goodput_tokens(&self) -> f64 {
        f64::from(self.output_tokens) + 0.2 * f64::from(self.prompt_tokens)
    }
}

/// Generates the requests of a run from a seed, ordered by time.
pub fn generate_requests(
    deployment: Deployment,
    scenario: Scenario,
    seed: u64,
    costs: &EngineCosts,
) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (batch_work, urgent_work) = mean_request_work(costs);
    let engines = deployment.engines() as f64;
    let batch_weights: Vec<f64> = (0..ACCOUNT_SHARES.len())
        .map(|account| ACCOUNT_SHARES[account] * deployment.batch_weight(account))
        .collect();
    let batch_weight_sum: f64 = batch_weights.iter().sum();
    let mut requests = Vec::new();
    let interval_s = 0.1;
    let interval_count = (RUN_S / interval_s) as u32;
    for index in 0..interval_count {
        let t = f64::from(index) * interval_s;
        let work = engines * scenario.relative_load(t) * interval_s;
        let batch = work * scenario.batch_fraction(t);
        let urgent = work - batch;
        for account in 0..ACCOUNT_SHARES.len() {
            let in_flash_crowd = scenario == Scenario::FlashCrowd
                && account == CROWD_ACCOUNT
                && (DISTURBANCE_S.0..DISTURBANCE_S.1).contains(&t);
            let factor = if in_flash_crowd { 10.0 } else { 1.0 };
            let mean_batch_requests =
                factor * batch * batch_weights[account] / batch_weight_sum / batch_work;
            let mean_urgent_requests = factor * urgent * ACCOUNT_SHARES[account] / urgent_work;
            for (mean, is_urgent) in [(mean_batch_requests, false), (mean_urgent_requests, true)] {
                for _ in 0..poisson(&mut rng, mean) {
                    let sent_at = t + rng.random_range(0.0..interval_s);
                    requests.push(generate_request(&mut rng, sent_at, account, is_urgent));
                }
            }
        }
    }
    if scenario == Scenario::PoisonRequest {
        let mut poison = generate_request(&mut rng, DISTURBANCE_S.0, 1, true);
        poison.poison = true;
        requests.push(poison);
    }
    requests.sort_by(|a, b| a.sent_at.total_cmp(&b.sent_at));
    requests
}

/// Returns the mean engine seconds of a batch and of an urgent request, from the ranges in
/// [`generate_request`].
fn mean_request_work(costs: &EngineCosts) -> (f64, f64) {
    let decode = costs.ideal_decode_s_per_token();
    (
        6_000.0 * costs.prefill_s_per_token + 0.75 * 120.0 * decode,
        200.0 * costs.prefill_s_per_token + 0.75 * 300.0 * decode,
    )
}

fn generate_request(rng: &mut ChaCha8Rng, sent_at: f64, account: usize, urgent: bool) -> Request {
    let (shared_blocks, unique_tokens, max_tokens) = if urgent {
        (
            1,
            rng.random_range(100..300),
            rng.random_range(200..400_u32),
        )
    } else {
        (
            3,
            rng.random_range(3_000..9_000_u32),
            rng.random_range(80..160),
        )
    };
    // Batch prompts start with one of three documents of their account. The documents are replaced
    // every minute.
    let document = if urgent {
        u64::MAX
    } else {
        (sent_at / 60.0) as u64 * 3 + rng.random_range(0..3)
    };
    let prompt_tokens = shared_blocks * BLOCK_TOKENS + unique_tokens;
    let id: u64 = rng.random();
    let prefix_blocks = (0..prompt_tokens / BLOCK_TOKENS)
        .map(|index| {
            let source = if index < shared_blocks {
                document ^ ((account as u64) << 32)
            } else {
                id
            };
            split_mix64(source ^ (u64::from(index) << 48))
        })
        .collect();
    let output_tokens = ((f64::from(max_tokens) * rng.random_range(0.5..1.0)) as u32).max(1);
    Request {
        sent_at,
        account,
        prompt_tokens,
        max_tokens,
        output_tokens,
        prefix_blocks,
        shared_blocks,
        urgent,
        // `docs/design.md` §1.2 requires 46 ms between tokens. Two seconds are added for the first
        // token.
        deadline_s: if urgent {
            2.0 + 0.046 * f64::from(max_tokens)
        } else {
            45.0
        },
        patience_s: if urgent { 2.0 } else { 15.0 },
        poison: false,
    }
}

/// Returns a Poisson-distributed number.
fn poisson(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

/// Returns the hash of `x` by the finalizer of `SplitMix64`.
pub fn split_mix64(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
