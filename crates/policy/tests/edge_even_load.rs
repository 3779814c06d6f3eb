//! Replays many instances that choose among many engines on figures that are a little old. Guards
//! against engines that are overrun in turns while others idle, and against giving up the sharing
//! of prefix blocks for it.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::engine_view::EngineSpeed;
use nutmegbay_policy::edge::even_load::{Spread, replaced_fraction, unseen_ms};
use nutmegbay_policy::edge::exchange::{Digest, LoadExchange, Role, Scope};
use nutmegbay_policy::edge::placement::{
    CostEstimates, Engine, EnginePhase, Placement, PlacementRequest, known_work, place,
    place_evenly,
};
use nutmegbay_policy::edge::software_versions::VersionTag;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

const REQUEST: PlacementRequest = PlacementRequest {
    shared_tokens: 4_000,
    suffix_tokens: 3_000,
    domain: 0,
    is_long: false,
};

/// Time in which an engine prefills a request of which it holds nothing, in milliseconds.
const MISS_MS: f64 = 14.0;

const ESTIMATES: CostEstimates = CostEstimates {
    fixed_ms: 2.0,
    prefill_token_ms: 0.001,
    transfer_token_ms: 0.0,
    send_ms: 0.0,
    resend_ms: 0.0,
    request_ms: MISS_MS,
    whole_lateness_ms: 0.0,
    split_lateness_ms: 0.0,
};

fn engines(count: u32) -> Vec<Engine> {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let engine = |_| Engine {
        key: arena.insert(()),
        phase: EnginePhase::Decode,
        version: VersionTag(1),
        domain: 0,
        backlog_ms: 0.0,
        unseen_ms: 0.0,
        speed: EngineSpeed::default(),
        requests: 0.0,
        slots: 64,
        cached_fraction: 0.0,
        is_stream_host: false,
        streams: 0,
        failure_rate: 0.0,
        limit_use: 0.0,
    };
    (0..count).map(engine).collect()
}

/// Many instances that choose among many engines.
#[derive(Debug, Clone, Copy)]
struct Load {
    instances: usize,
    engines: u32,
    /// Age of the figures at which the instances choose, in milliseconds.
    age_ms: f64,
    /// Fraction of the engines' time that the requests take.
    utilisation: f64,
    /// Engines that hold the shared blocks of the requests.
    holders: usize,
}

/// What the instances have chosen.
#[derive(Debug, Clone, Copy)]
struct Chosen {
    /// Engine time given to the busiest engine in a window of 250 ms, over the mean.
    busiest: f64,
    /// Mean work ahead of a request at the chosen engine, in milliseconds.
    ahead_ms: f64,
    /// Fraction of the requests that went to an engine which holds their blocks.
    shared: f64,
}

impl Load {
    /// Feeds the decision with 500 ms of requests. After half of them the rate doubles within 100
    /// ms.
    fn replay(self, is_even: bool) -> Chosen {
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut engines = engines(self.engines);
        let count = engines.len();
        for engine in &mut engines[..self.holders] {
            engine.cached_fraction = 1.0;
        }
        let costs = engines.iter().map(cost_ms).collect::<Vec<_>>();
        // Work at each engine now, and as of the known figures with the part of each instance.
        let mut work = vec![0.0_f64; count];
        let mut known = work.clone();
        let mut own = vec![vec![0.0; count]; self.instances];
        let mut given = vec![vec![0.0; count]; 2];
        let (mut ahead_ms, mut shared, mut total) = (0.0, 0.0, 0.0);
        let (mut now, mut known_at, mut turnover_ms) = (0.0_f64, 0.0, MISS_MS);
        let per_ms = self.utilisation * f64::from(self.engines) / MISS_MS;
        while now < 500.0 {
            let rate = per_ms * (1.0 + ((now - 250.0) / 100.0).clamp(0.0, 1.0));
            let pause = -(1.0 - rng.random::<f64>()).ln() / rate;
            now += pause;
            for work in &mut work {
                *work = (*work - pause).max(0.0);
            }
            if now - known_at >= self.age_ms {
                known.clone_from(&work);
                known_at = now;
                for own in &mut own {
                    own.fill(0.0);
                }
            }
            let instance = rng.random_range(0..self.instances);
            for (index, engine) in engines.iter_mut().enumerate() {
                engine.backlog_ms = known[index] + own[instance][index];
                engine.unseen_ms = 0.0;
            }
            let age = Duration::from_secs_f64((now - known_at) / 1e3);
            let replaced = replaced_fraction(age, Duration::from_secs_f64(turnover_ms / 1e3));
            let placement = if is_even {
                let unseen = unseen_ms(&known_work(&engines, &known, REQUEST, ESTIMATES), replaced);
                for (engine, unseen_ms) in engines.iter_mut().zip(unseen) {
                    engine.unseen_ms = unseen_ms;
                }
                let draw = rng.random();
                place_evenly(&engines, REQUEST, ESTIMATES, Spread { replaced, draw })
            } else {
                place(&engines, REQUEST, ESTIMATES)
            };
            let Some(Placement::Whole { at, .. }) = placement else {
                panic!("no engine was chosen");
            };
            let chosen = engines.iter().position(|engine| engine.key == at).unwrap();
            ahead_ms += work[chosen];
            shared += f64::from(u8::from(chosen < self.holders));
            total += 1.0;
            turnover_ms += 0.05 * (work[chosen] + costs[chosen] - turnover_ms);
            work[chosen] += costs[chosen];
            own[instance][chosen] += costs[chosen];
            given[usize::from(now >= 250.0)][chosen] += costs[chosen];
        }
        let busiest = |given: &Vec<f64>| {
            let mean = given.iter().sum::<f64>() / f64::from(self.engines);
            given.iter().copied().fold(0.0, f64::max) / mean
        };
        Chosen {
            busiest: given.iter().map(busiest).sum::<f64>() / 2.0,
            ahead_ms: ahead_ms / total,
            shared: shared / total,
        }
    }
}

fn cost_ms(engine: &Engine) -> f64 {
    let missing = f64::from(REQUEST.shared_tokens) * (1.0 - engine.cached_fraction);
    (missing + f64::from(REQUEST.suffix_tokens)) * 2.0 * ESTIMATES.prefill_token_ms
}

/// Replays a load without and with the spread.
fn compare(load: Load) -> (Chosen, Chosen) {
    (load.replay(false), load.replay(true))
}

/// All instances see the same idle engines. Without a draw each of them took the first one, and
/// requests waited behind five others and more while engines idled.
#[test]
fn same_figures() {
    let small = [5.0, 30.0, 100.0, 300.0].map(|age_ms| (20, 36, age_ms));
    let large = [30.0, 300.0].map(|age_ms| (300, 600, age_ms));
    for (instances, engines, age_ms) in small.into_iter().chain(large) {
        let (before, after) = compare(Load {
            instances,
            engines,
            age_ms,
            utilisation: 0.4,
            holders: 0,
        });
        let seen = format!("{instances} {engines} {age_ms}: {before:?}, {after:?}");
        assert!(after.busiest < before.busiest * 0.75, "{seen}");
        assert!(after.ahead_ms < before.ahead_ms * 0.25, "{seen}");
        // No worse than an engine that serves half of the time at random.
        assert!(after.ahead_ms < MISS_MS, "{seen}");
    }
}

/// Requests of one busy prefix still go to the engines that hold it while these have room.
#[test]
fn busy_prefix() {
    let load = Load {
        instances: 20,
        engines: 36,
        age_ms: 10.0,
        utilisation: 0.01,
        holders: 3,
    };
    let (before, after) = compare(load);
    assert!(after.shared > 0.95, "{before:?}, {after:?}");
    // Beyond that, others take the rest and the holders are not overrun.
    let (before, after) = compare(Load {
        utilisation: 0.2,
        ..load
    });
    assert!(after.shared > before.shared * 0.9, "{before:?}, {after:?}");
    assert!(after.ahead_ms <= before.ahead_ms, "{before:?}, {after:?}");
}

/// Figures without an age leave every choice as it is.
#[test]
fn fresh_figures() {
    let mut engines = engines(8);
    for (engine, backlog_ms) in engines
        .iter_mut()
        .zip([40.0, 39.0, 38.0, 37.0, 36.0, 35.0, 34.0, 33.0])
    {
        engine.backlog_ms = backlog_ms;
    }
    let spread = Spread {
        replaced: replaced_fraction(Duration::ZERO, Duration::from_millis(50)),
        draw: 0.9,
    };
    let even = place_evenly(&engines, REQUEST, ESTIMATES, spread);
    assert_eq!(even, place(&engines, REQUEST, ESTIMATES));
    let known = known_work(&engines, &[10.0; 8], REQUEST, ESTIMATES);
    assert_eq!(unseen_ms(&known, spread.replaced), [0.0; 8]);
}

/// Work is moved from where it was known to where the instances choose; none is added.
#[test]
fn moved_work() {
    let mut engines = engines(4);
    engines[0].backlog_ms = 80.0;
    engines[1].backlog_ms = 60.0;
    let others_ms = [80.0, 60.0, 0.0, 0.0];
    let known = known_work(&engines, &others_ms, REQUEST, ESTIMATES);
    let unseen = unseen_ms(&known, 0.25);
    assert!((unseen[0] + 20.0).abs() < 1e-9, "{unseen:?}");
    assert!((unseen[1] + 15.0).abs() < 1e-9, "{unseen:?}");
    assert!((unseen[2] - 17.5).abs() < 1e-9, "{unseen:?}");
    assert!(unseen.iter().sum::<f64>().abs() < 1e-9, "{unseen:?}");
}

/// The age of what is known grows with the digests on its way and since the last one came.
#[test]
fn known_age() {
    let mut exchange = LoadExchange::default();
    let spacing = Duration::from_millis(10);
    let at = |ms| MonotonicTime(Duration::from_millis(ms));
    exchange.set_role(Some(Role::Follower(1)));
    assert_eq!(exchange.known_age(spacing, at(0)), None);
    let mut digest = LoadExchange::<u32>::default();
    digest.set_role(Some(Role::Follower(1)));
    let (_, own) = digest.digests(&[]).remove(0);
    let others = Digest {
        scope: Scope::Others,
        instances: 24,
        ..own
    };
    assert!(exchange.record_digest(1, &others, at(5)));
    let age = exchange.known_age(spacing, at(9));
    assert_eq!(age, Some(Duration::from_millis(4 + 15)));
}

/// Odd figures end no process.
#[test]
fn odd_figures() {
    for others_ms in [f64::NAN, f64::INFINITY, -5.0] {
        let known = known_work(&engines(2), &[others_ms; 2], REQUEST, ESTIMATES);
        assert!(unseen_ms(&known, 1.0).iter().all(|ms| ms.is_finite()));
    }
    assert!(unseen_ms(&[], 1.0).is_empty());
    let replaced = replaced_fraction(Duration::MAX, Duration::ZERO);
    let spread = Spread {
        replaced,
        draw: 1.0,
    };
    assert!(place_evenly(&engines(2), REQUEST, ESTIMATES, spread).is_some());
}
