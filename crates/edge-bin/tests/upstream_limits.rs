//! Guards against an upstream that gets more requests than the limit that it states, which belongs
//! to all edges together.

mod common;

use std::time::Duration;

use common::worker::{Action, Worker};
use common::{Edge, Site};
use tokio::time::{Instant, sleep};

/// Window of the operator's rule. An upstream may get one and a half times what its limit allows in
/// it, and five requests more.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that are allowed in [`WINDOW`] where an upstream states `limit` a second.
const fn max_in_window(limit: usize) -> usize {
    limit * 4 * 3 / 2 + 5
}

/// Time from the first statement of a limit until the operator's rule applies.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Pause between two requests of a caller. There are two callers at each edge.
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// Outcome of the calls of one caller.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    refused: usize,
    /// Longest time until a refusal.
    slowest_refusal: Duration,
}

/// Sends requests to the edges for `time`. Returns the outcome.
async fn call_edges(edges: &[&Edge], time: Duration) -> Outcome {
    let end = Instant::now() + time;
    let callers = (0..2 * edges.len()).map(async |n| {
        let mut outcome = Outcome::default();
        while Instant::now() < end {
            let began = Instant::now();
            let response = edges[n % edges.len()].call("GET", "/any/1", &[]).await;
            match response.status {
                200 => outcome.served += 1,
                503 => {
                    assert!(response.header("retry-after").is_some());
                    outcome.refused += 1;
                    outcome.slowest_refusal = outcome.slowest_refusal.max(began.elapsed());
                }
                status => panic!("status {status}"),
            }
            sleep(CALL_PAUSE).await;
        }
        outcome
    });
    let outcomes = futures::future::join_all(callers).await;
    outcomes
        .into_iter()
        .fold(Outcome::default(), |sum, outcome| Outcome {
            served: sum.served + outcome.served,
            refused: sum.refused + outcome.refused,
            slowest_refusal: sum.slowest_refusal.max(outcome.slowest_refusal),
        })
}

/// Returns the most requests that a worker got within [`WINDOW`], from `start` on.
fn most_in_window(worker: &Worker, start: Instant) -> usize {
    let arrivals: Vec<_> = worker
        .arrivals()
        .into_iter()
        .filter(|at| *at >= start)
        .collect();
    let in_window = |first: &Instant| {
        let window = *first..*first + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

fn assert_limit_kept(worker: &Worker, limit: usize, start: Instant) {
    let most = most_in_window(worker, start);
    assert!(
        most <= max_in_window(limit),
        "{most} requests in 4 s where {limit} a second are stated"
    );
}

/// One of three workers states a limit. The others take the rest, and no caller is refused. When
/// the limit ends, the worker gets its part again.
#[tokio::test(flavor = "multi_thread")]
async fn shared_limit() {
    const LIMIT: usize = 8;
    let site = Site::start(51, 3).await;
    let others = [
        site.start_edge(52, site.store_address()).await,
        site.start_edge(53, site.store_address()).await,
    ];
    let edges = [site.edge(), &others[0], &others[1]];
    call_edges(&edges, Duration::from_secs(1)).await;
    let worker = &site.workers[0];
    worker.set_limit(Some(LIMIT));
    let start = Instant::now() + CONTACT_TIME;
    let outcome = call_edges(&edges, Duration::from_secs(9)).await;
    assert_limit_kept(worker, LIMIT, start);
    let got = worker.arrivals().len();
    assert!(got >= LIMIT * 9 / 2, "it got only {got}");
    assert_eq!(outcome.refused, 0);
    worker.set_limit(None);
    call_edges(&edges, Duration::from_secs(4)).await;
    let got = worker.arrivals().len();
    assert!(got > LIMIT * 4 * 2, "it got only {got}");
}

/// All workers state limits, less than what callers send. The rest is refused at once, and the
/// workers get what they accept.
#[tokio::test(flavor = "multi_thread")]
async fn scarce_capacity() {
    const LIMIT: usize = 12;
    let site = Site::start(54, 2).await;
    let others = [
        site.start_edge(55, site.store_address()).await,
        site.start_edge(56, site.store_address()).await,
    ];
    let edges = [site.edge(), &others[0], &others[1]];
    for worker in &site.workers {
        worker.set_limit(Some(LIMIT));
    }
    let start = Instant::now() + CONTACT_TIME;
    let outcome = call_edges(&edges, Duration::from_secs(9)).await;
    for worker in &site.workers {
        assert_limit_kept(worker, LIMIT, start);
    }
    let accepted = site.workers.len() * LIMIT * 9;
    assert!(outcome.served >= accepted / 2, "{outcome:?}");
    assert!(outcome.refused > 0, "{outcome:?}");
    assert!(
        outcome.slowest_refusal < Duration::from_millis(100),
        "{outcome:?}"
    );
}

/// Edges join while a limit is in force. Those that ran before read their records seconds later.
#[tokio::test(flavor = "multi_thread")]
async fn joining_edges() {
    const LIMIT: usize = 4;
    let site = Site::start(58, 1).await;
    let worker = &site.workers[0];
    worker.set_limit(Some(LIMIT));
    let first = site.edge();
    call_edges(&[first], CONTACT_TIME).await;
    let start = Instant::now();
    let joined = (59..65).map(|test| site.launch_edge(test, site.store_address()));
    let joined: Vec<_> = joined.collect();
    for edge in &joined {
        site.wait_until("it answers", async || {
            edge.call("GET", "/any/1", &[]).await.status != 0
        })
        .await;
    }
    let edges: Vec<_> = joined.iter().chain([first]).collect();
    call_edges(&edges, Duration::from_secs(6)).await;
    assert_limit_kept(worker, LIMIT, start);
    let got = worker.arrivals().len();
    assert!(got >= LIMIT * 9 / 2, "it got only {got}");
}

/// The engines state limits, and no longer after a while. The responses of a prefill engine are not
/// signed; its limit must end too.
#[tokio::test(flavor = "multi_thread")]
async fn ended_limits() {
    const CALL_TIME: Duration = Duration::from_secs(3);
    let site = Site::start_engines(57).await;
    site.list_engine_as_draining(0);
    let [_, prefill, decode] = &site.workers[..] else {
        panic!("there are three engines");
    };
    decode.script(&[Action::Stream; 800]);
    let call_engines = async || {
        let prompt = [
            ("X-Token-Counts", "20000,100"),
            ("X-Prompt-Prefix", "a:10,b:19990"),
        ];
        let end = Instant::now() + CALL_TIME;
        while Instant::now() < end {
            site.call("POST", "/stream/1", &prompt).await;
            sleep(CALL_PAUSE).await;
        }
        prefill.arrivals().len()
    };
    prefill.set_limit(Some(2));
    decode.set_limit(Some(2));
    let limited = call_engines().await;
    prefill.set_limit(None);
    decode.set_limit(None);
    let unlimited = call_engines().await;
    assert!(unlimited > 5 * limited, "{limited}, then {unlimited}");
}
