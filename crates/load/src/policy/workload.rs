//! Workload of the policy experiments: deployments, scenarios and the requests of one seed.

use nutmegbay_policy::plan::Demand;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::engine::Costs;

/// Length of one run in virtual seconds.
pub const RUN_S: f64 = 600.0;

/// Start of the measured part; before it caches and estimates are cold.
pub const WARM_S: f64 = 60.0;

/// Time between two changes of the mix in the swinging scenarios.
pub const SWING_S: f64 = 150.0;

/// Time in which the mix passes from one share to the next.
const RAMP_S: f64 = 10.0;

/// Start and end of the fault or crowd of a scenario.
pub const EVENT_S: (f64, f64) = (200.0, 290.0);

/// Start and end of the retry storm.
pub const STORM_S: (f64, f64) = (200.0, 260.0);

/// Tokens in one piece of the prefix cache.
pub const PIECE: u32 = 2_048;

/// Account that sends ten times its share in the flash crowd.
pub const GREEDY: usize = 5;

/// Paid shares of the client accounts: a few are large.
pub const SHARES: [f64; 8] = [0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03];

/// Deployment of design §1.1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Card workshop: 14 engines.
    Anthokartes,
    /// Club service: 12 engines.
    Rastrillo,
}

impl Deployment {
    /// Number of engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Anthokartes => 14,
            Self::Rastrillo => 12,
        }
    }

    /// Share of batch work of an account relative to its share of all work: the large accounts of
    /// the workshop send the archive, those of the club service send logs and questions alike.
    fn batch_weight(self, account: usize) -> f64 {
        match (self, account) {
            (Self::Anthokartes, 0 | 1) => 1.4,
            (Self::Anthokartes, _) => 0.5,
            (Self::Rastrillo, _) => 1.0,
        }
    }
}

/// What happens in a run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Constant mix below capacity.
    Steady,
    /// The prefill share swings between one and three quarters.
    Swing,
    /// One account sends ten times its share.
    FlashCrowd,
    /// More load while callers lose patience five times as soon.
    RetryStorm,
    /// Engines crash one after the other while the mix swings.
    EngineCrash,
    /// A failure domain is lost.
    DomainLost,
    /// The platform's log is down while the mix swings.
    LogOutage,
    /// A request crashes every engine that runs it.
    PoisonRequest,
}

impl Scenario {
    /// Offered work relative to what the engines carry in fitting roles.
    fn load(self, t: f64) -> f64 {
        match self {
            Self::DomainLost => 0.6,
            Self::RetryStorm if (STORM_S.0..STORM_S.1).contains(&t) => 1.2,
            Self::Steady | Self::FlashCrowd | Self::PoisonRequest | Self::RetryStorm => 0.7,
            Self::Swing | Self::EngineCrash | Self::LogOutage => 0.85,
        }
    }

    /// Whether the mix swings.
    pub fn swings(self) -> bool {
        matches!(self, Self::Swing | Self::EngineCrash | Self::LogOutage)
    }

    /// Number of changes of the mix in a run.
    pub fn mix_changes(self) -> u32 {
        if self.swings() {
            (RUN_S / SWING_S) as u32 - 1
        } else {
            0
        }
    }

    /// Share of batch work in all work.
    fn batch_share(self, t: f64) -> f64 {
        if !self.swings() {
            return 0.5;
        }
        let phase = (t / SWING_S) as u32;
        let (old, new) = if phase.is_multiple_of(2) {
            (0.1, 0.75)
        } else {
            (0.75, 0.1)
        };
        let into = (t - f64::from(phase) * SWING_S) / RAMP_S;
        if phase == 0 {
            new
        } else {
            old + (new - old) * into.min(1.0)
        }
    }

    /// Factor on the patience of callers.
    pub fn patience(self, t: f64) -> f64 {
        match self {
            Self::RetryStorm if (STORM_S.0..STORM_S.1).contains(&t) => 0.2,
            _ => 1.0,
        }
    }
}

/// One request as its caller means it, however often it is sent.
#[derive(Debug, Clone)]
pub struct Request {
    /// Second at which it is sent first.
    pub at: f64,
    /// Client account.
    pub account: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Limit that the caller sets.
    pub max_tokens: u32,
    /// Tokens that the answer has.
    pub output: u32,
    /// Hashes of the full pieces.
    pub pieces: Vec<u64>,
    /// Pieces that other requests share.
    pub shared: u32,
    /// Whether it is short and urgent.
    pub urgent: bool,
    /// Seconds from the first sending after which the answer has no use.
    pub deadline: f64,
    /// Seconds without a first token after which the caller sends it again.
    pub patience: f64,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
}

impl Request {
    /// Engine seconds in fitting roles with the shared pieces cached.
    pub fn work(&self, costs: &Costs) -> Demand {
        let uncached = self.prompt - self.shared * PIECE;
        Demand {
            prefill: f64::from(uncached) * costs.prefill_s,
            decode: f64::from(self.output) * costs.ideal_decode_s(),
        }
    }

    /// Tokens of the answer in units of generated tokens: a prompt token counts a fifth, which is
    /// the ratio of their cost in engine time.
    pub fn tokens(&self) -> f64 {
        f64::from(self.output) + 0.2 * f64::from(self.prompt)
    }
}

/// Draws the requests of a run, ordered by time.
pub fn draw(deployment: Deployment, scenario: Scenario, seed: u64, costs: &Costs) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (batch_work, urgent_work) = mean_work(costs);
    let engines = deployment.engines() as f64;
    let weights: Vec<f64> = (0..SHARES.len())
        .map(|account| SHARES[account] * deployment.batch_weight(account))
        .collect();
    let batch_total: f64 = weights.iter().sum();
    let mut requests = Vec::new();
    let slice = 0.1;
    let slices = (RUN_S / slice) as u32;
    for index in 0..slices {
        let t = f64::from(index) * slice;
        let work = engines * scenario.load(t) * slice;
        let batch = work * scenario.batch_share(t);
        let urgent = work - batch;
        for account in 0..SHARES.len() {
            let crowd = scenario == Scenario::FlashCrowd
                && account == GREEDY
                && (EVENT_S.0..EVENT_S.1).contains(&t);
            let factor = if crowd { 10.0 } else { 1.0 };
            let batch_n = factor * batch * weights[account] / batch_total / batch_work;
            let urgent_n = factor * urgent * SHARES[account] / urgent_work;
            for (mean, is_urgent) in [(batch_n, false), (urgent_n, true)] {
                for _ in 0..poisson(&mut rng, mean) {
                    let at = t + rng.random_range(0.0..slice);
                    requests.push(request(&mut rng, at, account, is_urgent));
                }
            }
        }
    }
    if scenario == Scenario::PoisonRequest {
        let mut poison = request(&mut rng, EVENT_S.0, 1, true);
        poison.poison = true;
        requests.push(poison);
    }
    requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    requests
}

/// Mean engine seconds of a batch and of an urgent request, from the ranges of [`request`].
fn mean_work(costs: &Costs) -> (f64, f64) {
    let decode = costs.ideal_decode_s();
    (
        6_000.0 * costs.prefill_s + 0.75 * 120.0 * decode,
        200.0 * costs.prefill_s + 0.75 * 300.0 * decode,
    )
}

fn request(rng: &mut ChaCha8Rng, at: f64, account: usize, urgent: bool) -> Request {
    let (shared, fresh, max_tokens) = if urgent {
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
    // An archive is worked on for a minute; three are in work at a time.
    let archive = if urgent {
        u64::MAX
    } else {
        (at / 60.0) as u64 * 3 + rng.random_range(0..3)
    };
    let prompt = shared * PIECE + fresh;
    let id: u64 = rng.random();
    let pieces = (0..prompt / PIECE)
        .map(|index| {
            let owner = if index < shared {
                archive ^ ((account as u64) << 32)
            } else {
                id
            };
            hash(owner ^ (u64::from(index) << 48))
        })
        .collect();
    let output = ((f64::from(max_tokens) * rng.random_range(0.5..1.0)) as u32).max(1);
    Request {
        at,
        account,
        prompt,
        max_tokens,
        output,
        pieces,
        shared,
        urgent,
        // Design §1.2 asks for 46 ms between tokens; two seconds are left for the first one.
        deadline: if urgent {
            2.0 + 0.046 * f64::from(max_tokens)
        } else {
            45.0
        },
        patience: if urgent { 2.0 } else { 15.0 },
        poison: false,
    }
}

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

/// Finalizer of `SplitMix64`.
pub fn hash(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
