//! Upstreams of several software versions, which releases replace while they stream.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::common::now_ms;
use crate::common::store::Store;
use crate::contact::Contacts;
use crate::upstream::{Runs, Upstream};

/// Service of the streams.
const SERVICE: &str = "scribe";

/// Time limit of streams, longer than a stream with two silences.
const TIMEOUT_MS: u64 = 4_000;

/// Software versions, of which any may be released at any time.
const VERSIONS: [&str; 3] = ["v1", "v2", "v1.1"];

/// Ready upstreams below which further ones start. From twice as many on, no release begins.
const MIN_READY: usize = 5;
const MIN_READY_ENGINES: usize = 12;

/// One of so many engines only prefills.
const ENGINES_PER_PREFILL: u16 = 3;

const FIRST_PORT: u16 = 8_700;

/// Time from an entry that says `draining`, or from its removal, until the upstream ends.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Time from a crash until the entry of an upstream that does not come back is removed.
const EXPIRY_TIME: Duration = Duration::from_millis(1_500);

/// Time until each edge in touch knows a listed upstream.
const LIST_TIME: Duration = Duration::from_secs(1);

/// Adds the service of the streams to a configuration.
pub fn add_service(config: &mut Value) {
    let service = json!({"name": SERVICE, "health-path": "/healthz", "max-conns": 100});
    config["services"].as_array_mut().unwrap().push(service);
    let stream = &mut config["routes"][2];
    stream["service"] = json!(SERVICE);
    stream["timeout-ms"] = json!(TIMEOUT_MS);
}

/// Adds the service of the streams as one of engines, of which some only prefill, and a route whose
/// streams may run once.
pub fn add_engines(config: &mut Value) {
    add_service(config);
    config["services"][1]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
        "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
    let mut once = config["routes"][2].clone();
    once["name"] = json!("once");
    once["prefix"] = json!("/stream/once/");
    once["resumable"] = json!(false);
    config["routes"].as_array_mut().unwrap().push(once);
}

/// Versions with which an upstream starts again under its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restarts {
    SameVersion,
    AnyVersion,
}

/// What upstreams the streams have.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub restarts: Restarts,
    /// Whether they are engines, every third of which only prefills.
    pub are_engines: bool,
}

/// What becomes of an upstream later.
#[derive(Debug)]
enum Step {
    /// Starts at the given port.
    Start {
        id: String,
        version: String,
        port: u16,
    },
    /// The upstream of this id reports that it drains, or leaves the list without a report.
    Leave {
        id: String,
        reports: bool,
    },
    End {
        id: String,
    },
}

#[derive(Debug)]
struct Listed {
    id: String,
    version: String,
    port: u16,
    /// Start in milliseconds since 1970.
    started_ms: u64,
    is_ready: bool,
    since: Instant,
    upstream: Upstream,
}

impl Listed {
    /// Returns whether the upstream is a prefill engine, where there are engines.
    fn only_prefills(&self) -> bool {
        self.port.is_multiple_of(ENGINES_PER_PREFILL)
    }
}

/// Listed upstreams that run, shared with the callers.
#[derive(Debug, Clone, Default)]
pub struct Serving {
    upstreams: Arc<Mutex<Vec<Listed>>>,
    are_engines: bool,
}

impl Serving {
    /// Returns whether two upstreams of a version are ready, and have been for [`LIST_TIME`].
    pub fn has_two(&self, version: &str) -> bool {
        let upstreams = self.upstreams.lock().unwrap();
        let serving = upstreams
            .iter()
            .filter(|u| u.is_ready && u.version == version && u.since.elapsed() >= LIST_TIME)
            .filter(|u| !self.are_engines || !u.only_prefills());
        serving.count() >= 2
    }
}

/// The upstreams of the service and what becomes of them.
pub struct Fleet {
    ip: IpAddr,
    store: Store,
    pub serving: Serving,
    pub runs: Runs,
    steps: Vec<(Instant, Step)>,
    /// Number of upstreams and ports that were in use.
    started: u16,
    rng: StdRng,
    kind: Kind,
    contacts: Contacts,
}

impl Fleet {
    /// Starts the first upstreams, of all versions.
    pub async fn start(
        ip: IpAddr,
        store: &Store,
        rng: StdRng,
        kind: Kind,
        contacts: Contacts,
    ) -> Self {
        let mut fleet = Self {
            ip,
            store: store.clone(),
            serving: Serving {
                are_engines: kind.are_engines,
                ..Serving::default()
            },
            runs: Runs::default(),
            steps: Vec::new(),
            started: 0,
            rng,
            kind,
            contacts,
        };
        for n in 0..fleet.min_ready() {
            fleet.plan_new(VERSIONS[n % VERSIONS.len()], Duration::ZERO);
        }
        fleet.make_due_steps().await;
        fleet
    }

    /// Changes the upstreams until `end`.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            self.advance().await;
            let pause = self.rng.random_range(50..500);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Makes the steps that are due, and changes the upstreams sometimes.
    async fn advance(&mut self) {
        self.make_due_steps().await;
        let ready = self.ids(|u| u.is_ready);
        let starting = self.steps.iter();
        let starting = starting.filter(|(_, step)| matches!(step, Step::Start { .. }));
        if ready.len() + starting.count() < self.min_ready() {
            let version = *VERSIONS.choose(&mut self.rng).unwrap();
            self.plan_new(version, Duration::from_millis(100));
        }
        let Some(id) = ready.choose(&mut self.rng).cloned() else {
            return;
        };
        match self.rng.random_range(0..12) {
            0..=1 if ready.len() < 2 * self.min_ready() => self.release(&ready),
            2..=3 => self.crash(&id),
            4..=6 => {
                let time = Duration::from_millis(self.rng.random_range(800..1_200));
                let upstreams = self.serving.upstreams.lock().unwrap();
                let silent = upstreams.iter().filter(|u| u.id == id);
                silent.for_each(|u| u.upstream.fall_silent(time));
            }
            _ => {}
        }
    }

    fn min_ready(&self) -> usize {
        if self.kind.are_engines {
            MIN_READY_ENGINES
        } else {
            MIN_READY
        }
    }

    fn ids(&self, condition: impl Fn(&Listed) -> bool) -> Vec<String> {
        let upstreams = self.serving.upstreams.lock().unwrap();
        let listed = upstreams.iter().filter(|u| condition(u));
        listed.map(|u| u.id.clone()).collect()
    }

    /// Plans the start of upstreams of one version and the end of as many others.
    fn release(&mut self, ready: &[String]) {
        let version = *VERSIONS.choose(&mut self.rng).unwrap();
        let count = self.rng.random_range(2..=4);
        let gap = Duration::from_millis(self.rng.random_range(20..300));
        let leaving: Vec<_> = ready.sample(&mut self.rng, count).cloned().collect();
        for (n, id) in (1..).zip(leaving) {
            self.plan_new(version, gap * n);
            let reports = self.rng.random();
            let step = Step::Leave { id, reports };
            self.steps.push((Instant::now() + gap * (n + 1), step));
        }
    }

    fn plan_new(&mut self, version: &str, after: Duration) {
        self.started += 1;
        let step = Step::Start {
            id: format!("s-{}", self.started),
            version: version.into(),
            port: FIRST_PORT + self.started,
        };
        self.steps.push((Instant::now() + after, step));
    }

    /// Ends an upstream, which starts again: as it was, or with another version under its id or at
    /// its address.
    fn crash(&mut self, id: &str) {
        let Some((old, port)) = self.end(id) else {
            return;
        };
        let other = *VERSIONS.choose(&mut self.rng).unwrap();
        let (id, version) = match self.rng.random_range(0..3) {
            0 => (id.into(), old),
            1 if self.kind.restarts == Restarts::SameVersion => (id.into(), old),
            1 => (id.into(), other.into()),
            _ => {
                let expired = Step::End { id: id.into() };
                self.steps.push((Instant::now() + EXPIRY_TIME, expired));
                self.started += 1;
                (format!("s-{}", self.started), other.into())
            }
        };
        let down = Duration::from_millis(self.rng.random_range(300..1_000));
        let step = Step::Start { id, version, port };
        self.steps.push((Instant::now() + down, step));
    }

    /// Ends an upstream and returns its version and port.
    fn end(&self, id: &str) -> Option<(String, u16)> {
        let mut upstreams = self.serving.upstreams.lock().unwrap();
        let at = upstreams.iter().position(|u| u.id == id)?;
        let ended = upstreams.swap_remove(at);
        ended.upstream.stop();
        eprintln!("{:?}: {id} ends", self.contacts.now());
        Some((ended.version, ended.port))
    }

    async fn make_due_steps(&mut self) {
        let now = Instant::now();
        let due: Vec<_> = self.steps.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, step) in due {
            match step {
                Step::Start { id, version, port } => {
                    let addr = SocketAddr::new(self.ip, port);
                    let runs = self.runs.clone();
                    let started_ms = now_ms();
                    let upstream = Upstream::start(addr, &id, &version, started_ms, runs).await;
                    let listed = Listed {
                        id,
                        version,
                        port,
                        started_ms,
                        is_ready: true,
                        since: Instant::now(),
                        upstream,
                    };
                    self.list(&listed, "ready");
                    let at = self.contacts.now();
                    eprintln!("{at:?}: {} starts at {port}, {}", listed.id, listed.version);
                    self.serving.upstreams.lock().unwrap().push(listed);
                }
                Step::Leave { id, reports } => self.leave(id, reports),
                Step::End { id } => {
                    self.store.remove("keyed.servers", &id);
                    self.end(&id);
                }
            }
        }
    }

    fn leave(&mut self, id: String, reports: bool) {
        let mut upstreams = self.serving.upstreams.lock().unwrap();
        let Some(leaving) = upstreams.iter_mut().find(|u| u.id == id && u.is_ready) else {
            return;
        };
        leaving.is_ready = false;
        if reports {
            self.list(leaving, "draining");
        } else {
            self.store.remove("keyed.servers", &id);
        }
        drop(upstreams);
        let step = Step::End { id };
        self.steps.push((Instant::now() + DRAIN_TIME, step));
    }

    fn list(&self, listed: &Listed, state: &str) {
        let addr = SocketAddr::new(self.ip, listed.port);
        let mut entry = json!({"service": SERVICE, "addr": addr.to_string(), "zone": "z",
            "version": listed.version, "slots": 8, "state": state, "cold-ms": 0, "seq": 1,
            "born": listed.started_ms});
        if self.kind.are_engines {
            entry["phase"] = json!(if listed.only_prefills() {
                "prefill"
            } else {
                "decode"
            });
        }
        self.store.put("keyed.servers", &listed.id, &entry);
    }
}
