//! `nutmegbay-load http`: drives a running system on loopback and prints latency histograms.

mod call;
mod plan;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

pub use call::{Ask, Failed, Http, Target, Times, call, client};
pub use plan::{AccountLoad, Phase, Workload, check_loopback};

/// Bytes that count as one token, as in the fake engine.
const BYTES_PER_TOKEN: usize = nutmegbay_proto::prefix::BYTES_PER_TOKEN;

/// Longest time that is told apart, in microseconds.
const MAX_US: u64 = 600_000_000;

/// Row of the report for calls straight to the engine.
const DIRECT: &str = "(direct)";

/// Latencies and failures of one account.
#[derive(Debug, Clone)]
pub struct Row {
    /// Microseconds to the first token.
    pub first: Histogram<u64>,
    /// Microseconds between tokens.
    pub gap: Histogram<u64>,
    /// Microseconds to the end.
    pub whole: Histogram<u64>,
    /// Failures by kind.
    pub failed: BTreeMap<String, u64>,
    /// Sendings, repeats included.
    pub sent: u64,
}

impl Default for Row {
    fn default() -> Self {
        // A histogram that resizes clamps what is recorded beyond its first bound.
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_US, 3)
                .unwrap_or_else(|_| unreachable!("valid bounds"))
        };
        Self {
            first: histogram(),
            gap: histogram(),
            whole: histogram(),
            failed: BTreeMap::new(),
            sent: 0,
        }
    }
}

/// Rows by account.
pub type Rows = BTreeMap<Box<str>, Row>;

struct Shared {
    http: Http,
    workload: Workload,
    direct: Option<SocketAddr>,
    rows: Mutex<Rows>,
    sent: AtomicU64,
    slots: Arc<Semaphore>,
}

/// Runs a workload. With `direct`, each request goes to that engine as well, in turn with the
/// gateways, so that both are measured under the same load.
pub async fn run(
    workload: Workload,
    direct: Option<SocketAddr>,
    seed: u64,
) -> Result<Rows, String> {
    if let Some(engine) = direct {
        check_loopback(engine)?;
    }
    let slots = Arc::new(Semaphore::new(workload.max_in_flight.max(1)));
    let shared = Arc::new(Shared {
        http: client(),
        workload,
        direct,
        rows: Mutex::default(),
        sent: AtomicU64::new(0),
        slots,
    });
    let mut tasks = JoinSet::new();
    for account in 0..shared.workload.accounts.len() {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (account as u64) << 32);
        tasks.spawn(offer(Arc::clone(&shared), account, rng));
    }
    while tasks.join_next().await.is_some() {}
    // The accounts wait for their calls, so nothing is in flight any more.
    let rows = shared.rows.lock().map_err(|_| "a call panicked")?;
    Ok(rows.clone())
}

/// Sends the requests of one account at its rate, whatever the answers take.
async fn offer(shared: Arc<Shared>, account: usize, mut rng: ChaCha8Rng) {
    let start = Instant::now();
    let end = start + Duration::from_secs(shared.workload.max_seconds);
    let load = shared.workload.accounts[account].clone();
    let prefix = text(load.prefix_tokens, account as u64);
    let mut calls = JoinSet::new();
    let mut at = start;
    let mut number: u64 = 0;
    while at < end && shared.sent.load(Ordering::Relaxed) < shared.workload.max_requests {
        let rate = shared.workload.rate(account, (at - start).as_secs_f64());
        if rate <= 0.0 {
            at += Duration::from_millis(100);
            continue;
        }
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        sleep_until(at.min(end)).await;
        number += 1;
        let fresh = rng.random_range(load.prompt_tokens.0..=load.prompt_tokens.1);
        let id: u128 = rng.random();
        let ask = Ask {
            model: shared.workload.model.clone(),
            prompt: format!("{prefix}{}", text(fresh, rng.random())),
            max_tokens: rng.random_range(load.output_tokens.0..=load.output_tokens.1),
            patience: Duration::from_millis(load.patience_ms),
            id,
        };
        let Ok(slot) = Arc::clone(&shared.slots).acquire_owned().await else {
            return;
        };
        let (shared, load) = (Arc::clone(&shared), load.clone());
        calls.spawn(async move {
            request(&shared, &load, ask, number).await;
            drop(slot);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// One request: sent again at once when it is slow or refused.
async fn request(shared: &Shared, load: &AccountLoad, ask: Ask, number: u64) {
    let targets = &shared.workload.targets;
    let target = match shared.direct {
        Some(engine) if number.is_multiple_of(2) => Target::Engine(engine),
        _ => Target::Gateway(targets[number as usize % targets.len()], load.key.clone()),
    };
    let name: &str = match target {
        Target::Engine(_) => DIRECT,
        Target::Gateway(..) => &load.name,
    };
    for _ in 0..load.max_sends.max(1) {
        if shared.sent.fetch_add(1, Ordering::Relaxed) >= shared.workload.max_requests {
            return;
        }
        let result = call(&shared.http, &target, &ask).await;
        let Ok(mut rows) = shared.rows.lock() else {
            return;
        };
        let row = rows.entry(name.into()).or_default();
        row.sent += 1;
        match result {
            Ok(times) => {
                row.first.saturating_record(micros(times.first));
                row.whole.saturating_record(micros(times.whole));
                for gap in times.gaps {
                    row.gap.saturating_record(micros(gap));
                }
                return;
            }
            Err(failed) => *row.failed.entry(format!("{failed:?}")).or_default() += 1,
        }
    }
}

/// Prints the histograms and, with direct calls, the ratio of the gateways to them.
pub fn print(rows: &Rows) {
    println!(
        "{:<20} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}  failed",
        "account", "sent", "ttft50ms", "ttft99ms", "gap50ms", "gap99ms", "all50ms", "all99ms"
    );
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    let mut gateways = Row::default();
    for (name, row) in rows {
        println!(
            "{name:<20} {:>7} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3}  {:?}",
            row.sent,
            ms(&row.first, 0.5),
            ms(&row.first, 0.99),
            ms(&row.gap, 0.5),
            ms(&row.gap, 0.99),
            ms(&row.whole, 0.5),
            ms(&row.whole, 0.99),
            row.failed,
        );
        if name.as_ref() != DIRECT {
            let _ = gateways.first.add(&row.first);
        }
    }
    if let Some(direct) = rows.get(DIRECT) {
        for quantile in [0.5, 0.99] {
            let (through, straight) = (ms(&gateways.first, quantile), ms(&direct.first, quantile));
            println!(
                "ttft q{quantile}: through {through:.3} ms, direct {straight:.3} ms, ratio {:.3}, \
                 added {:.3} ms",
                through / straight.max(1e-6),
                through - straight,
            );
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Text of `tokens` tokens that differs by `seed`.
fn text(tokens: u32, seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..tokens as usize * BYTES_PER_TOKEN)
        .map(|_| char::from(b'a' + rng.random_range(0..26_u8)))
        .collect()
}
