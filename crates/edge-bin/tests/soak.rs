//! A soak test with random faults. Six edge processes run in front of scripted workers and a store,
//! under overlapping external faults: signals, broken links to the store and to workers, a store
//! that refuses calls, does not respond, loses responses, drops its history and is restored from a
//! copy, workers that fail, restart and drain, and changes of the configuration. Checks what
//! callers, workers and the platform see.
//!
//! `NUTMEGBAY_SOAK_SEEDS` (first..last, inclusive) and `NUTMEGBAY_SOAK_S` (seconds for each seed)
//! set longer runs.

mod common;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::proxy::{LinkState, Proxy};
use common::store::{Fault, StoreCopy};
use common::worker::{Action, header};
use common::{Edge, Site, config};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Seeds of the run in CI: an arbitrary one, and those that failed before.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Time during which faults are injected, for each seed.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Number of edges in addition to the first one. Each reaches the store through its own proxy. Four
/// of the six edges read the store and relay its records to the others.
const ADDITIONAL_EDGES: u8 = 5;

/// Number of workers, each behind its own proxy.
const WORKERS: u16 = 4;

/// Number of concurrent callers.
const CALLERS: u64 = 8;

/// Maximum number of timed faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 3;

/// Maximum time for which a caller waits. Requests have a deadline of 1.5 s.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time from the last fault until every edge serves again: the longest time for which a
/// worker is avoided and the longest pause between attempts to reach the store.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Maximum time until a change that follows the last fault is in force at every edge: the operator's
/// bound, which applies only once a process has had contact for 3 s.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(5);

/// Probability of a restore of the store at each fault.
const RESTORE_PROBABILITY: f64 = 0.06;

/// Number of copies of the store, one for each fault. They cover about four seconds.
const MAX_COPIES: usize = 14;

/// Test number, which keeps the addresses distinct from those of other tests.
const TEST_NUMBER: u8 = 100;

/// A call and its result at the caller.
#[derive(Debug, Clone)]
struct Call {
    id: u64,
    is_repeatable: bool,
    /// Status, or 0 if the connection ended without a response.
    status: u16,
    /// Path that the worker repeats in its response.
    echo: String,
}

type Calls = Arc<Mutex<Vec<Call>>>;

#[test]
fn random_faults() {
    let seeds = match std::env::var("NUTMEGBAY_SOAK_SEEDS") {
        Ok(text) => {
            let (first, last) = text.split_once("..").expect("first..last");
            first.parse().unwrap()..=last.parse().unwrap()
        }
        Err(_) => SEEDS,
    };
    let time = std::env::var("NUTMEGBAY_SOAK_S").map_or(FAULT_TIME, |text| {
        Duration::from_secs(text.parse().unwrap())
    });
    for seed in seeds {
        // The stand-ins end with the runtime of their seed, which frees their addresses.
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(soak(seed, time));
    }
}

/// The deployment into which faults are injected.
struct Deployment {
    site: Site,
    /// Edges with their proxies in front of the store.
    edges: Vec<(Edge, Proxy)>,
    /// Proxies in front of the workers.
    worker_proxies: Vec<Proxy>,
    /// Version of the published configuration.
    version: u64,
    /// Active timed faults with their ends.
    active_faults: Vec<(TimedFault, Instant)>,
    /// Copies of the store, oldest first.
    copies: VecDeque<StoreCopy>,
}

/// A fault that lasts for a time. Contains the index of the edge or worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TimedFault {
    PausedEdge(usize),
    StoreLink(usize),
    WorkerLink(usize),
    Store,
    DrainingWorker(u16),
}

async fn soak(seed: u64, time: Duration) {
    let mut deployment = Deployment::start().await;
    let calls = Calls::default();
    let end = Instant::now() + time;
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let at = usize::try_from(n).unwrap() % deployment.edges.len();
            let at = deployment.edges[at].0.ingress();
            tokio::spawn(run_caller(at, seed * CALLERS + n, end, Arc::clone(&calls)))
        })
        .collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut restore_rng = StdRng::seed_from_u64(!seed);
    while Instant::now() < end {
        deployment.end_expired_faults(Instant::now());
        deployment.restart_ended_edges();
        deployment.inject_fault(&mut rng);
        deployment.restore_sometimes(&mut restore_rng);
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
    for caller in callers {
        caller.await.unwrap();
    }
    deployment.end_expired_faults(end + Duration::from_hours(1));
    deployment.assert_recovery(seed).await;
    check_calls(seed, &deployment.site, &calls.lock().unwrap());
    check_reports(seed, &deployment.site);
}

impl Deployment {
    async fn start() -> Self {
        let (site, worker_proxies) = Site::start_with_proxies(TEST_NUMBER, WORKERS).await;
        let mut edges = Vec::new();
        for n in 1..=ADDITIONAL_EDGES {
            let at = SocketAddr::new(site.address(TEST_NUMBER + ADDITIONAL_EDGES + n), 8_408);
            let proxy = Proxy::start(at, site.store_address()).await;
            edges.push((site.start_edge(TEST_NUMBER + n, at).await, proxy));
        }
        Self {
            site,
            edges,
            worker_proxies,
            version: 2,
            active_faults: Vec::new(),
            copies: VecDeque::new(),
        }
    }

    /// Copies the store, and sometimes restores it to an earlier copy.
    fn restore_sometimes(&mut self, rng: &mut StdRng) {
        self.copies.push_back(self.site.store.copy());
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
        if rng.random_bool(RESTORE_PROBABILITY) {
            let at = rng.random_range(0..self.copies.len());
            self.site.store.restore_and_rewrite(&self.copies[at]);
            // Later copies are of a history that is lost.
            self.copies.truncate(at + 1);
        }
    }

    /// Injects a random fault. A timed fault that is already active has no further effect.
    fn inject_fault(&mut self, rng: &mut StdRng) {
        const ACTIONS: [Action; 8] = [
            Action::NotRun,
            Action::Fail,
            Action::Close,
            Action::Hang,
            Action::WrongId,
            Action::Truncate,
            Action::SendTwice,
            Action::WrongIdFirst,
        ];
        let at = rng.random_range(0..self.edges.len());
        let n = rng.random_range(0..self.site.workers.len());
        match rng.random_range(0..14) {
            0..=2 => {
                let actions: Vec<_> = (0..rng.random_range(1..4))
                    .filter_map(|_| ACTIONS.choose(rng).copied())
                    .collect();
                self.site.workers[n].script(&actions);
            }
            3 | 4 => self.begin_fault(rng, TimedFault::PausedEdge(at)),
            5 => self.edges[at].0.signal("KILL"),
            // The process continues to serve for some seconds, during which other faults may occur.
            6 => self.edges[at].0.signal("TERM"),
            7 => self.edges[at].0.signal("HUP"),
            8 => self.begin_fault(rng, TimedFault::StoreLink(at)),
            9 => self.begin_fault(rng, TimedFault::WorkerLink(n)),
            10 => self.begin_fault(rng, TimedFault::Store),
            11 => self.site.store.drop_history(),
            12 => {
                let keys: &[&str] = if rng.random() { &["k1", "k2"] } else { &["k1"] };
                self.publish_config(keys);
            }
            13 => self.begin_fault(rng, TimedFault::DrainingWorker(u16::try_from(n).unwrap())),
            _ => {}
        }
    }

    /// Restarts edges that have ended. Returns false if an edge is still about to end.
    fn restart_ended_edges(&mut self) -> bool {
        let mut all = true;
        for (edge, _) in &mut self.edges {
            all &= edge.restart_if_ended();
        }
        all
    }

    fn is_active(&self, fault: TimedFault) -> bool {
        self.active_faults
            .iter()
            .any(|(active, _)| *active == fault)
    }

    fn begin_fault(&mut self, rng: &mut StdRng, fault: TimedFault) {
        const STATES: [LinkState; 4] = [
            LinkState::Dropping,
            LinkState::DroppingResponses,
            LinkState::Reset,
            LinkState::Delayed(Duration::from_millis(200)),
        ];
        const FAULTS: [Fault; 3] = [Fault::Refuse, Fault::Unresponsive, Fault::LoseResponses];
        if self.is_active(fault) || self.active_faults.len() >= MAX_ACTIVE_FAULTS {
            return;
        }
        match fault {
            TimedFault::PausedEdge(n) => self.edges[n].0.signal("STOP"),
            TimedFault::StoreLink(n) => self.edges[n].1.set(*STATES.choose(rng).unwrap()),
            TimedFault::WorkerLink(n) => self.worker_proxies[n].set(*STATES.choose(rng).unwrap()),
            TimedFault::Store => self.site.store.set_fault(*FAULTS.choose(rng).unwrap()),
            TimedFault::DrainingWorker(n) => self.site.list_as_draining(n),
        }
        let end = Instant::now() + Duration::from_millis(rng.random_range(100..2_500));
        self.active_faults.push((fault, end));
    }

    fn end_expired_faults(&mut self, now: Instant) {
        let (ended, active_faults) = std::mem::take(&mut self.active_faults)
            .into_iter()
            .partition(|(_, end)| *end <= now);
        self.active_faults = active_faults;
        for (fault, _) in ended {
            match fault {
                TimedFault::PausedEdge(n) => self.edges[n].0.signal("CONT"),
                TimedFault::StoreLink(n) => self.edges[n].1.set(LinkState::Open),
                TimedFault::WorkerLink(n) => self.worker_proxies[n].set(LinkState::Open),
                TimedFault::Store => self.site.store.set_fault(Fault::None),
                TimedFault::DrainingWorker(n) => self
                    .site
                    .list_as_started(n, rand::random_range(1..1_000_000)),
            }
        }
    }

    fn publish_config(&mut self, keys: &[&str]) {
        self.version += 1;
        let config = config(self.version, keys);
        self.site.store.put("keyed.op", "config", &config);
    }

    /// Asserts that all edges serve again, and that a change comes into force at them.
    async fn assert_recovery(&mut self, seed: u64) {
        for worker in &self.site.workers {
            worker.script(&[]);
        }
        while !self.restart_ended_edges() {
            sleep(Duration::from_millis(50)).await;
        }
        for (edge, _) in &self.edges {
            let served = self.site.wait_until("it serves again", async || {
                edge.call("POST", "/once/after", &[]).await.status == 200
            });
            let recovered = timeout(MAX_RECOVERY_TIME, served).await;
            assert!(
                recovered.is_ok(),
                "seed {seed}: an edge does not recover in time"
            );
        }
        self.publish_config(&["k1", "k9"]);
        let in_force = async {
            for (edge, _) in &self.edges {
                self.site
                    .wait_until("k9 works", async || {
                        let with_key = [("X-Api-Key", "k9")];
                        edge.call("GET", "/any/1", &with_key).await.status == 200
                    })
                    .await;
            }
        };
        let in_time = timeout(MAX_CHANGE_TIME, in_force).await;
        assert!(
            in_time.is_ok(),
            "seed {seed}: a change is not in force in time"
        );
    }
}

/// Sends requests until `end`. Uses a connection until it closes, then opens another one.
async fn run_caller(at: SocketAddr, seed: u64, end: Instant, calls: Calls) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept: Option<TcpStream> = None;
    while Instant::now() < end {
        let call = Call {
            id: rng.random(),
            is_repeatable: rng.random_bool(0.4),
            status: 0,
            echo: String::new(),
        };
        let io = match kept.take() {
            Some(io) => Some(io),
            None => TcpStream::connect(at).await.ok(),
        };
        let Some(io) = io else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let answered = timeout(CALLER_TIMEOUT, send_request(io, call.clone())).await;
        let (call, io) = answered.unwrap_or((call, None));
        kept = io;
        calls.lock().unwrap().push(call);
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

/// Sends a request and reads the response. Returns the connection if it stays open.
async fn send_request(mut io: TcpStream, mut call: Call) -> (Call, Option<TcpStream>) {
    let path = if call.is_repeatable { "any" } else { "once" };
    let id = call.id;
    let head = format!(
        "POST /{path}/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id:016x}\r\n\
         X-Deadline-Ms: 1500\r\nX-Api-Key: k1\r\nContent-Length: 0\r\n\r\n"
    );
    if io.write_all(head.as_bytes()).await.is_err() {
        return (call, None);
    }
    let mut bytes = Vec::new();
    let response = loop {
        if let Some(response) = parse_response(&bytes) {
            break response;
        }
        match io.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ => return (call, None),
        }
    };
    let (status, echo, stays_open) = response;
    call.status = status;
    call.echo = echo;
    (call, stays_open.then_some(io))
}

/// Returns the status, the echoed path and whether the connection stays open. Returns `None` while
/// the response is incomplete.
fn parse_response(bytes: &[u8]) -> Option<(u16, String, bool)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let len: usize = header(head, "content-length")?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let stays_open = header(head, "connection") != Some("close");
    let echo = header(head, "x-echo").unwrap_or_default();
    (body.len() >= len).then(|| (status, echo.to_owned(), stays_open))
}

/// Checks the result of every call against the runs at the workers.
fn check_calls(seed: u64, site: &Site, calls: &[Call]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for head in site
        .workers
        .iter()
        .flat_map(common::worker::Worker::requests)
    {
        let id = header(&head, "x-attempt-id").unwrap_or_default();
        *runs.entry(id.into()).or_default() += 1;
    }
    let served = calls.iter().filter(|call| call.status == 200).count();
    eprintln!("seed {seed}: {} calls, {served} served", calls.len());
    assert!(served * 2 > calls.len(), "seed {seed}: {served} served");
    for call in calls {
        let count = runs.get(&format!("{:016x}", call.id)).copied();
        let count = count.unwrap_or_default();
        let max_runs = if call.is_repeatable { 2 } else { 1 };
        assert!(count <= max_runs, "seed {seed}: {count} runs of {call:?}");
        match call.status {
            200 => {
                let is_own = call.echo.ends_with(&format!("/{}", call.id));
                assert!(count >= 1 && is_own, "seed {seed}: {call:?}");
            }
            408 | 421 | 429 | 503 => assert_eq!(count, 0, "seed {seed}: {call:?} has run"),
            0 | 500 | 502 | 504 => {}
            _ => panic!("seed {seed}: {call:?}"),
        }
    }
}

/// Checks that all reports of a window are equal, that no two edges use one fencing number, and that
/// no more requests are billed than have run.
fn check_reports(seed: u64, site: &Site) {
    let mut windows: HashMap<u64, Value> = HashMap::new();
    let mut holders: HashMap<u64, String> = HashMap::new();
    for report in site.store.reports() {
        let holder = holders
            .entry(report.fencing)
            .or_insert(report.holder.clone());
        assert_eq!(
            *holder, report.holder,
            "seed {seed}: two edges use fencing number {}",
            report.fencing
        );
        let window = report.window;
        if let Some(before) = windows.insert(window, report.counts.clone()) {
            assert_eq!(
                before, report.counts,
                "seed {seed}: window {window} has two different reports"
            );
        }
    }
    let billed: u64 = windows
        .values()
        .filter_map(|counts| counts["acme"].as_u64())
        .sum();
    assert!(
        billed <= site.total_runs(),
        "seed {seed}: {billed} billed of {} runs",
        site.total_runs()
    );
}
