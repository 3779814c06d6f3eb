//! Stand-ins for the platform's store, workers and clients, written for the cases of the third
//! review. Only the standard library is used, so that `rustc` alone builds them.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Writes `record.txt`: one line for each thing sent, answered or run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Head of a request or a response.
#[derive(Default, Debug, Clone)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn len(&self) -> usize {
        self.get("content-length")
            .and_then(|len| len.parse().ok())
            .unwrap_or(0)
    }
}

pub fn read_head(io: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if io.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        match (head.line.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => head.line = line.into(),
            (false, true) => return Some(head),
            (false, false) => {
                let (name, value) = line.split_once(':')?;
                head.headers.push((name.into(), value.trim().into()));
            }
        }
    }
}

pub fn read_body(io: &mut impl Read, len: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; len];
    io.read_exact(&mut body).ok()?;
    Some(body)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let n = three
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |n, byte| n << 8 | u32::from(*byte));
        for at in 0..4 {
            if at > three.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(n >> (18 - 6 * at)) as usize & 63]));
            }
        }
    }
    text
}

/// The platform's store: an append-only log with topics of one partition.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr, record: Record) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(addr).unwrap();
        let acceptor = store.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let (store, record) = (acceptor.clone(), record.clone());
                thread::spawn(move || store.serve(io, &record));
            }
        });
        store
    }

    /// Appends a record with a key, in place of the operator or a worker.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend(key.as_bytes());
        content.extend(value.as_bytes());
        let _ = self.push(topic, vec![content], None);
    }

    fn push(&self, topic: &str, contents: Vec<Vec<u8>>, at: Option<usize>) -> Result<usize, usize> {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.into()).or_default();
        let end = records.len();
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        records.extend(contents);
        changed.notify_all();
        Ok(end)
    }

    fn serve(&self, io: TcpStream, record: &Record) {
        let _ = io.set_nodelay(true);
        let mut rx = BufReader::new(io.try_clone().unwrap());
        let mut tx = io;
        while let Some(head) = read_head(&mut rx) {
            let Some(body) = read_body(&mut rx, head.len()) else {
                return;
            };
            let target = head.line.split(' ').nth(1).unwrap_or("").to_string();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let params: HashMap<&str, &str> =
                query.split('&').filter_map(|p| p.split_once('=')).collect();
            let (status, answer) = match path {
                "/-/log-newest" => (200, self.newest(params["topic"])),
                "/-/log-read" => self.read(&params),
                "/-/log-append" => self.append(&params, &body),
                "/usage" => {
                    record.line(&format!(
                        "usage report by {} token {}: {}",
                        head.get("x-duty-holder").unwrap_or("-"),
                        head.get("x-fencing-token").unwrap_or("-"),
                        String::from_utf8_lossy(&body)
                    ));
                    (200, Vec::new())
                }
                _ => (404, Vec::new()),
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend(answer);
            if tx.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).cloned().unwrap_or_default();
        let mut by_key = std::collections::BTreeMap::new();
        for (offset, content) in records.iter().enumerate() {
            let key_end = 1 + usize::from(content[0]);
            by_key.insert(&content[1..key_end], (offset, &content[key_end..]));
        }
        let items: Vec<String> = by_key
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    String::from_utf8_lossy(key),
                    base64(value)
                )
            })
            .collect();
        let items = items.join(",");
        format!(
            "{{\"items\":[{items}],\"has-more\":false,\"end\":{}}}",
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, params: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let from: usize = params["from"].parse().unwrap_or(0);
        let wait: u64 = params
            .get("wait-ms")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + ms(wait);
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(params["topic"]).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for content in &records[from..] {
                    body.extend((content.len() as u32).to_be_bytes());
                    body.extend(content);
                }
                return (200, body);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, params: &HashMap<&str, &str>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut contents = Vec::new();
        while body.len() >= 4 {
            let len = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            contents.push(body[4..4 + len].to_vec());
            body = &body[4 + len..];
        }
        let count = contents.len();
        let at = params.get("at").and_then(|at| at.parse().ok());
        match self.push(params["topic"], contents, at) {
            Ok(offset) => (
                200,
                format!("{{\"offset\":{offset},\"end\":{}}}", offset + count).into_bytes(),
            ),
            Err(end) => (412, format!("{{\"end\":{end}}}").into_bytes()),
        }
    }
}

/// How a worker makes a stream.
#[derive(Clone, Copy)]
pub struct Pace {
    pub events: u32,
    pub gap: Duration,
}

struct WorkerState {
    version: String,
    born: u64,
    seq: u64,
    /// Number of starts.
    start: u64,
    /// While it has no power, nothing is answered.
    is_down: bool,
    /// Until then, it makes no events.
    pause_until: Instant,
}

/// A worker that streams events. Each event names the version of its software.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    service: &'static str,
    pace: Pace,
    state: Arc<Mutex<WorkerState>>,
    store: Store,
    record: Record,
}

impl Worker {
    pub fn start(
        id: &str,
        addr: SocketAddr,
        service: &'static str,
        version: &str,
        pace: Pace,
        store: &Store,
        record: &Record,
    ) -> Self {
        let worker = Self {
            id: id.into(),
            addr,
            service,
            pace,
            state: Arc::new(Mutex::new(WorkerState {
                version: version.into(),
                born: unix_ms(),
                seq: 0,
                start: 0,
                is_down: false,
                pause_until: Instant::now(),
            })),
            store: store.clone(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(addr).unwrap();
        let acceptor = worker.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let worker = acceptor.clone();
                thread::spawn(move || worker.serve(io));
            }
        });
        worker.check_in();
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(1_200));
                if !beating.state.lock().unwrap().is_down {
                    beating.check_in();
                }
            }
        });
        worker
    }

    /// Writes the worker's entry into the store.
    pub fn check_in(&self) {
        let text = {
            let mut state = self.state.lock().unwrap();
            state.seq += 1;
            format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"z\",\"version\":\"{}\",\
                 \"slots\":16,\"state\":\"ready\",\"cold-ms\":0,\"seq\":{},\"born\":{}}}",
                self.service, self.addr, state.version, state.seq, state.born
            )
        };
        self.store.put("keyed.servers", &self.id, &text);
    }

    /// Its machine loses power: nothing is answered, and no channel is closed.
    pub fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        state.start += 1;
        self.record.line(&format!("worker {} loses power", self.id));
    }

    /// It starts again under its id, with a software version, and lists itself at once.
    pub fn start_again(&self, version: &str) {
        {
            let mut state = self.state.lock().unwrap();
            state.version = version.into();
            state.born = unix_ms();
            state.seq = 0;
            state.start += 1;
            state.is_down = false;
        }
        self.check_in();
        self.record
            .line(&format!("worker {} has started again with version {version}", self.id));
    }

    /// It falls silent and goes on.
    pub fn pause(&self, time: Duration) {
        self.state.lock().unwrap().pause_until = Instant::now() + time;
        self.record
            .line(&format!("worker {} falls silent for {} ms", self.id, time.as_millis()));
    }

    /// Waits while the worker has no power. Returns whether a connection that was opened to its start
    /// `start` still leads to it.
    fn is_alive(&self, start: u64) -> bool {
        loop {
            {
                let state = self.state.lock().unwrap();
                if !state.is_down {
                    return state.start == start;
                }
            }
            thread::sleep(ms(5));
        }
    }

    /// Waits for the next bytes on a connection. Returns false once its other end has closed it. A
    /// connection that was opened to an earlier start of the worker is silent for good: what comes on
    /// it is neither answered nor reset.
    fn waits_for_request(&self, io: &TcpStream, start: u64) -> bool {
        let has_bytes = io.peek(&mut [0]).is_ok_and(|n| n > 0);
        if has_bytes && !self.is_alive(start) {
            self.record
                .line(&format!("worker {}: bytes on a channel that is silent", self.id));
            self.hold_silent(io);
            return false;
        }
        has_bytes
    }

    /// Keeps a silent connection open until its other end closes it.
    fn hold_silent(&self, io: &TcpStream) {
        let mut io = io;
        while io.read(&mut [0; 4_096]).is_ok_and(|n| n > 0) {}
    }

    fn serve(&self, io: TcpStream) {
        let _ = io.set_nodelay(true);
        let start = self.state.lock().unwrap().start;
        let mut rx = BufReader::new(io.try_clone().unwrap());
        let mut tx = io;
        loop {
            if !self.waits_for_request(&tx, start) {
                return;
            }
            let Some(head) = read_head(&mut rx) else {
                return;
            };
            if read_body(&mut rx, head.len()).is_none() {
                return;
            }
            let (version, born) = {
                let state = self.state.lock().unwrap();
                (state.version.clone(), state.born)
            };
            let is_sent = if head.line.starts_with("GET /-/report ") {
                let report = format!("{{\"busy\":false,\"seq\":0,\"born\":{born}}}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{report}",
                    report.len()
                );
                tx.write_all(text.as_bytes()).is_ok()
            } else if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
                let text = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                tx.write_all(text.as_bytes()).is_ok()
            } else {
                self.stream(&mut tx, &head, &version, start)
            };
            if !is_sent {
                return;
            }
        }
    }

    fn stream(&self, tx: &mut TcpStream, head: &Head, version: &str, start: u64) -> bool {
        let id = head.get("x-attempt-id").unwrap_or("");
        let after: u32 = head
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        self.record.line(&format!(
            "worker {} ({version}) runs {id} after event {after}",
            self.id
        ));
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{}\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=15\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if tx.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for n in after + 1..=self.pace.events {
            let pause_until = self.state.lock().unwrap().pause_until;
            thread::sleep(pause_until.saturating_duration_since(Instant::now()));
            if !self.is_alive(start) {
                self.hold_silent(tx);
                return false;
            }
            let event = format!("id: {n}\ndata: {version} {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if tx.write_all(chunk.as_bytes()).is_err() {
                self.record
                    .line(&format!("worker {} stops {id} at event {n}: channel closed", self.id));
                return false;
            }
            thread::sleep(self.pace.gap);
        }
        tx.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// An edge process with its settings file.
pub struct Edge {
    pub name: String,
    pub ip: String,
    ports: [u16; 4],
    settings: PathBuf,
    program: PathBuf,
    dir: PathBuf,
    descriptors: Option<u32>,
    child: Child,
}

/// What all edges of a deployment share.
pub struct Deployment {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub store: SocketAddr,
    /// Ports for clients, readiness, control and the exchange between edges.
    pub ports: [u16; 4],
    pub seeds: Vec<String>,
    /// Descriptors that a process may open, if they are limited.
    pub descriptors: Option<u32>,
}

impl Deployment {
    pub fn start_edge(&self, name: &str, ip: &str, zone: &str) -> Edge {
        let [front, ready, control, exchange] = self.ports;
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("{ip}:{control}")).collect();
        let seeds = seeds.join(",");
        let store = self.store;
        let text = format!(
            "node={name}\nrole=edge\nmachine-class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=r\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nport-range={exchange},{exchange}\nseeds={seeds}\n\
             bootstrap=true\nlimits.cpu-share=0.5\nlimits.cores=1\nlimits.memory-mb=260\n\
             limits.fd-limit=4100\nlimits.link-mbps=1000.0\ndiscovery=platform\n\
             heartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform\n\
             bounds.contact-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.apply-ms=2000\nbounds.budget-ratio=0.2\nbounds.budget-window-s=10\n\
             bounds.retry-slack=54\nbounds.require-fence=true\nbounds.lease-ms=3000\n\
             bounds.window-s=5\nbounds.usage-lag-s=10\n\
             platform.addr={store}\nplatform.form=log\ncloud-api.addr={store}\n\
             cloud-api.duties=usage_report,autoscale\n"
        );
        let settings = self.dir.join(format!("{name}.conf"));
        std::fs::write(&settings, text).unwrap();
        let program = self.root.join("target/release/nutmegbay-edge");
        let child = spawn(&program, &settings, &self.dir, name, &self.root, self.descriptors);
        Edge {
            name: name.into(),
            ip: ip.into(),
            ports: self.ports,
            settings,
            program,
            dir: self.dir.clone(),
            descriptors: self.descriptors,
            child,
        }
    }
}

fn spawn(
    program: &Path,
    settings: &Path,
    dir: &Path,
    name: &str,
    root: &Path,
    descriptors: Option<u32>,
) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(dir.join(format!("{name}.log")))
        .unwrap();
    let mut command = match descriptors {
        Some(limit) => {
            let mut shell = Command::new("/bin/sh");
            shell.arg("-c").arg(format!("ulimit -n {limit}; exec \"$0\""));
            shell.arg(program);
            shell
        }
        None => Command::new(program),
    };
    let child = command
        .current_dir(root)
        .env_clear()
        .env("NUTMEGBAY_BOOT", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .unwrap();
    // The script ends what is left if it is interrupted.
    let pids = File::options().create(true).append(true).open(dir.join("pids"));
    let _ = writeln!(pids.unwrap(), "{}", child.id());
    child
}

impl Edge {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn restart(&mut self, root: &Path) {
        self.child = spawn(
            &self.program,
            &self.settings,
            &self.dir,
            &self.name,
            root,
            self.descriptors,
        );
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[0]).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        let addr: SocketAddr = format!("{}:{}", self.ip, self.ports[1]).parse().unwrap();
        let Ok(mut io) = TcpStream::connect_timeout(&addr, ms(500)) else {
            return false;
        };
        let _ = io.set_read_timeout(Some(ms(1_000)));
        let _ = io.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut rx = BufReader::new(io);
        read_head(&mut rx).is_some_and(|head| head.line.contains(" 200"))
    }

    /// Waits until the process is ready. Returns false after ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a client got in one attempt.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    pub head: Head,
    /// Number and text of each event.
    pub events: Vec<(u32, String)>,
    /// Whether the answer has its end.
    pub is_whole: bool,
}

/// Channels of the clients that are open now.
static OPEN: Mutex<Vec<TcpStream>> = Mutex::new(Vec::new());

/// Makes all clients close their channels.
pub fn leave_all() {
    for io in OPEN.lock().unwrap().drain(..) {
        let _ = io.shutdown(std::net::Shutdown::Both);
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of an attempt.
pub fn new_id() -> String {
    let n = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n:08x}", std::process::id())
}

/// Sends a request for a stream and reads its answer.
pub fn ask_stream(
    addr: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
    extra: &str,
    record: &Record,
) -> Answer {
    record.line(&format!(
        "client sends {id} {path} {}",
        extra.replace("\r\n", " ")
    ));
    let answer = read_stream(addr, path, id, deadline, extra);
    record.line(&format!(
        "client got {id}: status {}, {} events, {}",
        answer.status,
        answer.events.len(),
        if answer.is_whole { "whole" } else { "cut" }
    ));
    answer
}

fn read_stream(addr: SocketAddr, path: &str, id: &str, deadline: Duration, extra: &str) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut io) = TcpStream::connect_timeout(&addr, ms(1_000)) else {
        return answer;
    };
    let _ = io.set_nodelay(true);
    let _ = io.set_read_timeout(Some(deadline));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nX-Api-Key: key-of-acme\r\n{extra}Content-Length: 5\r\n\r\nhello",
        deadline.as_millis()
    );
    if io.write_all(request.as_bytes()).is_err() {
        return answer;
    }
    OPEN.lock().unwrap().extend(io.try_clone());
    let mut rx = BufReader::new(io);
    let Some(head) = read_head(&mut rx) else {
        return answer;
    };
    answer.status = head
        .line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    answer.head = head.clone();
    if head.get("transfer-encoding").is_none() {
        answer.is_whole = read_body(&mut rx, head.len()).is_some();
        return answer;
    }
    let mut text = String::new();
    loop {
        let mut line = String::new();
        let len = match rx.read_line(&mut line) {
            Ok(n) if n > 0 => usize::from_str_radix(line.trim(), 16).unwrap_or(0),
            _ => break,
        };
        let Some(chunk) = read_body(&mut rx, len + 2) else {
            break;
        };
        if len == 0 {
            answer.is_whole = true;
            break;
        }
        text += &String::from_utf8_lossy(&chunk[..len]);
    }
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let line = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        if let (Some(id), Some(data)) = (line("id: "), line("data: ")) {
            answer.events.push((id.parse().unwrap_or(0), data.into()));
        }
    }
    answer
}

/// Returns a configuration with one resumable streaming route.
pub fn config(timeout_ms: u64) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"notes\",\"host\":\"shop.example\",\
         \"prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout-ms\":{timeout_ms},\"slo-ms\":150,\
         \"priority\":0,\"service\":\"notes\",\"attempts\":2,\"anonymous\":false,\
         \"resumable\":true,\"itl-target-ms\":150}}],\
         \"services\":[{{\"name\":\"notes\",\"health-path\":\"/healthz\",\"max-conns\":170}}],\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\
         \"idle-ms\":15000}},\
         \"tenants\":[{{\"name\":\"acme\",\"keys\":[\"key-of-acme\"]}}]}}"
    )
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
