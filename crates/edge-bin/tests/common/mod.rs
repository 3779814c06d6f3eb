//! A small deployment around one edge process: store, workers and callers in the platform's
//! formats, each with faults that are set while it runs.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod proxy;
pub mod store;
pub mod worker;

use std::cell::Cell;
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use proxy::Proxy;
use serde_json::{Value, json};
use store::Store;
use tempfile::NamedTempFile;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use worker::Worker;

/// Longest wait for anything that a test expects.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Environment variable that shows the edge's log where it is set.
const LOG_VARIABLE: &str = "NUTMEGBAY_TEST_LOG";

/// Ports of the parts, the same at every address.
const INGRESS: u16 = 8_405;
const READINESS: u16 = 8_406;
const CONTROL: u16 = 8_407;
const STORE: u16 = 8_408;
const EXCHANGE: u16 = 8_409;
const FIRST_WORKER: u16 = 8_500;

/// Ports from a worker to the path before it.
const BEHIND: u16 = 100;

/// One deployment at a loopback address of its own, so that tests run side by side.
pub struct Site {
    ip: IpAddr,
    pub store: Store,
    pub workers: Vec<Worker>,
    edge: Edge,
    is_behind_paths: bool,
}

impl Site {
    /// Starts `workers` workers, a store and the edge. `test` is a number of the test's own.
    pub async fn start(test: u8, workers: u16) -> Self {
        let site = Self::start_without_config(test, workers).await;
        site.store.put("keyed.op", "config", &config(1, &["k1"]));
        site.until_ready().await;
        site
    }

    /// Starts everything but the configuration.
    pub async fn start_without_config(test: u8, workers: u16) -> Self {
        Self::start_listed(test, workers, instance).await
    }

    /// Starts everything but the configuration. The list holds what `entry` makes of each worker's
    /// address before the edge first reads it.
    async fn start_listed(
        test: u8,
        workers: u16,
        entry: impl Fn(SocketAddr, &str) -> Value,
    ) -> Self {
        let pid = std::process::id();
        let low = |shift: u32| u8::try_from((pid >> shift) & 0x7f).unwrap() + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 100 + test, low(7), low(0)));
        let store = Store::start(SocketAddr::new(ip, STORE)).await;
        let mut running = Vec::new();
        for n in 0..workers {
            let addr = SocketAddr::new(ip, FIRST_WORKER + n);
            running.push(Worker::start(addr).await);
            store.put("keyed.servers", &format!("i-{n}"), &entry(addr, "ready"));
        }
        let edge = Edge::start("front-1", ip, SocketAddr::new(ip, STORE), ip);
        Self {
            ip,
            store,
            workers: running,
            edge,
            is_behind_paths: false,
        }
    }

    /// Starts `workers` workers, each behind a path of its own, a store and the edge.
    pub async fn start_behind_paths(test: u8, workers: u16) -> (Self, Vec<Proxy>) {
        let behind = |addr: SocketAddr| SocketAddr::new(addr.ip(), addr.port() + BEHIND);
        let site = Self::start_listed(test, workers, |addr, state| instance(behind(addr), state));
        let mut site = site.await;
        site.is_behind_paths = true;
        let mut paths = Vec::new();
        for n in 0..workers {
            let addr = SocketAddr::new(site.ip, FIRST_WORKER + n);
            paths.push(Proxy::start(behind(addr), addr).await);
        }
        site.store.put("keyed.op", "config", &config(1, &["k1"]));
        site.until_ready().await;
        (site, paths)
    }

    /// Starts two prefill engines and a decode engine, in this order. Streams may not be resumed.
    pub async fn start_engines(test: u8) -> Self {
        Self::start_resumable_engines(test, false).await
    }

    /// Starts two prefill engines and a decode engine, in this order.
    pub async fn start_resumable_engines(test: u8, is_resumable: bool) -> Self {
        Self::start_some_engines(test, 1, is_resumable, 100).await
    }

    /// Starts two prefill engines and then `decoding` decode engines; streams are on time within
    /// `objective_ms`.
    pub async fn start_some_engines(
        test: u8,
        decoding: u16,
        is_resumable: bool,
        objective_ms: u32,
    ) -> Self {
        let site = Self::start_listed(test, 2 + decoding, engine_instance).await;
        let mut config = config(1, &["k1"]);
        config["services"][0]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
            "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
        config["routes"][2]["resumable"] = json!(is_resumable);
        config["routes"][2]["slo-ms"] = json!(objective_ms);
        site.store.put("keyed.op", "config", &config);
        site.until_ready().await;
        site
    }

    /// Lists engine `n` as leaving.
    pub fn list_engine_as_leaving(&self, n: u16) {
        let entry = engine_instance(self.listed_address(n), "draining");
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    /// Starts one more edge, which cannot reach the store and knows the first one, and waits until it
    /// serves.
    pub async fn start_cut_off(&self, test: u8) -> Edge {
        let nobody = SocketAddr::new(self.address(test), STORE);
        self.start_edge(test, nobody).await
    }

    /// Starts one more edge, which knows the first one and finds the store at `store`, and waits until
    /// it serves.
    pub async fn start_edge(&self, test: u8, store: SocketAddr) -> Edge {
        let name = format!("front-{test}");
        let edge = Edge::start(&name, self.address(test), store, self.ip);
        self.until("it serves", async || {
            edge.call("GET", "/any/1", &[]).await.status == 200
        })
        .await;
        edge
    }

    /// Loopback address of the same site for another number.
    pub fn address(&self, test: u8) -> IpAddr {
        let IpAddr::V4(own) = self.ip else {
            panic!("sites have IPv4 addresses");
        };
        let [_, _, c, d] = own.octets();
        IpAddr::V4(Ipv4Addr::new(127, 100 + test, c, d))
    }

    /// Address of the store.
    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, STORE)
    }

    /// Waits until the edge says that it is ready.
    pub async fn until_ready(&self) {
        self.until("ready", async || self.readiness().await == Some(200))
            .await;
        // The list of instances is read beside the configuration.
        self.until("an upstream is known", async || {
            self.call("GET", "/any/ping", &[]).await.status != 503
        })
        .await;
        for worker in &self.workers {
            worker.forget();
        }
    }

    /// Status that the readiness address answers with.
    pub async fn readiness(&self) -> Option<u16> {
        let addr = SocketAddr::new(self.ip, READINESS);
        let answer = exchange(addr, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n").await;
        answer.map(|answer| answer.status)
    }

    /// Text of the metrics.
    pub async fn metrics(&self) -> String {
        self.edge.metrics().await
    }

    /// The first edge.
    pub fn edge(&self) -> &Edge {
        &self.edge
    }

    /// Waits for a condition.
    pub async fn until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let wait = async {
            while !condition().await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PATIENCE, wait)
            .await
            .unwrap_or_else(|_| panic!("not in time: {what}"));
    }

    /// Sends a request with the usual headers, a fresh id and `extra` ones.
    pub async fn call(&self, method: &str, path: &str, extra: &[(&str, &str)]) -> Answer {
        self.edge.call(method, path, extra).await
    }

    /// Sends a request and closes the connection after `wait`, without reading an answer.
    pub async fn call_and_leave(&self, path: &str, wait: Duration) {
        let mut io = TcpStream::connect(self.edge.ingress()).await.unwrap();
        let head = head("POST", path, &[]);
        io.write_all(format!("{head}\r\n").as_bytes())
            .await
            .unwrap();
        sleep(wait).await;
    }

    /// Sends a signal to the edge.
    pub fn signal(&self, name: &str) {
        self.edge.signal(name);
    }

    /// Exit code of the edge, if it has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.edge
            .child
            .try_wait()
            .unwrap()
            .and_then(|status| status.code())
    }

    /// Changes the settings file.
    pub fn change_settings(&self, from: &str, to: &str) {
        let path = self.edge.settings.path();
        let text = std::fs::read_to_string(path).unwrap();
        std::fs::write(path, text.replace(from, to)).unwrap();
    }

    /// Lists worker `n` as started at `born`, in milliseconds since 1970.
    pub fn list_as_started(&self, n: u16, born: u64) {
        let mut entry = instance(self.listed_address(n), "ready");
        entry["born"] = json!(born);
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    /// Lists worker `n` as leaving.
    pub fn list_as_leaving(&self, n: u16) {
        let entry = instance(self.listed_address(n), "draining");
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    fn listed_address(&self, n: u16) -> SocketAddr {
        let behind = if self.is_behind_paths { BEHIND } else { 0 };
        SocketAddr::new(self.ip, FIRST_WORKER + n + behind)
    }

    /// Requests that the workers have begun to run since their start.
    pub fn all_runs(&self) -> u64 {
        self.workers.iter().map(Worker::all_runs).sum()
    }

    /// Makes the edge know another one by its seeds.
    pub fn introduce(&self, other: &Edge) {
        let (own, other) = (self.ip, other.ip);
        self.change_settings(
            &format!("seeds={own}:{CONTROL}"),
            &format!("seeds={other}:{CONTROL}"),
        );
        self.signal("HUP");
    }

    /// Requests that the workers have begun to run.
    pub fn runs(&self) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.requests().len())
            .sum()
    }
}

/// An edge process.
pub struct Edge {
    ip: IpAddr,
    child: Child,
    settings: NamedTempFile,
    is_ending: Cell<bool>,
}

impl Edge {
    fn start(node: &str, ip: IpAddr, store: SocketAddr, seed: IpAddr) -> Self {
        let settings = NamedTempFile::new().unwrap();
        std::fs::write(settings.path(), settings_text(node, ip, store, seed)).unwrap();
        let child = spawn_edge(&settings);
        Self {
            ip,
            child,
            settings,
            is_ending: Cell::new(false),
        }
    }

    /// Address for callers.
    pub fn ingress(&self) -> SocketAddr {
        SocketAddr::new(self.ip, INGRESS)
    }

    /// Sends a signal to it.
    pub fn signal(&self, name: &str) {
        if matches!(name, "TERM" | "KILL") {
            self.is_ending.set(true);
        }
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Most memory that it has used, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let peak = line.unwrap().split_whitespace().nth(1).unwrap();
        peak.parse().unwrap()
    }

    /// Text of the metrics.
    pub async fn metrics(&self) -> String {
        let addr = SocketAddr::new(self.ip, CONTROL);
        let answer = exchange(addr, "GET /metrics HTTP/1.1\r\nHost: x\r\n").await;
        String::from_utf8(answer.unwrap().body).unwrap()
    }

    /// Sum of the metrics whose lines begin with `name`.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = self.metrics().await;
        text.lines()
            .filter(|line| line.starts_with(name))
            .map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
            .sum()
    }

    /// Starts it again, once it has ended.
    pub fn restart(&mut self) {
        self.child.wait().unwrap();
        self.child = spawn_edge(&self.settings);
        self.is_ending.set(false);
    }

    /// Starts it again if it has ended. Returns whether it runs and was not told to end.
    pub fn revive(&mut self) -> bool {
        if self.child.try_wait().unwrap().is_some() {
            self.restart();
        }
        !self.is_ending.get()
    }

    /// Sends a request to it.
    pub async fn call(&self, method: &str, path: &str, extra: &[(&str, &str)]) -> Answer {
        exchange(self.ingress(), &head(method, path, extra))
            .await
            .unwrap_or_default()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_edge(settings: &NamedTempFile) -> Child {
    let log = match std::env::var_os(LOG_VARIABLE) {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    };
    Command::new(env!("CARGO_BIN_EXE_nutmegbay-edge"))
        .env("NUTMEGBAY_BOOT", settings.path())
        .stdout(log)
        .spawn()
        .unwrap()
}

/// Entry of an engine in the list of instances: the first two workers read prompts for the others.
fn engine_instance(addr: SocketAddr, state: &str) -> Value {
    let mut entry = instance(addr, state);
    let is_prefill = addr.port() < FIRST_WORKER + 2;
    entry["phase"] = json!(if is_prefill { "prefill" } else { "decode" });
    entry
}

/// An answer as a caller gets it.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// Status, 0 where the connection ended without an answer.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        worker::header(&self.head, name)
    }
}

/// Head of a request with the usual headers, a fresh id and `extra` ones.
fn head(method: &str, path: &str, extra: &[(&str, &str)]) -> String {
    let id: u64 = rand::random();
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n");
    write!(head, "X-Attempt-Id: {id:016x}\r\nX-Deadline-Ms: 3000\r\n").unwrap();
    if !extra.iter().any(|(name, _)| *name == "X-Api-Key") {
        head += "X-Api-Key: k1\r\n";
    }
    for (name, value) in extra {
        write!(head, "{name}: {value}\r\n").unwrap();
    }
    head
}

/// Sends a request without a body on a connection of its own and reads to the end.
async fn exchange(addr: SocketAddr, head: &str) -> Option<Answer> {
    let mut io = TcpStream::connect(addr).await.ok()?;
    let request = format!("{head}Connection: close\r\n\r\n");
    io.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    // A broken answer ends with an error; what came before it counts.
    let _ = timeout(PATIENCE, io.read_to_end(&mut bytes)).await;
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: bytes[end + 4..].to_vec(),
        head,
    })
}

/// Configuration with one route of each kind.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |kind: &str, prefix: &str, attempts: u32| {
        json!({"name": kind, "host": "shop.example", "prefix": prefix, "kind": kind,
            "timeout-ms": 1500, "slo-ms": 100, "priority": 1, "service": "desk",
            "attempts": attempts, "anonymous": false})
    };
    let mut stream = route("streaming", "/stream/", 2);
    stream["resumable"] = json!(true);
    stream["itl-target-ms"] = json!(100);
    json!({"version": version,
        "routes": [route("idempotent", "/any/", 2), route("non_idempotent", "/once/", 1), stream],
        "services": [{"name": "desk", "health-path": "/healthz", "max-conns": 100}],
        "limits": {"header-bytes": 16384, "body-bytes": 1000, "header-ms": 3000, "idle-ms": 15000},
        "tenants": [{"name": "acme", "keys": keys}]})
}

/// Entry of the list of instances.
pub fn instance(addr: SocketAddr, state: &str) -> Value {
    json!({"service": "desk", "addr": addr.to_string(), "zone": "z", "version": "v1",
        "slots": 8, "state": state, "cold-ms": 0, "seq": 1})
}

fn settings_text(node: &str, ip: IpAddr, store: SocketAddr, seed: IpAddr) -> String {
    format!(
        "node={node}\nip={ip}\nzone=z\nlisten.front={ip}:{INGRESS}\n\
         listen.ready={ip}:{READINESS}\nlisten.control={ip}:{CONTROL}\n\
         port-range={EXCHANGE},{EXCHANGE}\nseeds={seed}:{CONTROL}\nplatform.addr={store}\ncloud-api.addr={store}\n\
         cloud-api.duties=usage_report\nbounds.grace-s=8\nbounds.retry-slack=54\n\
         bounds.budget-ratio=0.2\nbounds.window-s=1\nbounds.usage-lag-s=6\n"
    )
}

/// Text of a chunked body without its framing.
pub fn text(body: &[u8]) -> String {
    let mut rest = body;
    let mut text = String::new();
    while let Some(at) = rest.windows(2).position(|two| two == b"\r\n") {
        let len = std::str::from_utf8(&rest[..at]).unwrap();
        let len = usize::from_str_radix(len, 16).unwrap();
        let chunk = &rest[at + 2..at + 2 + len];
        text += std::str::from_utf8(chunk).unwrap();
        rest = &rest[at + 4 + len..];
    }
    text
}
