//! A soak with random faults: six edge processes before scripted workers and a store, with faults from
//! outside that overlap: signals, broken paths to the store and to workers, a store that refuses, is
//! silent, loses answers and drops its history, workers that fail, restart and leave, changes of the
//! configuration. Checks what callers, workers and the platform see.
//!
//! `NUTMEGBAY_SOAK_SEEDS` (first..last) and `NUTMEGBAY_SOAK_S` (seconds for each) set longer runs.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::proxy::{Path, Proxy};
use common::store::Fault;
use common::worker::{Act, header};
use common::{Edge, Site, config};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Seeds of the run in CI: one drawn freely, and those that ever failed.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Time with faults for each seed.
const FAULTS_FOR: Duration = Duration::from_secs(8);

/// Edges beside the first one, each with a way to the store of its own. Four of the six read the store
/// for all.
const MORE_EDGES: u8 = 5;

/// Workers, each behind a path of its own.
const WORKERS: u16 = 4;

/// Callers that send at once.
const CALLERS: u64 = 8;

/// Faults that last at the same time.
const MOST_FAULTS: usize = 3;

/// Longest wait of a caller; requests have 1.5 s.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// Time after the last fault within which every edge serves again: the longest avoidance of a worker
/// and the longest pause between tries of the store.
const RECOVERY: Duration = Duration::from_secs(8);

/// Time after the last fault within which a change is in force at every edge: the operator's bound,
/// which counts once a process has been in touch for 3 s.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Number that keeps the addresses apart from those of other tests.
const TEST: u8 = 100;

/// A call and what its caller saw.
#[derive(Debug, Clone)]
struct Call {
    id: u64,
    is_repeatable: bool,
    /// Status, 0 where the connection ended without an answer.
    status: u16,
    /// Path that the worker names in its answer.
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
    let time = std::env::var("NUTMEGBAY_SOAK_S").map_or(FAULTS_FOR, |text| {
        Duration::from_secs(text.parse().unwrap())
    });
    for seed in seeds {
        // The stand-ins of a seed end with its runtime, and their addresses are free again.
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(soak(seed, time));
    }
}

/// What the faults act on.
struct Target {
    site: Site,
    /// Edges with their paths to the store.
    edges: Vec<(Edge, Proxy)>,
    /// Paths to the workers.
    worker_paths: Vec<Proxy>,
    version: u64,
    lasting: Vec<(Lasting, Instant)>,
}

/// A fault that lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lasting {
    PausedEdge(usize),
    StorePath(usize),
    WorkerPath(usize),
    Store,
    Leaving(u16),
}

async fn soak(seed: u64, time: Duration) {
    let mut target = Target::start().await;
    let calls = Calls::default();
    let ends = Instant::now() + time;
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let at = usize::try_from(n).unwrap() % target.edges.len();
            let at = target.edges[at].0.ingress();
            tokio::spawn(caller(at, seed * CALLERS + n, ends, Arc::clone(&calls)))
        })
        .collect();
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < ends {
        target.end_lasting(Instant::now());
        target.revive();
        target.fault(&mut rng);
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
    for caller in callers {
        caller.await.unwrap();
    }
    target.end_lasting(ends + Duration::from_hours(1));
    target.recovers(seed).await;
    check(seed, &target.site, &calls.lock().unwrap());
    check_reports(seed, &target.site);
}

impl Target {
    async fn start() -> Self {
        let (site, worker_paths) = Site::start_behind_paths(TEST, WORKERS).await;
        let mut edges = Vec::new();
        for n in 1..=MORE_EDGES {
            let at = SocketAddr::new(site.address(TEST + MORE_EDGES + n), 8_408);
            let proxy = Proxy::start(at, site.store_address()).await;
            edges.push((site.start_edge(TEST + n, at).await, proxy));
        }
        Self {
            site,
            edges,
            worker_paths,
            version: 2,
            lasting: Vec::new(),
        }
    }

    /// Makes something fail, unless the same thing fails already.
    fn fault(&mut self, rng: &mut StdRng) {
        const ACTS: [Act; 8] = [
            Act::NotRun,
            Act::Fail,
            Act::Close,
            Act::Hang,
            Act::OtherId,
            Act::Truncate,
            Act::Twice,
            Act::OtherFirst,
        ];
        let at = rng.random_range(0..self.edges.len());
        let n = rng.random_range(0..self.site.workers.len());
        match rng.random_range(0..14) {
            0..=2 => {
                let acts: Vec<_> = (0..rng.random_range(1..4))
                    .filter_map(|_| ACTS.choose(rng).copied())
                    .collect();
                self.site.workers[n].script(&acts);
            }
            3 | 4 => self.begin(rng, Lasting::PausedEdge(at)),
            5 => self.edges[at].0.signal("KILL"),
            // It serves on for some seconds, in which other faults find it.
            6 => self.edges[at].0.signal("TERM"),
            7 => self.edges[at].0.signal("HUP"),
            8 => self.begin(rng, Lasting::StorePath(at)),
            9 => self.begin(rng, Lasting::WorkerPath(n)),
            10 => self.begin(rng, Lasting::Store),
            11 => self.site.store.drop_history(),
            12 => {
                let keys: &[&str] = if rng.random() { &["k1", "k2"] } else { &["k1"] };
                self.configure(keys);
            }
            13 => self.begin(rng, Lasting::Leaving(u16::try_from(n).unwrap())),
            _ => {}
        }
    }

    /// Starts edges that have ended again. Returns whether none is about to end.
    fn revive(&mut self) -> bool {
        let mut all = true;
        for (edge, _) in &mut self.edges {
            all &= edge.revive();
        }
        all
    }

    fn lasts(&self, fault: Lasting) -> bool {
        self.lasting.iter().any(|(lasting, _)| *lasting == fault)
    }

    fn begin(&mut self, rng: &mut StdRng, fault: Lasting) {
        const PATHS: [Path; 4] = [
            Path::Silent,
            Path::OneWay,
            Path::Reset,
            Path::Delayed(Duration::from_millis(200)),
        ];
        const FAULTS: [Fault; 3] = [Fault::Refuse, Fault::Silent, Fault::LoseAnswers];
        if self.lasts(fault) || self.lasting.len() >= MOST_FAULTS {
            return;
        }
        match fault {
            Lasting::PausedEdge(n) => self.edges[n].0.signal("STOP"),
            Lasting::StorePath(n) => self.edges[n].1.set(*PATHS.choose(rng).unwrap()),
            Lasting::WorkerPath(n) => self.worker_paths[n].set(*PATHS.choose(rng).unwrap()),
            Lasting::Store => self.site.store.set_fault(*FAULTS.choose(rng).unwrap()),
            Lasting::Leaving(n) => self.site.list_as_leaving(n),
        }
        let ends = Instant::now() + Duration::from_millis(rng.random_range(100..2_500));
        self.lasting.push((fault, ends));
    }

    fn end_lasting(&mut self, now: Instant) {
        let (over, lasting) = std::mem::take(&mut self.lasting)
            .into_iter()
            .partition(|(_, ends)| *ends <= now);
        self.lasting = lasting;
        for (fault, _) in over {
            match fault {
                Lasting::PausedEdge(n) => self.edges[n].0.signal("CONT"),
                Lasting::StorePath(n) => self.edges[n].1.set(Path::Open),
                Lasting::WorkerPath(n) => self.worker_paths[n].set(Path::Open),
                Lasting::Store => self.site.store.set_fault(Fault::None),
                Lasting::Leaving(n) => self
                    .site
                    .list_as_started(n, rand::random_range(1..1_000_000)),
            }
        }
    }

    fn configure(&mut self, keys: &[&str]) {
        self.version += 1;
        let config = config(self.version, keys);
        self.site.store.put("keyed.op", "config", &config);
    }

    /// Requires that all edges serve again, and follow a change.
    async fn recovers(&mut self, seed: u64) {
        for worker in &self.site.workers {
            worker.script(&[]);
        }
        while !self.revive() {
            sleep(Duration::from_millis(50)).await;
        }
        for (edge, _) in &self.edges {
            let served = self.site.until("it serves again", async || {
                edge.call("POST", "/once/after", &[]).await.status == 200
            });
            let recovered = timeout(RECOVERY, served).await;
            assert!(recovered.is_ok(), "seed {seed}: an edge does not recover");
        }
        self.configure(&["k1", "k9"]);
        let in_force = async {
            for (edge, _) in &self.edges {
                self.site
                    .until("k9 works", async || {
                        let with_key = [("X-Api-Key", "k9")];
                        edge.call("GET", "/any/1", &with_key).await.status == 200
                    })
                    .await;
            }
        };
        let in_time = timeout(IN_FORCE, in_force).await;
        assert!(
            in_time.is_ok(),
            "seed {seed}: a change is in force too late"
        );
    }
}

/// Sends requests on one connection for as long as it lasts, then on the next.
async fn caller(at: SocketAddr, seed: u64, ends: Instant, calls: Calls) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept: Option<TcpStream> = None;
    while Instant::now() < ends {
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
        let answered = timeout(CALLER_PATIENCE, exchange(io, call.clone())).await;
        let (call, io) = answered.unwrap_or((call, None));
        kept = io;
        calls.lock().unwrap().push(call);
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

/// Sends a request and reads its answer. Returns the connection if it stays open.
async fn exchange(mut io: TcpStream, mut call: Call) -> (Call, Option<TcpStream>) {
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
    let whole = loop {
        if let Some(whole) = answer(&bytes) {
            break whole;
        }
        match io.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ => return (call, None),
        }
    };
    let (status, echo, stays_open) = whole;
    call.status = status;
    call.echo = echo;
    (call, stays_open.then_some(io))
}

/// Status, echoed path and whether the connection stays open, once the answer is whole.
fn answer(bytes: &[u8]) -> Option<(u16, String, bool)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let len: usize = header(head, "content-length")?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let stays_open = header(head, "connection") != Some("close");
    let echo = header(head, "x-echo").unwrap_or_default();
    (body.len() >= len).then(|| (status, echo.to_owned(), stays_open))
}

/// Checks every call against the runs that the workers saw.
fn check(seed: u64, site: &Site, calls: &[Call]) {
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
        let most = if call.is_repeatable { 2 } else { 1 };
        assert!(count <= most, "seed {seed}: {count} runs of {call:?}");
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

/// Checks that each window has one figure, and that no more is billed than has run.
fn check_reports(seed: u64, site: &Site) {
    let mut windows: HashMap<u64, Value> = HashMap::new();
    for report in site.store.reports() {
        let window = report["window-seq"].as_u64().unwrap();
        let counts = report["counts"].clone();
        if let Some(before) = windows.insert(window, counts.clone()) {
            assert_eq!(
                before, counts,
                "seed {seed}: window {window} has two figures"
            );
        }
    }
    let billed: u64 = windows
        .values()
        .filter_map(|counts| counts["acme"].as_u64())
        .sum();
    assert!(
        billed <= site.all_runs(),
        "seed {seed}: {billed} billed of {} runs",
        site.all_runs()
    );
}
