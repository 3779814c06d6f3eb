//! A small installation: the project's edges and the workers as processes, the store in this one.

use std::fs::File;
use std::io::{BufRead, BufReader, Error, Result, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Channel;
use crate::store::Store;
use crate::worker::Options;

/// The edge, as the deploy file starts it.
const EDGE: &str = "target/release/nutmegbay-edge";

/// Ports of an edge, the same at every address.
const FRONT: u16 = 8_405;
const READY: u16 = 8_406;
const CONTROL: u16 = 8_407;
const EXCHANGE: u16 = 7_660;

/// Time between two check-ins of a worker.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `contact-ms` of the settings.
pub const CONTACT: Duration = Duration::from_secs(3);

/// `grace-s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Delay until the platform starts a process again that was killed.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What is seen, in the order of time.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &str) -> Result<Self> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Self(Arc::new(Mutex::new(file)), Instant::now()))
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, line: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// Adds a line, which is printed too.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}

/// A request that a worker has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    /// Parts of its prompt.
    pub parts: String,
    pub path: String,
}

/// A worker process.
pub struct Worker {
    pub options: Options,
    child: Child,
    born_ms: u128,
    seq: u32,
    checked_in: Option<Instant>,
    /// Time at which it ended.
    pub ended: Option<Instant>,
}

/// The installation.
pub struct Site {
    pub record: Record,
    pub store: Store,
    store_addr: SocketAddr,
    base: [u8; 2],
    edges: Arc<Mutex<Vec<Child>>>,
    workers: Arc<Mutex<Vec<Worker>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Workers that are to start later.
    due: Mutex<Vec<(Instant, Options)>>,
    folder: PathBuf,
}

impl Site {
    /// Starts the store, and no other process yet.
    pub fn start(record: Record, config: &str) -> Result<Self> {
        let base = free_base()?;
        let store = Store::start(HEARTBEAT);
        let store_addr = store.listen(address(base, 250))?;
        store.put_config(config);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let site = Self {
            record,
            store,
            store_addr,
            base,
            edges: Arc::default(),
            workers: Arc::default(),
            runs: Arc::default(),
            due: Mutex::default(),
            folder,
        };
        let (workers, store) = (Arc::clone(&site.workers), site.store.clone());
        let record = site.record.clone();
        thread::spawn(move || {
            loop {
                for worker in workers.lock().unwrap().iter_mut() {
                    worker.check_in(&store, &record);
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        Ok(site)
    }

    /// Starts the edges and waits until all of them serve.
    pub fn start_edges(&self, count: usize) -> Result<()> {
        for n in 0..count {
            self.write_settings(n, count)?;
            let child = self.spawn_edge(n)?;
            self.edges.lock().unwrap().push(child);
        }
        for n in 0..count {
            self.await_ready(n)?;
        }
        Ok(())
    }

    fn spawn_edge(&self, n: usize) -> Result<Child> {
        self.record.add(&format!("edge {n} starts"));
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("edge-{n}.log")))?;
        Command::new(EDGE)
            .env("NUTMEGBAY_BOOT", self.settings_path(n))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Stops an edge as planned and starts it again, as the platform does. Returns the time of the
    /// start.
    pub fn stop_and_restart_edge(&self, n: usize) -> Result<Instant> {
        let pid = self.edges.lock().unwrap()[n].id().to_string();
        self.record.add(&format!("edge {n} gets SIGTERM"));
        Command::new("kill").args(["-TERM", &pid]).status()?;
        let killed_at = Instant::now() + GRACE;
        loop {
            thread::sleep(Duration::from_millis(10));
            let child = &mut self.edges.lock().unwrap()[n];
            if child.try_wait()?.is_some() {
                break;
            }
            if Instant::now() >= killed_at {
                child.kill()?;
            }
        }
        self.record.add(&format!("edge {n} has ended"));
        thread::sleep(RESTART_DELAY);
        let child = self.spawn_edge(n)?;
        self.edges.lock().unwrap()[n] = child;
        let started = Instant::now();
        self.await_ready(n)?;
        Ok(started)
    }

    /// Waits until the edge says that it is ready.
    fn await_ready(&self, n: usize) -> Result<()> {
        let addr = SocketAddr::new(self.edge_ip(n), READY);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(15) {
            let ready = Channel::open(addr).and_then(|mut channel| {
                let head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
                channel.send(head, Duration::from_secs(1))
            });
            if ready.is_ok_and(|head| head.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(Error::other("an edge does not get ready"))
    }

    /// Starts a worker process, which checks in as soon as it listens.
    pub fn start_worker(&self, options: Options) -> Result<()> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(options.words())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut out = BufReader::new(child.stdout.take().expect("it is piped"));
        let mut line = String::new();
        out.read_line(&mut line)?;
        if line.trim() != "listens" {
            return Err(Error::other("a worker does not start"));
        }
        let (record, runs, id) = (
            self.record.clone(),
            Arc::clone(&self.runs),
            options.id.clone(),
        );
        let version = options.version.clone();
        record.add(&format!("worker {id} ({version}) listens"));
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                record.add(&format!("worker {id} ({version}) {line}"));
                let mut words = line.split(' ');
                if words.next() != Some("run") {
                    continue;
                }
                let mut next = || words.next().unwrap_or_default().to_owned();
                runs.lock().unwrap().push(Run {
                    at: Instant::now(),
                    attempt: next(),
                    parts: next(),
                    path: next(),
                });
            }
        });
        let mut worker = Worker {
            options,
            child,
            born_ms: now_ms(),
            seq: 0,
            checked_in: None,
            ended: None,
        };
        worker.check_in(&self.store, &self.record);
        self.workers.lock().unwrap().push(worker);
        Ok(())
    }

    /// Has a worker started at a time, by [`Self::start_due`].
    pub fn start_at(&self, at: Instant, options: Options) {
        self.due.lock().unwrap().push((at, options));
    }

    /// Starts the workers whose time has come.
    pub fn start_due(&self) -> Result<()> {
        let is_due = |(at, _): &mut (Instant, Options)| Instant::now() >= *at;
        let due: Vec<_> = self.due.lock().unwrap().extract_if(.., is_due).collect();
        for (_, options) in due {
            self.start_worker(options)?;
        }
        Ok(())
    }

    /// Kills the worker with this id. A worker that crashes sends nothing more.
    pub fn kill_worker(&self, id: &str) -> Result<()> {
        let mut workers = self.workers.lock().unwrap();
        let running = |worker: &&mut Worker| worker.options.id == id && worker.ended.is_none();
        let worker = workers.iter_mut().find(running);
        let worker = worker.ok_or_else(|| Error::other("no such worker"))?;
        worker.child.kill()?;
        worker.child.wait()?;
        worker.ended = Some(Instant::now());
        self.record.add(&format!("worker {id} is killed"));
        Ok(())
    }

    /// Applies `f` to the workers.
    pub fn with_workers<T>(&self, f: impl FnOnce(&mut Vec<Worker>) -> T) -> T {
        f(&mut self.workers.lock().unwrap())
    }

    /// Returns the address for a worker.
    pub fn worker_addr(&self, n: u8) -> SocketAddr {
        SocketAddr::new(address(self.base, 100 + n), 8_080)
    }

    /// Returns the address at which an edge takes clients' channels.
    pub fn front(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.edge_ip(n), FRONT)
    }

    fn edge_ip(&self, n: usize) -> IpAddr {
        address(self.base, 1 + n as u8)
    }

    fn settings_path(&self, n: usize) -> PathBuf {
        self.folder.join(format!("settings-{n}.conf"))
    }

    fn write_settings(&self, n: usize, count: usize) -> Result<()> {
        let ip = self.edge_ip(n);
        let seeds: Vec<_> = (0..count.min(3))
            .map(|n| SocketAddr::new(self.edge_ip(n), CONTROL).to_string())
            .collect();
        let text = format!(
            "node=front-{n}\nrole=edge\nmachine-class=front\nserves=front,control\nip={ip}\n\
             zone=attica-a\nregion=attica\nzones.attica-a=attica\nlisten.front={ip}:{FRONT}\n\
             listen.ready={ip}:{READY}\nlisten.control={ip}:{CONTROL}\nport-range={EXCHANGE},7675\n\
             seeds={seeds}\nbootstrap=true\nlimits.cpu-share=0.19\nlimits.cores=1\n\
             limits.memory-mb=260\nlimits.fd-limit=4100\nlimits.link-mbps=1000.0\n\
             heartbeat-ms=1200\nbounds.reuse-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000\n\
             bounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
             bounds.apply-ms=2000\nbounds.revert-ms=250\nbounds.budget-ratio=0.2\n\
             bounds.budget-window-s=10\nbounds.retry-slack=54\nbounds.require-fence=true\n\
             bounds.lease-ms=3000\nbounds.thaw-ms=300\nbounds.window-s=5\n\
             bounds.usage-tolerance=0.05\nbounds.usage-lag-s=10\nplatform.addr={store}\n\
             platform.form=log\nplatform.record-bytes=262144\ncloud-api.addr={store}\n\
             cloud-api.duties=usage_report\n",
            seeds = seeds.join(","),
            store = self.store_addr,
        );
        std::fs::write(self.settings_path(n), text)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.edges.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        for worker in self.workers.lock().unwrap().iter_mut() {
            let _ = worker.child.kill();
            let _ = worker.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

impl Worker {
    /// Checks in at the store if that is due and the process runs.
    fn check_in(&mut self, store: &Store, record: &Record) {
        if self.ended.is_some() {
            return;
        }
        if self.child.try_wait().ok().flatten().is_some() {
            self.ended = Some(Instant::now());
            record.add(&format!("worker {} has ended", self.options.id));
            return;
        }
        if self.checked_in.is_some_and(|at| at.elapsed() < HEARTBEAT) {
            return;
        }
        self.checked_in = Some(Instant::now());
        self.seq += 1;
        let Options {
            id, addr, version, ..
        } = &self.options;
        let (seq, born) = (self.seq, self.born_ms);
        let entry = format!(
            "{{\"service\":\"verse\",\"addr\":\"{addr}\",\"zone\":\"attica-a\",\
             \"version\":\"{version}\",\"slots\":16,\"state\":\"ready\",\"cold-ms\":0,\
             \"phase\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"seq\":{seq},\"born\":{born}}}"
        );
        store.check_in(id, &entry);
    }
}

/// Returns a configuration with a route for streams that may be resumed, and one for orders, which
/// may run once.
pub fn config(stream_timeout_ms: u32) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout_ms: u32, extra: &str| {
        let attempts = if kind == "non_idempotent" { 1 } else { 2 };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"slo-ms\":150,\"priority\":0,\
             \"service\":\"verse\",\"attempts\":{attempts},\"anonymous\":false{extra}}}"
        )
    };
    let stream = route(
        "stream",
        "/stream/",
        "streaming",
        stream_timeout_ms,
        ",\"sticky\":true,\"resumable\":true,\"itl-target-ms\":150",
    );
    let order = route("order", "/order/", "non_idempotent", 800, "");
    format!(
        "{{\"version\":7,\"routes\":[{stream},{order}],\
         \"services\":[{{\"name\":\"verse\",\"health-path\":\"/healthz\",\"max-conns\":170,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\
         \"header-ms\":3000,\"idle-ms\":15000}},\
         \"tenants\":[{{\"name\":\"studio\",\"keys\":[\"k1\"],\"priority\":1}}]}}"
    )
}

/// Returns the time in milliseconds since 1970.
pub fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

fn address(base: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, base[0], base[1], last))
}

/// Returns the middle of loopback addresses at which the ports of the edges are free.
fn free_base() -> Result<[u8; 2]> {
    let seed = std::process::id();
    for n in 0..200 {
        let base = [
            60 + ((seed / 250 + n) % 40) as u8,
            1 + ((seed + n * 7) % 250) as u8,
        ];
        let is_free = (1..=4).all(|last| {
            let ip = address(base, last);
            let tcp = [FRONT, READY, CONTROL].map(|port| TcpListener::bind((ip, port)).is_ok());
            tcp.iter().all(|free| *free) && UdpSocket::bind((ip, EXCHANGE)).is_ok()
        });
        if is_free {
            return Ok(base);
        }
    }
    Err(Error::other("no free ports"))
}
