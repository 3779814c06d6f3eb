//! Guards against callers that do not read and take the memory of the instance with them, and
//! against upstreams that wait for such callers.

mod common;

use std::time::Duration;

use common::worker::{Action, Worker};
use common::{Site, config, head};
use futures::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Settings of a deployment whose client accounts compete for too little room.
const COMPETING: &str = "contracts=base,pressure\nlimits.memory-mb=256\n";

/// Receive buffer of a caller, in bytes.
const CALLER_BUFFER_BYTES: u32 = 4 * 1024;

/// Opens a connection with a small buffer and sends a request on it.
async fn begin(site: &Site, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).unwrap();
    let mut io = socket.connect(site.edge().ingress()).await.unwrap();
    let head = head("POST", path, &[]);
    let head = format!("{head}Connection: close\r\n\r\n");
    io.write_all(head.as_bytes()).await.unwrap();
    io
}

/// Starts a deployment whose callers may be idle for `idle_ms`.
async fn start(test: u8, settings: &str, idle_ms: u32) -> Site {
    let mut site = Site::start_without_config(test, 2).await;
    let mut config = config(1, &["k1"]);
    config["limits"]["idle-ms"] = json!(idle_ms);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(15_000);
    }
    site.store.put("keyed.op", "config", &config);
    site.edge_mut().restart_with(settings);
    site.wait_until_ready().await;
    site
}

fn large_ends(site: &Site) -> usize {
    site.workers.iter().map(Worker::large_ends).sum()
}

/// An upstream need not wait for a caller that reads late, and the caller gets the whole response.
#[tokio::test(flavor = "multi_thread")]
async fn late_reader() {
    let memory = "contracts=base,pressure\nlimits.memory-mb=1024\n";
    let site = start(144, memory, 15_000).await;
    // More than the buffers of the sockets hold.
    Worker::share_script(&site.workers, &[Action::Large(24)]);
    let mut io = begin(&site, "/once/1").await;
    site.wait_until("the upstream is done", async || large_ends(&site) == 1)
        .await;
    let mut bytes = Vec::new();
    let read = timeout(common::WAIT_TIMEOUT, io.read_to_end(&mut bytes)).await;
    assert!(read.unwrap().is_ok());
    assert!(bytes.len() > 24 << 20, "{}", bytes.len());
    let held = site.edge().metric("nutmegbay_held_response_bytes").await;
    assert_eq!(held, 0);
}

/// Callers that do not read cost themselves their responses, and not the instance its memory.
#[tokio::test(flavor = "multi_thread")]
async fn many_unread() {
    let memory = "contracts=base,pressure\nlimits.memory-mb=64\n";
    let site = start(145, memory, 15_000).await;
    let calls = 60;
    let script = vec![Action::Large(4); calls];
    Worker::share_script(&site.workers, &script);
    let callers = join_all((0..calls).map(|_| begin(&site, "/any/1"))).await;
    site.wait_until("all were sent", async || site.runs() == calls)
        .await;
    sleep(Duration::from_secs(1)).await;
    let held = site.edge().metric("nutmegbay_held_response_bytes").await;
    assert!(held <= 32 << 20, "{held}");
    let peak = site.edge().peak_memory();
    assert!(peak < 64 << 10, "{peak} KiB");
    assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    drop(callers);
    site.wait_until("nothing is held", async || {
        site.edge().metric("nutmegbay_held_response_bytes").await == 0
    })
    .await;
}

/// A caller that takes nothing for longer than it may be idle is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_reader() {
    let site = start(147, COMPETING, 500).await;
    Worker::share_script(&site.workers, &[Action::Large(7)]);
    let mut io = begin(&site, "/once/1").await;
    site.wait_until("it is cut", async || {
        site.edge().metric("nutmegbay_callers_cut").await == 1
    })
    .await;
    let mut bytes = Vec::new();
    let read = timeout(common::WAIT_TIMEOUT, io.read_to_end(&mut bytes)).await;
    assert!(read.unwrap().is_err(), "{} bytes", bytes.len());
}

/// A caller that reads a little now and then is not.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader() {
    let site = start(149, COMPETING, 1_000).await;
    Worker::share_script(&site.workers, &[Action::Large(7)]);
    let mut io = begin(&site, "/once/1").await;
    let mut buf = vec![0; 512 * 1024];
    for _ in 0..12 {
        sleep(Duration::from_millis(200)).await;
        io.read_exact(&mut buf).await.unwrap();
    }
    let mut bytes = Vec::new();
    io.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.len() > 1 << 20, "{}", bytes.len());
    assert_eq!(site.edge().metric("nutmegbay_callers_cut").await, 0);
}
