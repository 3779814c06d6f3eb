//! A small deployment around one edge process. The store, the workers and the callers use the
//! platform's formats, and their faults can be changed while they run.
#![allow(dead_code, reason = "each test file uses a subset")]

pub mod body_end;
mod deployment;
pub mod early;
mod endless;
mod memory;
pub mod pause;
pub mod proxy;
pub mod relayed;
pub mod store;
mod streams;
pub mod take_ups;
pub mod versioned;
pub mod worker;

use std::cell::Cell;
use std::fmt::Write;
use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub use deployment::{config, engine_instance, instance, now_ms, settings_text};
use proxy::Proxy;
use serde_json::{Value, json};
use store::Store;
use tempfile::NamedTempFile;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use worker::Worker;

/// Maximum time to wait for a condition or a response that a test expects.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Environment variable that, if set, makes the edge's log visible.
const LOG_VARIABLE: &str = "NUTMEGBAY_TEST_LOG";

/// Ports of the processes, the same at every address.
const INGRESS: u16 = 8_405;
const READINESS: u16 = 8_406;
const CONTROL: u16 = 8_407;
const STORE: u16 = 8_408;
pub const EXCHANGE: u16 = 8_409;
const FIRST_WORKER: u16 = 8_500;

/// Difference between the port of a worker and that of the proxy in front of it.
const PROXY_PORT_OFFSET: u16 = 100;

/// A deployment at its own loopback address, so that tests can run in parallel.
pub struct Site {
    ip: IpAddr,
    pub store: Store,
    pub workers: Vec<Worker>,
    edge: Edge,
    has_proxies: bool,
}

impl Site {
    /// Starts `workers` workers, a store and the edge. `test` is a number that only this test uses.
    pub async fn start(test: u8, workers: u16) -> Self {
        let site = Self::start_without_config(test, workers).await;
        site.store.put("keyed.op", "config", &config(1, &["k1"]));
        site.wait_until_ready().await;
        site
    }

    /// Starts everything, but publishes no configuration.
    pub async fn start_without_config(test: u8, workers: u16) -> Self {
        Self::start_with_entries(test, workers, instance).await
    }

    /// Starts everything, but publishes no configuration. Before the edge starts, the list of
    /// instances contains the result of `entry` for the address of each worker.
    async fn start_with_entries(
        test: u8,
        workers: u16,
        entry: impl Fn(SocketAddr, &str) -> Value,
    ) -> Self {
        let pid = std::process::id();
        let octet = |shift: u32| u8::try_from((pid >> shift) & 0x7f).unwrap() + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 100 + test, octet(7), octet(0)));
        let store = Store::start(SocketAddr::new(ip, STORE)).await;
        let mut started = Vec::new();
        for n in 0..workers {
            let addr = SocketAddr::new(ip, FIRST_WORKER + n);
            started.push(Worker::start(addr).await);
            store.put("keyed.servers", &format!("i-{n}"), &entry(addr, "ready"));
        }
        let edge = Edge::start("front-1", ip, SocketAddr::new(ip, STORE), ip);
        Self {
            ip,
            store,
            workers: started,
            edge,
            has_proxies: false,
        }
    }

    /// Starts `workers` workers, each behind its own proxy, a store and the edge.
    pub async fn start_with_proxies(test: u8, workers: u16) -> (Self, Vec<Proxy>) {
        let proxy_address =
            |addr: SocketAddr| SocketAddr::new(addr.ip(), addr.port() + PROXY_PORT_OFFSET);
        let site = Self::start_with_entries(test, workers, |addr, state| {
            instance(proxy_address(addr), state)
        });
        let mut site = site.await;
        site.has_proxies = true;
        let mut proxies = Vec::new();
        for n in 0..workers {
            let addr = SocketAddr::new(site.ip, FIRST_WORKER + n);
            proxies.push(Proxy::start(proxy_address(addr), addr).await);
        }
        site.store.put("keyed.op", "config", &config(1, &["k1"]));
        site.wait_until_ready().await;
        (site, proxies)
    }

    /// Starts two prefill engines and a decode engine, in this order. Streams are not resumable.
    pub async fn start_engines(test: u8) -> Self {
        Self::start_resumable_engines(test, false).await
    }

    /// Starts two prefill engines and a decode engine, in this order.
    pub async fn start_resumable_engines(test: u8, is_resumable: bool) -> Self {
        Self::start_engines_with(test, 1, is_resumable, 100).await
    }

    /// Starts two prefill engines, then `decode_engines` decode engines. The streaming route has a
    /// latency objective of `objective_ms`.
    pub async fn start_engines_with(
        test: u8,
        decode_engines: u16,
        is_resumable: bool,
        objective_ms: u32,
    ) -> Self {
        let site = Self::start_with_entries(test, 2 + decode_engines, engine_instance).await;
        let mut config = config(1, &["k1"]);
        config["services"][0]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
            "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
        config["routes"][2]["resumable"] = json!(is_resumable);
        config["routes"][2]["slo-ms"] = json!(objective_ms);
        site.store.put("keyed.op", "config", &config);
        site.wait_until_ready().await;
        site
    }

    /// Lists engine `n` as draining.
    pub fn list_engine_as_draining(&self, n: u16) {
        let entry = engine_instance(self.listed_address(n), "draining");
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    /// Starts another edge, which cannot reach the store and has the first edge as its seed. Waits
    /// until it serves.
    pub async fn start_edge_without_store(&self, test: u8) -> Edge {
        let closed_address = SocketAddr::new(self.address(test), STORE);
        self.start_edge(test, closed_address).await
    }

    /// Starts another edge, which uses the store at `store` and has the first edge as its seed.
    /// Waits until it serves.
    pub async fn start_edge(&self, test: u8, store: SocketAddr) -> Edge {
        let edge = self.launch_edge(test, store);
        self.wait_until("it serves", async || {
            edge.call("GET", "/any/1", &[]).await.status == 200
        })
        .await;
        edge
    }

    /// Starts another edge as [`Self::start_edge`] does, without waiting for it.
    pub fn launch_edge(&self, test: u8, store: SocketAddr) -> Edge {
        Edge::start(&format!("front-{test}"), self.address(test), store, self.ip)
    }

    /// Returns the loopback address of this site for another test number.
    pub fn address(&self, test: u8) -> IpAddr {
        let IpAddr::V4(own) = self.ip else {
            panic!("sites have IPv4 addresses");
        };
        let [_, _, c, d] = own.octets();
        IpAddr::V4(Ipv4Addr::new(127, 100 + test, c, d))
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, STORE)
    }

    /// Waits until the edge is ready and knows an upstream. Clears the workers' requests.
    pub async fn wait_until_ready(&self) {
        self.wait_until("ready", async || self.readiness().await == Some(200))
            .await;
        // The edge reads the list of instances concurrently with the configuration.
        self.wait_until("an upstream is known", async || {
            self.call("GET", "/any/ping", &[]).await.status != 503
        })
        .await;
        for worker in &self.workers {
            worker.clear_requests();
        }
    }

    /// Returns the status of the readiness check, or `None` if there is no response.
    pub async fn readiness(&self) -> Option<u16> {
        let addr = SocketAddr::new(self.ip, READINESS);
        let response = send_request(addr, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n").await;
        response.map(|response| response.status)
    }

    /// Returns the metrics of the first edge as text.
    pub async fn metrics(&self) -> String {
        self.edge.metrics().await
    }

    /// Returns the first edge.
    pub fn edge(&self) -> &Edge {
        &self.edge
    }

    /// Waits until `condition` holds. Panics with `what` after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let wait = async {
            while !condition().await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("timed out: {what}"));
    }

    /// Sends a request to the first edge with the usual headers, a new id and the `extra` headers.
    pub async fn call(&self, method: &str, path: &str, extra: &[(&str, &str)]) -> Response {
        self.edge.call(method, path, extra).await
    }

    /// Sends a request and closes the connection after `wait`, without reading the response.
    pub async fn call_and_disconnect(&self, path: &str, wait: Duration) {
        let mut io = TcpStream::connect(self.edge.ingress()).await.unwrap();
        let head = head("POST", path, &[]);
        io.write_all(format!("{head}\r\n").as_bytes())
            .await
            .unwrap();
        sleep(wait).await;
    }

    /// Returns the first edge.
    pub fn edge_mut(&mut self) -> &mut Edge {
        &mut self.edge
    }

    /// Sends a signal to the first edge.
    pub fn signal(&self, name: &str) {
        self.edge.signal(name);
    }

    /// Returns the exit code of the first edge, or `None` while it runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.edge
            .child
            .try_wait()
            .unwrap()
            .and_then(|status| status.code())
    }

    /// Replaces a text in the settings file of the first edge.
    pub fn change_settings(&self, from: &str, to: &str) {
        let path = self.edge.settings.path();
        let text = std::fs::read_to_string(path).unwrap();
        std::fs::write(path, text.replace(from, to)).unwrap();
    }

    /// Lists worker `n` as ready since `started_ms`, the start of its incarnation in milliseconds
    /// since 1970.
    pub fn list_as_started(&self, n: u16, started_ms: u64) {
        let mut entry = instance(self.listed_address(n), "ready");
        entry["born"] = json!(started_ms);
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    /// Lists worker `n` with a state and the number of its heartbeat. Its incarnation stays the
    /// same.
    pub fn list_heartbeat(&self, n: u16, state: &str, heartbeat: u64) {
        let mut entry = instance(self.listed_address(n), state);
        entry["born"] = json!(1_700_000_000_000_u64);
        entry["seq"] = json!(heartbeat);
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    /// Lists worker `n` as draining.
    pub fn list_as_draining(&self, n: u16) {
        let entry = instance(self.listed_address(n), "draining");
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
    }

    /// Lists worker `n` as just started with a software version, which it names in its events.
    pub fn list_version(&self, n: u16, version: &str) {
        self.list_entry_with_version(n, version, instance(self.listed_address(n), "ready"));
    }

    /// Lists engine `n` as just started with a software version, which it names in its events.
    pub fn list_engine_version(&self, n: u16, version: &str) {
        let entry = engine_instance(self.listed_address(n), "ready");
        self.list_entry_with_version(n, version, entry);
    }

    fn list_entry_with_version(&self, n: u16, version: &str, mut entry: Value) {
        entry["version"] = json!(version);
        let started_ms = now_ms();
        entry["born"] = json!(started_ms);
        self.store.put("keyed.servers", &format!("i-{n}"), &entry);
        self.workers[usize::from(n)].set_version(version, started_ms);
    }

    fn listed_address(&self, n: u16) -> SocketAddr {
        let offset = if self.has_proxies {
            PROXY_PORT_OFFSET
        } else {
            0
        };
        SocketAddr::new(self.ip, FIRST_WORKER + n + offset)
    }

    /// Returns the number of requests that the workers began to run since their start.
    pub fn total_runs(&self) -> u64 {
        self.workers.iter().map(Worker::total_runs).sum()
    }

    /// Returns the number of requests that reached the workers since their start, including those
    /// that they refused.
    pub fn calls(&self) -> usize {
        self.workers.iter().map(Worker::calls).sum()
    }

    /// Makes another edge the seed of the first one.
    pub fn set_seed(&self, other: &Edge) {
        let (own, other) = (self.ip, other.ip);
        self.change_settings(
            &format!("seeds={own}:{CONTROL}"),
            &format!("seeds={other}:{CONTROL}"),
        );
        self.signal("HUP");
    }

    /// Returns the number of requests that the workers began to run since their requests were
    /// cleared.
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
    /// What the process writes to its standard error.
    errors: NamedTempFile,
    /// Whether the process was sent a signal to end since its start.
    is_stopping: Cell<bool>,
}

impl Edge {
    fn start(node: &str, ip: IpAddr, store: SocketAddr, seed: IpAddr) -> Self {
        let settings = NamedTempFile::new().unwrap();
        std::fs::write(settings.path(), settings_text(node, ip, store, seed)).unwrap();
        let errors = NamedTempFile::new().unwrap();
        let child = spawn_edge(&settings, &errors);
        Self {
            ip,
            child,
            settings,
            errors,
            is_stopping: Cell::new(false),
        }
    }

    /// Returns the address that accepts callers' connections.
    pub fn ingress(&self) -> SocketAddr {
        SocketAddr::new(self.ip, INGRESS)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if matches!(name, "TERM" | "KILL") {
            self.is_stopping.set(true);
        }
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Returns whether the process was sent a signal to end since its start.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Returns the peak memory of the process in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let peak = line.unwrap().split_whitespace().nth(1).unwrap();
        peak.parse().unwrap()
    }

    /// Returns the metrics of the process as text.
    pub async fn metrics(&self) -> String {
        let addr = SocketAddr::new(self.ip, CONTROL);
        let response = send_request(addr, "GET /metrics HTTP/1.1\r\nHost: x\r\n").await;
        String::from_utf8(response.unwrap().body).unwrap()
    }

    /// Returns the sum of the metrics whose lines begin with `name`.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = self.metrics().await;
        text.lines()
            .filter(|line| line.starts_with(name))
            .map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
            .sum()
    }

    /// Waits for the process to end and starts it again.
    pub fn restart(&mut self) {
        self.child.wait().unwrap();
        self.child = spawn_edge(&self.settings, &self.errors);
        self.is_stopping.set(false);
    }

    /// Kills the process and starts it again with additional lines in its settings.
    pub fn restart_with(&mut self, settings: &str) {
        let mut text = std::fs::read_to_string(self.settings.path()).unwrap();
        text += settings;
        std::fs::write(self.settings.path(), text).unwrap();
        self.signal("KILL");
        self.restart();
    }

    /// Starts the process again if it has ended. Returns false if it has received a signal to end
    /// and still runs.
    pub fn restart_if_ended(&mut self) -> bool {
        if self.child.try_wait().unwrap().is_some() {
            self.restart();
        }
        !self.is_stopping()
    }

    /// Sends a request with a body of this size, and reads the response while it does. Returns its
    /// status, or `None` if there is none.
    pub async fn send_body(&self, path: &str, bytes: usize) -> Option<u16> {
        let head = head("POST", path, &[]);
        let head = format!("{head}Content-Length: {bytes}\r\n\r\n");
        let io = TcpStream::connect(self.ingress()).await.ok()?;
        let (mut rx, mut tx) = io.into_split();
        let send = async {
            let body = vec![b'x'; bytes];
            // The process may answer and close the connection before it has read the body.
            if tx.write_all(head.as_bytes()).await.is_ok() {
                let _ = tx.write_all(&body).await;
            }
            std::future::pending::<()>().await;
        };
        let read = async {
            let mut status = [0; 12];
            rx.read_exact(&mut status).await.ok()?;
            std::str::from_utf8(&status[9..]).ok()?.parse().ok()
        };
        tokio::select! {
            status = read => status,
            () = send => None,
        }
    }

    /// Sends a request to the process. A call without a response returns status 0.
    pub async fn call(&self, method: &str, path: &str, extra: &[(&str, &str)]) -> Response {
        send_request(self.ingress(), &head(method, path, extra))
            .await
            .unwrap_or_default()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A task that panicked ends silently: whatever it followed is not followed any more.
        let errors = std::fs::read_to_string(self.errors.path()).unwrap_or_default();
        eprint!("{errors}");
        assert!(
            std::thread::panicking() || !errors.contains("panicked at"),
            "a task of the edge panicked"
        );
    }
}

fn spawn_edge(settings: &NamedTempFile, errors: &NamedTempFile) -> Child {
    let log = match std::env::var_os(LOG_VARIABLE) {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    };
    Command::new(env!("CARGO_BIN_EXE_nutmegbay-edge"))
        .env("NUTMEGBAY_BOOT", settings.path())
        .stdout(log)
        .stderr(errors.reopen().unwrap())
        .spawn()
        .unwrap()
}

/// A response as received by a caller.
#[derive(Debug, Default, Clone)]
pub struct Response {
    /// Status, or 0 if the connection ended without a response.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        worker::header(&self.head, name)
    }
}

/// Opens a listener at `addr`, at which another one may just have been closed. A process that another
/// test is starting holds a copy of that one until it has executed its program.
pub async fn listen(addr: SocketAddr) -> TcpListener {
    let open = async {
        loop {
            match TcpListener::bind(addr).await {
                Err(error) if error.kind() == ErrorKind::AddrInUse => {
                    sleep(Duration::from_millis(5)).await;
                }
                opened => return opened.unwrap(),
            }
        }
    };
    timeout(WAIT_TIMEOUT, open)
        .await
        .expect("the address stays in use")
}

/// Returns the head of a request with the usual headers, a new id and the `extra` headers.
pub fn head(method: &str, path: &str, extra: &[(&str, &str)]) -> String {
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

/// Sends a request without a body on a new connection and reads until the connection ends.
async fn send_request(addr: SocketAddr, head: &str) -> Option<Response> {
    let mut io = TcpStream::connect(addr).await.ok()?;
    let request = format!("{head}Connection: close\r\n\r\n");
    io.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    // A truncated response ends with an error. The bytes before it are used.
    let _ = timeout(WAIT_TIMEOUT, io.read_to_end(&mut bytes)).await;
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    Some(Response {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: bytes[end + 4..].to_vec(),
        head,
    })
}

/// Returns the text of a body in chunked transfer encoding.
pub fn decode_chunked(body: &[u8]) -> String {
    let mut rest = body;
    let mut text = String::new();
    while let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
        let len = std::str::from_utf8(&rest[..at]).unwrap();
        let len = usize::from_str_radix(len, 16).unwrap();
        let chunk = &rest[at + 2..at + 2 + len];
        text += std::str::from_utf8(chunk).unwrap();
        rest = &rest[at + 4 + len..];
    }
    text
}
