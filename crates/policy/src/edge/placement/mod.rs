//! Placement: chooses the engine or engines that run a request.
//!
//! Load pattern: long prompts with short answers and short prompts with long answers, in a mix that
//! swings within seconds. Long prompts are dominated by prefill, which prefill engines do at twice
//! the rate of decode engines; a split between the two adds a call and a transfer. Each request
//! goes where its first token is predicted soonest.
//!
//! A decode engine that prefills a prompt inserts a piece of it between any two tokens of its
//! streams, which makes those several times slower. Long streams are therefore consolidated on as
//! few decode engines as have the slots for them, here called stream hosts, and prompts are
//! prefilled on the others.

mod plain;

use super::engine_view::EngineSpeed;
use super::even_load::{KnownWork, Scored, Spread};
use super::software_versions::VersionTag;
use crate::UpstreamKey;

pub use plain::{PlainUpstream, place_plain};

/// Prefill rate of a decode engine as a fraction of a prefill engine's rate.
const DECODE_PREFILL_RATE: f64 = 0.5;

/// Bounds of the weight of a cache miss. It multiplies the time in which an engine prefills shared
/// blocks that another one holds, on top of the delay of the request itself. That time is lost to
/// all requests that arrive while the engine's queue lasts: little where engines are idle, several
/// times the prefill in a burst.
const MISS_WEIGHT: (f64, f64) = (1.0, 6.0);

/// Backlog of the median engine at which the weight of a cache miss is 1, in mean costs of a
/// request.
const MISS_BACKLOG: f64 = 0.5;

/// Time that a split adds beside the transfer, in milliseconds: a second call over the same network
/// path.
const SPLIT_OVERHEAD_MS: f64 = 3.0;

/// Penalty of an upstream in another failure domain, in milliseconds. It stands for the cost of the
/// transferred bytes.
const OTHER_DOMAIN_PENALTY_MS: f64 = 2.0;

/// Factor on the time of a transfer between failure domains.
const OTHER_DOMAIN_TRANSFER_FACTOR: f64 = 2.0;

/// Penalty of an upstream that fails all of its requests, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 400.0;

/// Penalty of an engine that states a limit and whose share is used up, in mean costs of a request.
/// Requests that gain little there leave it to those that gain more.
const LIMIT_PENALTY: f64 = 1.0;

/// Fraction of a decode engine's slots that can be taken before a new stream is expected to wait.
const UNCONTENDED_SLOT_FRACTION: f64 = 0.8;

/// Fraction of the slots of the stream hosts that long streams fill before one more engine becomes
/// a stream host.
const STREAM_HOST_FILL_FRACTION: f64 = 0.7;

/// Penalty of an engine that is no stream host for a long stream, in mean costs of a request.
/// Prefills on that engine would make the stream late.
const NON_HOST_PENALTY: f64 = 4.0;

/// Fraction of a prefill's time by which it delays each long stream on the same engine. The delay
/// is added to the score of the request that is prefilled.
const STREAM_DELAY_FRACTION: f64 = 0.5;

/// Penalty of a stream host for a prefill, in milliseconds. It exceeds any wait that is admitted,
/// so a stream host prefills only where no other engine is left.
const STREAM_HOST_PREFILL_PENALTY_MS: f64 = 5_000.0;

/// Fraction of a decode engine's prefill backlog by which the tokens of a split request are late.
const BACKLOG_DELAY_FRACTION: f64 = 0.5;

/// Penalty of an engine for a long stream, per taken fraction of its slots, in mean costs of a
/// request. Tokens come more slowly the more requests run.
const BATCH_PENALTY: f64 = 2.0;

/// Fraction of a stream host's slots up to which long streams leave room for short answers, and the
/// penalty for these per fraction beyond it, in mean costs of a request. Short answers are often more
/// urgent than the streams, which are interrupted for them when no slot is free.
const SHARED_HOST_FRACTION: f64 = 0.5;
const SHARED_HOST_PENALTY: f64 = 4.0;

/// Penalty of an engine for a long stream, per multiple of the typical time of a step, in mean costs
/// of a request. The longer a step takes, the less time is left for what comes between two events.
const STEP_PENALTY: f64 = 2.0;

/// Wait for a slot of an engine, per request beyond its uncontended slots, in mean costs of a
/// request.
const SLOT_WAIT: f64 = 1.0;

/// Phase of serving that an engine is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnginePhase {
    /// Prefills prompts for decode engines.
    Prefill,
    /// Decodes, and prefills prompts at half the rate.
    Decode,
}

/// State of one engine, as input of the placement.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Phase that it is meant for.
    pub phase: EnginePhase,
    /// Version of its software. An engine decodes only from prefills of its own version.
    pub version: VersionTag,
    /// Failure domain, as a number that is only compared.
    pub domain: u32,
    /// Work ahead of the request, in milliseconds.
    pub backlog_ms: f64,
    /// Work that other instances have probably sent since the figures behind `backlog_ms`, in
    /// milliseconds.
    pub unseen_ms: f64,
    /// Speed, compared with the typical engine of the service.
    pub speed: EngineSpeed,
    /// Requests at the engine.
    pub requests: f64,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Fraction of the request's shared blocks that it is expected to hold, 0 to 1.
    pub cached_fraction: f64,
    /// Whether long streams are consolidated on it.
    pub is_stream_host: bool,
    /// Long streams that run on it.
    pub streams: u32,
    /// Fraction of recent requests that failed there, 0 to 1.
    pub failure_rate: f64,
    /// Fraction of this instance's share of the engine's limit that is used up, 0 to 1. 0 if the
    /// engine states no limit.
    pub limit_use: f64,
}

/// Model request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest {
    /// Tokens of its shared prefix blocks.
    pub shared_tokens: u32,
    /// Tokens of its prompt after the shared blocks.
    pub suffix_tokens: u32,
    /// Failure domain of the instance that sends it.
    pub domain: u32,
    /// Whether its answer is a long stream.
    pub is_long: bool,
}

/// Times from which the cost of a placement is estimated.
#[derive(Debug, Clone, Copy)]
pub struct CostEstimates {
    /// Fixed time of a run beside the prefill, in milliseconds. It takes no engine time from other
    /// requests.
    pub fixed_ms: f64,
    /// Time in which a prefill engine prefills one token, in milliseconds.
    pub prefill_token_ms: f64,
    /// Time in which one token is transferred between engines of one failure domain, in
    /// milliseconds.
    pub transfer_token_ms: f64,
    /// Time until the request is sent, in milliseconds: the queue of the instance's own link and
    /// the request's time on that link.
    pub send_ms: f64,
    /// Time of a second send of the request on that link, in milliseconds.
    pub resend_ms: f64,
    /// Mean engine time of a request that is prefilled, in milliseconds.
    pub request_ms: f64,
    /// Mean lateness of the first results of recent whole requests, in milliseconds. It is the
    /// difference to the sum of the other estimates.
    pub whole_lateness_ms: f64,
    /// Mean lateness of the first results of recent split requests, in milliseconds.
    pub split_lateness_ms: f64,
}

/// Chosen engines of a request, with the predicted time to its first token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// The whole request on one decode engine.
    Whole {
        /// Decode engine.
        at: UpstreamKey,
        /// Time of the prefill, in milliseconds.
        cost_ms: f64,
        /// Time to the first token, in milliseconds.
        first_result_ms: f64,
    },
    /// Prefill on a prefill engine, then decode on a decode engine.
    Split {
        /// Prefill engine.
        prefill: UpstreamKey,
        /// Decode engine.
        decode: UpstreamKey,
        /// Time of the prefill, in milliseconds.
        cost_ms: f64,
        /// Time of the transfer between the engines, in milliseconds.
        transfer_ms: f64,
        /// Time to the first token, in milliseconds.
        first_result_ms: f64,
    },
}

impl Placement {
    /// Time of the prefill, in milliseconds.
    pub fn cost_ms(&self) -> f64 {
        match *self {
            Self::Whole { cost_ms, .. } | Self::Split { cost_ms, .. } => cost_ms,
        }
    }

    /// Time to the first token, in milliseconds.
    pub fn first_result_ms(&self) -> f64 {
        match *self {
            Self::Whole {
                first_result_ms, ..
            }
            | Self::Split {
                first_result_ms, ..
            } => first_result_ms,
        }
    }
}

/// Chooses the placement with the lowest score among `engines`. Returns `None` if there is no
/// decode engine.
pub fn place(
    engines: &[Engine],
    request: PlacementRequest,
    estimates: CostEstimates,
) -> Option<Placement> {
    Choice::new(engines, request, estimates, None).place()
}

/// Like [`place`], for many instances that choose at the same moment on figures that are a little
/// old: one of several engines that the age of the figures makes equal is drawn.
pub fn place_evenly(
    engines: &[Engine],
    request: PlacementRequest,
    estimates: CostEstimates,
    spread: Spread,
) -> Option<Placement> {
    Choice::new(engines, request, estimates, Some(spread)).place()
}

/// Returns the known work at each engine, in the order of `engines`. `others_ms` is the part of the
/// work ahead that other instances have sent, in milliseconds.
pub fn known_work(
    engines: &[Engine],
    others_ms: &[f64],
    request: PlacementRequest,
    estimates: CostEstimates,
) -> Vec<KnownWork> {
    let requests = TypicalRequest::new(engines, estimates);
    let weight = miss_weight(engines, estimates);
    let known = |(engine, others_ms): (&Engine, &f64)| {
        let unheld = Engine {
            cached_fraction: 0.0,
            ..*engine
        };
        let cost_ms = prefill_ms(&unheld, request, estimates);
        let phase_ms = match engine.phase {
            EnginePhase::Prefill => estimates.resend_ms + SPLIT_OVERHEAD_MS,
            EnginePhase::Decode => stream_penalty_ms(engine, request, estimates, cost_ms),
        };
        KnownWork {
            score_ms: cost_ms
                + lost_ms(&unheld, request, estimates) * weight
                + wait_ms(engine, estimates)
                + engine.failure_rate * FAILURE_PENALTY_MS
                + limit_penalty_ms(engine, estimates)
                + phase_ms,
            others_ms: others_ms.min(engine.backlog_ms),
            request_ms: requests.ms(engine, estimates),
        }
    };
    engines.iter().zip(others_ms).map(known).collect()
}

/// Time of a request of mean cost at each engine.
#[derive(Debug, Clone, Copy)]
struct TypicalRequest {
    /// Mean time in which the engines prefill a token, in milliseconds.
    mean_token_ms: f64,
}

impl TypicalRequest {
    fn new(engines: &[Engine], estimates: CostEstimates) -> Self {
        let sum: f64 = engines
            .iter()
            .map(|engine| token_ms(engine, estimates))
            .sum();
        Self {
            mean_token_ms: (sum / engines.len().max(1) as f64).max(f64::MIN_POSITIVE),
        }
    }

    fn ms(self, engine: &Engine, estimates: CostEstimates) -> f64 {
        estimates.request_ms * token_ms(engine, estimates) / self.mean_token_ms
    }
}

/// Choice of the engines of one request.
struct Choice<'a> {
    engines: &'a [Engine],
    request: PlacementRequest,
    estimates: CostEstimates,
    /// How nearly equal engines are chosen, or `None` if the load of each engine is certain.
    spread: Option<Spread>,
    /// Weight of a cache miss.
    miss_weight: f64,
    requests: TypicalRequest,
}

impl<'a> Choice<'a> {
    fn new(
        engines: &'a [Engine],
        request: PlacementRequest,
        estimates: CostEstimates,
        spread: Option<Spread>,
    ) -> Self {
        Self {
            engines,
            request,
            estimates,
            spread,
            miss_weight: miss_weight(engines, estimates),
            requests: TypicalRequest::new(engines, estimates),
        }
    }

    fn place(&self) -> Option<Placement> {
        let Self {
            engines,
            request,
            estimates,
            ..
        } = *self;
        let candidates = engines
            .iter()
            .filter(|engine| engine.phase == EnginePhase::Decode)
            .map(|engine| {
                let cost_ms = prefill_ms(engine, request, estimates);
                let first_result_ms = estimates.send_ms
                    + estimates.fixed_ms
                    + cost_ms
                    + wait_ms(engine, estimates)
                    + penalty_ms(engine, request.domain)
                    + estimates.whole_lateness_ms;
                let score_ms = first_result_ms
                    + limit_penalty_ms(engine, estimates)
                    + stream_penalty_ms(engine, request, estimates, cost_ms)
                    + lost_ms(engine, request, estimates) * self.miss_weight;
                (engine, (cost_ms, first_result_ms), score_ms)
            });
        let (at, (cost_ms, first_result_ms), score_ms) = self.choose(candidates)?;
        let whole = Placement::Whole {
            at: at.key,
            cost_ms,
            first_result_ms,
        };
        let mut versions: Vec<_> = prefill_engines(engines)
            .map(|engine| engine.version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        let split = versions
            .into_iter()
            .filter_map(|version| self.best_split(version))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        match split {
            Some((split, split_ms)) if split_ms < score_ms => Some(split),
            _ => Some(whole),
        }
    }

    /// Chooses the prefill engine with the lowest score among those of `version`, and a decode
    /// engine for it. Returns the placement and its score, in milliseconds.
    fn best_split(&self, version: VersionTag) -> Option<(Placement, f64)> {
        let Self {
            request, estimates, ..
        } = *self;
        let candidates = prefill_engines(self.engines)
            .filter(|engine| engine.version == version)
            .map(|engine| {
                let cost_ms = prefill_ms(engine, request, estimates);
                let prefilled_ms = estimates.send_ms
                    + estimates.resend_ms
                    + estimates.fixed_ms
                    + cost_ms
                    + wait_ms(engine, estimates)
                    + penalty_ms(engine, request.domain)
                    + estimates.split_lateness_ms;
                let score_ms = prefilled_ms
                    + limit_penalty_ms(engine, estimates)
                    + lost_ms(engine, request, estimates) * self.miss_weight;
                (engine, (cost_ms, prefilled_ms), score_ms)
            });
        let (engine, (cost_ms, prefilled_ms), score_ms) = self.choose(candidates)?;
        let (split, split_ms) = self.split((engine, cost_ms, prefilled_ms))?;
        Some((split, split_ms + score_ms - prefilled_ms))
    }

    /// Adds the decode engine of the same version with the lowest score to a prefill engine, which
    /// is given with the time of the prefill and the time until it is complete. Returns the
    /// placement and its score, in milliseconds.
    fn split(
        &self,
        (prefill, cost_ms, prefilled_ms): (&Engine, f64, f64),
    ) -> Option<(Placement, f64)> {
        let Self {
            engines,
            request,
            estimates,
            ..
        } = *self;
        let tokens = f64::from(request.shared_tokens + request.suffix_tokens);
        let candidates = engines
            .iter()
            .filter(|engine| {
                engine.phase == EnginePhase::Decode && engine.version == prefill.version
            })
            .map(|engine| {
                let factor = if engine.domain == prefill.domain {
                    1.0
                } else {
                    OTHER_DOMAIN_TRANSFER_FACTOR
                };
                let transfer_ms = tokens * estimates.transfer_token_ms * factor;
                let start_ms = transfer_ms
                    + slot_wait_ms(engine, estimates)
                    + penalty_ms(engine, request.domain);
                let slowed_ms = engine.backlog_ms * BACKLOG_DELAY_FRACTION
                    + limit_penalty_ms(engine, estimates)
                    + stream_penalty_ms(engine, request, estimates, 0.0);
                (engine, (transfer_ms, start_ms), start_ms + slowed_ms)
            });
        let (decode, (transfer_ms, start_ms), score_ms) = self.choose(candidates)?;
        let split = Placement::Split {
            prefill: prefill.key,
            decode: decode.key,
            cost_ms,
            transfer_ms,
            first_result_ms: prefilled_ms + start_ms + SPLIT_OVERHEAD_MS,
        };
        Some((split, prefilled_ms + score_ms + SPLIT_OVERHEAD_MS))
    }

    /// Chooses among engines with their scores, in milliseconds. Long streams are consolidated, so
    /// they go to the engine with the lowest score.
    fn choose<T>(
        &self,
        candidates: impl Iterator<Item = (&'a Engine, T, f64)>,
    ) -> Option<(&'a Engine, T, f64)> {
        let spread = match self.spread {
            Some(spread) if !self.request.is_long => spread,
            _ => Spread::default(),
        };
        // A short prompt overruns no engine, whoever chooses the same one.
        let tokens = self.request.shared_tokens + self.request.suffix_tokens;
        let prompt_ms = f64::from(tokens) * self.estimates.prefill_token_ms;
        let scored = candidates.map(|(engine, times, score_ms)| Scored {
            item: (engine, times),
            score_ms,
            request_ms: self.requests.ms(engine, self.estimates).min(prompt_ms),
        });
        let Scored {
            item: (engine, times),
            score_ms,
            ..
        } = spread.choose(scored)?;
        Some((engine, times, score_ms))
    }
}

fn prefill_engines(engines: &[Engine]) -> impl Iterator<Item = &Engine> {
    let is_prefill = |engine: &&Engine| engine.phase == EnginePhase::Prefill;
    engines.iter().filter(is_prefill)
}

/// Time in which `engine` prefills the tokens of the prompt that are not in its cache.
fn prefill_ms(engine: &Engine, request: PlacementRequest, estimates: CostEstimates) -> f64 {
    let suffix_ms = f64::from(request.suffix_tokens) * token_ms(engine, estimates);
    suffix_ms + miss_ms(engine, request, estimates)
}

/// Part of the prefill time that goes to shared blocks which are not in the cache of `engine`.
fn miss_ms(engine: &Engine, request: PlacementRequest, estimates: CostEstimates) -> f64 {
    f64::from(request.shared_tokens) * (1.0 - engine.cached_fraction) * token_ms(engine, estimates)
}

/// Time of [`miss_ms`] at an engine that is no faster than the typical one. What a fast engine
/// prefills once more displaces as many blocks from its cache as elsewhere.
fn lost_ms(engine: &Engine, request: PlacementRequest, estimates: CostEstimates) -> f64 {
    miss_ms(engine, request, estimates) / engine.speed.prefill_factor.min(1.0)
}

/// Weight of a millisecond in which shared blocks are prefilled that another engine holds. The
/// median backlog shows the load of all engines; a single slow or idle engine does not change it.
fn miss_weight(engines: &[Engine], estimates: CostEstimates) -> f64 {
    let mut backlogs: Vec<f64> = engines.iter().map(|engine| engine.backlog_ms).collect();
    let middle = backlogs.len().saturating_sub(1) / 2;
    if backlogs.is_empty() {
        return MISS_WEIGHT.0;
    }
    let (_, backlog_ms, _) = backlogs.select_nth_unstable_by(middle, f64::total_cmp);
    (*backlog_ms / (MISS_BACKLOG * estimates.request_ms)).clamp(MISS_WEIGHT.0, MISS_WEIGHT.1)
}

fn token_ms(engine: &Engine, estimates: CostEstimates) -> f64 {
    let typical_ms = match engine.phase {
        EnginePhase::Prefill => estimates.prefill_token_ms,
        EnginePhase::Decode => estimates.prefill_token_ms / DECODE_PREFILL_RATE,
    };
    typical_ms * engine.speed.prefill_factor
}

fn wait_ms(engine: &Engine, estimates: CostEstimates) -> f64 {
    (engine.backlog_ms + engine.unseen_ms).max(0.0) + slot_wait_ms(engine, estimates)
}

fn slot_wait_ms(engine: &Engine, estimates: CostEstimates) -> f64 {
    let uncontended = f64::from(engine.slots) * UNCONTENDED_SLOT_FRACTION;
    (engine.requests - uncontended).max(0.0) * SLOT_WAIT * estimates.request_ms
}

/// Penalty of an engine for its failure domain and its failure rate.
fn penalty_ms(engine: &Engine, domain: u32) -> f64 {
    let domain_ms = if engine.domain == domain {
        0.0
    } else {
        OTHER_DOMAIN_PENALTY_MS
    };
    domain_ms + engine.failure_rate * FAILURE_PENALTY_MS
}

/// Penalty for the use of an engine's limit. It is part of the score and delays no result.
fn limit_penalty_ms(engine: &Engine, estimates: CostEstimates) -> f64 {
    engine.limit_use * LIMIT_PENALTY * estimates.request_ms
}

/// Penalty for the delay of long streams on `engine`: of the streams there by a prefill of
/// `cost_ms`, or of the request itself if it is a long stream.
fn stream_penalty_ms(
    engine: &Engine,
    request: PlacementRequest,
    estimates: CostEstimates,
    cost_ms: f64,
) -> f64 {
    let taken = engine.requests / f64::from(engine.slots.max(1));
    match (request.is_long, engine.is_stream_host) {
        (true, is_stream_host) => {
            let elsewhere = if is_stream_host {
                0.0
            } else {
                NON_HOST_PENALTY
            };
            let slowness = if engine.speed.is_stated {
                engine.speed.step_factor * STEP_PENALTY
            } else {
                0.0
            };
            (taken * BATCH_PENALTY + elsewhere + slowness) * estimates.request_ms
        }
        (false, true) if cost_ms > 0.0 => STREAM_HOST_PREFILL_PENALTY_MS,
        (false, true) if engine.speed.is_stated => {
            let held = f64::from(engine.streams) / f64::from(engine.slots.max(1));
            let over = (held - SHARED_HOST_FRACTION).max(0.0);
            over * SHARED_HOST_PENALTY * estimates.request_ms
        }
        (false, _) => cost_ms * STREAM_DELAY_FRACTION * f64::from(engine.streams),
    }
}

/// Returns the number of decode engines on which `streams` long streams are consolidated, out of
/// `engines` with `slots` each. It is at least 1.
pub fn stream_host_count(streams: f64, slots: u32, engines: usize) -> usize {
    let filled = f64::from(slots.max(1)) * STREAM_HOST_FILL_FRACTION;
    ((streams / filled).ceil() as usize).clamp(1, engines.max(1))
}
