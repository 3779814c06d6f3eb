//! `nutmegbay-load http`: sends load to a running system on loopback addresses and prints latency
//! percentiles.

mod call;
mod workload;

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

pub use call::{CallError, CompletionRequest, HttpClient, ResponseTimes, Target, call, client};
pub use workload::{AccountLoad, Phase, Workload, check_loopback};

/// Bytes of text that the fake engine counts as one token.
const BYTES_PER_TOKEN: usize = nutmegbay_proto::prefix::BYTES_PER_TOKEN;

/// Upper bound of the histograms in microseconds. Longer times are recorded as this value.
const MAX_US: u64 = 600_000_000;

/// Name of the report row for direct calls to the engine.
const DIRECT: &str = "(direct)";

/// Latencies and failures of the calls of one account.
#[derive(Debug, Clone)]
pub struct CallStatistics {
    /// Times to the first token.
    pub first_token_us: Histogram<u64>,
    /// Times between tokens.
    pub token_gap_us: Histogram<u64>,
    /// Times to the end of the response.
    pub total_us: Histogram<u64>,
    /// Number of failures by the name of the [`CallError`].
    pub failures: BTreeMap<String, u64>,
    /// Number of calls, including repeats.
    pub sent: u64,
}

impl Default for CallStatistics {
    fn default() -> Self {
        // The bounds are fixed, because a histogram with automatic resizing clamps values beyond
        // its initial bound.
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_US, 3)
                .unwrap_or_else(|_| unreachable!("valid bounds"))
        };
        Self {
            first_token_us: histogram(),
            token_gap_us: histogram(),
            total_us: histogram(),
            failures: BTreeMap::new(),
            sent: 0,
        }
    }
}

/// Statistics by account name, and under `(direct)` for direct calls.
pub type StatisticsByAccount = BTreeMap<Box<str>, CallStatistics>;

struct Shared {
    http: HttpClient,
    workload: Workload,
    direct: Option<SocketAddr>,
    statistics: Mutex<StatisticsByAccount>,
    sent: AtomicU64,
    in_flight_permits: Arc<Semaphore>,
}

/// Runs a workload and returns its statistics. With `direct`, every second request of an account
/// goes to that engine instead of a gateway, so that both are measured under the same load.
///
/// Returns an error if `direct` is not a loopback address.
pub async fn run(
    workload: Workload,
    direct: Option<SocketAddr>,
    seed: u64,
) -> Result<StatisticsByAccount, String> {
    if let Some(engine) = direct {
        check_loopback(engine)?;
    }
    let in_flight_permits = Arc::new(Semaphore::new(workload.max_in_flight.max(1)));
    let shared = Arc::new(Shared {
        http: client(),
        workload,
        direct,
        statistics: Mutex::default(),
        sent: AtomicU64::new(0),
        in_flight_permits,
    });
    let mut tasks = JoinSet::new();
    for account in 0..shared.workload.accounts.len() {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (account as u64) << 32);
        tasks.spawn(send_account_load(Arc::clone(&shared), account, rng));
    }
    while tasks.join_next().await.is_some() {}
    // The task of each account waits for its calls, so no call is in flight here.
    let statistics = shared.statistics.lock().map_err(|_| "a call panicked")?;
    Ok(statistics.clone())
}

/// Sends the requests of one account as a Poisson process at its rate. The rate does not depend on
/// response times until `max_in_flight` is reached.
async fn send_account_load(shared: Arc<Shared>, account: usize, mut rng: ChaCha8Rng) {
    let start = Instant::now();
    let end = start + Duration::from_secs(shared.workload.max_seconds);
    let account_load = shared.workload.accounts[account].clone();
    let prefix = random_text(account_load.prefix_tokens, account as u64);
    let mut calls = JoinSet::new();
    let mut next_send_at = start;
    let mut request_number: u64 = 0;
    while next_send_at < end && shared.sent.load(Ordering::Relaxed) < shared.workload.max_requests {
        let rate = shared
            .workload
            .rate(account, (next_send_at - start).as_secs_f64());
        if rate <= 0.0 {
            next_send_at += Duration::from_millis(100);
            continue;
        }
        next_send_at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        sleep_until(next_send_at.min(end)).await;
        request_number += 1;
        let unique_tokens =
            rng.random_range(account_load.prompt_tokens.0..=account_load.prompt_tokens.1);
        let id: u128 = rng.random();
        let completion = CompletionRequest {
            model: shared.workload.model.clone(),
            prompt: format!("{prefix}{}", random_text(unique_tokens, rng.random())),
            max_tokens: rng
                .random_range(account_load.output_tokens.0..=account_load.output_tokens.1),
            patience: Duration::from_millis(account_load.patience_ms),
            id,
        };
        let Ok(permit) = Arc::clone(&shared.in_flight_permits).acquire_owned().await else {
            return;
        };
        let (shared, account_load) = (Arc::clone(&shared), account_load.clone());
        calls.spawn(async move {
            send_with_retries(&shared, &account_load, completion, request_number).await;
            drop(permit);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// Sends one request, and repeats it without delay after a timeout or failure, up to `max_sends`
/// times in all.
async fn send_with_retries(
    shared: &Shared,
    account_load: &AccountLoad,
    completion: CompletionRequest,
    request_number: u64,
) {
    let targets = &shared.workload.targets;
    let target = match shared.direct {
        Some(engine) if request_number.is_multiple_of(2) => Target::Engine(engine),
        _ => Target::Gateway(
            targets[request_number as usize % targets.len()],
            account_load.key.clone(),
        ),
    };
    let name: &str = match target {
        Target::Engine(_) => DIRECT,
        Target::Gateway(..) => &account_load.name,
    };
    for _ in 0..account_load.max_sends.max(1) {
        if shared.sent.fetch_add(1, Ordering::Relaxed) >= shared.workload.max_requests {
            return;
        }
        let result = call(&shared.http, &target, &completion).await;
        let Ok(mut statistics) = shared.statistics.lock() else {
            return;
        };
        let account = statistics.entry(name.into()).or_default();
        account.sent += 1;
        match result {
            Ok(times) => {
                account
                    .first_token_us
                    .saturating_record(micros(times.first_token));
                account.total_us.saturating_record(micros(times.total));
                for gap in times.token_gaps {
                    account.token_gap_us.saturating_record(micros(gap));
                }
                return;
            }
            Err(error) => *account.failures.entry(format!("{error:?}")).or_default() += 1,
        }
    }
}

/// Prints the latency percentiles by account. With direct calls, also prints the ratio of the time
/// to the first token through the gateways to that of direct calls.
pub fn print(statistics: &StatisticsByAccount) {
    println!(
        "{:<20} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}  failed",
        "account", "sent", "ttft50ms", "ttft99ms", "gap50ms", "gap99ms", "all50ms", "all99ms"
    );
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    let mut gateways = CallStatistics::default();
    for (name, account) in statistics {
        println!(
            "{name:<20} {:>7} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3}  {:?}",
            account.sent,
            ms(&account.first_token_us, 0.5),
            ms(&account.first_token_us, 0.99),
            ms(&account.token_gap_us, 0.5),
            ms(&account.token_gap_us, 0.99),
            ms(&account.total_us, 0.5),
            ms(&account.total_us, 0.99),
            account.failures,
        );
        if name.as_ref() != DIRECT {
            let _ = gateways.first_token_us.add(&account.first_token_us);
        }
    }
    if let Some(direct) = statistics.get(DIRECT) {
        for quantile in [0.5, 0.99] {
            let (through, without_gateway) = (
                ms(&gateways.first_token_us, quantile),
                ms(&direct.first_token_us, quantile),
            );
            println!(
                "ttft q{quantile}: through {through:.3} ms, direct {without_gateway:.3} ms, \
                 ratio {:.3}, added {:.3} ms",
                through / without_gateway.max(1e-6),
                through - without_gateway,
            );
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns pseudorandom text of `tokens` tokens that depends on `seed`.
fn random_text(tokens: u32, seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..tokens as usize * BYTES_PER_TOKEN)
        .map(|_| char::from(b'a' + rng.random_range(0..26_u8)))
        .collect()
}
