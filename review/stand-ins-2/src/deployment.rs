//! Starts the edge with the command of the deploy file, as separate processes at loopback addresses.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::store::Store;

/// Ports, the same at every address.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub exchange: u16,
    pub store: u16,
    pub worker: u16,
}

impl Ports {
    /// Takes ports that are free at `ip`.
    fn free(ip: IpAddr) -> Self {
        let listeners: Vec<_> = (0..6)
            .map(|_| TcpListener::bind((ip, 0)).expect("a port is free"))
            .collect();
        let port = |n: usize| listeners[n].local_addr().expect("the port is bound").port();
        Self {
            front: port(0),
            ready: port(1),
            control: port(2),
            exchange: port(3),
            store: port(4),
            worker: port(5),
        }
    }
}

/// Deployment of one store, some edges and their temporary folder.
pub struct Deployment {
    pub store: Store,
    pub ports: Ports,
    pub edges: Vec<Edge>,
    folder: PathBuf,
    bounds: &'static str,
}

impl Deployment {
    /// Starts a store. `bounds` are the settings that all edges share.
    pub fn start(bounds: &'static str) -> Self {
        let base = address(1);
        let ports = Ports::free(base);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        Self {
            store: Store::start(SocketAddr::new(base, ports.store)),
            ports,
            edges: Vec::new(),
            folder,
            bounds,
        }
    }

    /// Address of the worker with this number.
    pub fn worker_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(address(100 + n), self.ports.worker)
    }

    /// Starts an edge. The store and the interface for usage reports are at the given addresses.
    pub fn start_edge(&mut self, store: SocketAddr, cloud: SocketAddr) {
        let n = u8::try_from(self.edges.len()).expect("there are few edges") + 1;
        let ip = address(10 + n);
        let Ports {
            front,
            ready,
            control,
            exchange,
            ..
        } = self.ports;
        let seed = address(11);
        let text = format!(
            "node=front-z-a-{n}\nrole=edge\nmachine-class=front\nserves=front,control\nip={ip}\n\
             zone=z-a\nregion=z\nzones.z-a=z\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nport-range={exchange},{exchange}\n\
             seeds={seed}:{control}\nplatform.addr={store}\ncloud-api.addr={cloud}\n{}",
            self.bounds
        );
        let settings = self.folder.join(format!("edge-{n}.conf"));
        let log = self.folder.join(format!("edge-{n}.log"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(&settings, &log);
        self.edges.push(Edge {
            name: format!("front-z-a-{n}"),
            ip,
            ports: self.ports,
            settings,
            log,
            child,
        });
    }

    /// Waits until all edges are ready. Returns whether they are.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        self.edges.iter().all(|edge| {
            while Instant::now() < until {
                if edge.readiness() == Some(200) {
                    return true;
                }
                sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for edge in &mut self.edges {
            // Fails only if the process has ended.
            let _ = edge.child.kill();
            let _ = edge.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// An edge process.
pub struct Edge {
    pub name: String,
    pub ip: IpAddr,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Edge {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.front)
    }

    pub fn readiness(&self) -> Option<u16> {
        let addr = SocketAddr::new(self.ip, self.ports.ready);
        let response = call(addr, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        response.ok().map(|response| response.status())
    }

    /// Replaces a text in the settings file.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        std::fs::write(&self.settings, text.replace(from, to)).expect("and written");
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "the signal is sent"
        );
    }
}

/// Returns a loopback address that only this run uses.
pub fn address(n: u8) -> IpAddr {
    let pid = std::process::id();
    let octet = |shift: u32| ((pid >> shift) & 0x3f) as u8;
    IpAddr::V4(Ipv4Addr::new(127, 64 + octet(6), 1 + octet(0), n))
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("the log can be created");
    Command::new("target/release/nutmegbay-edge")
        .env("NUTMEGBAY_BOOT", settings)
        .stdout(log.try_clone().expect("the log is open"))
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .expect("the edge is built")
}
