//! Guards against peers that pause and lose what was sent to them, and against peers that have
//! vanished and are not noticed.

mod common;

use std::time::Duration;

use common::worker::{Action, Worker};
use common::{Site, config, head};
use futures::future::join_all;
use serde_json::json;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Time for which the callers may be idle, in milliseconds.
const IDLE_MS: u32 = 15_000;

/// Time for which a peer pauses, longer than the kernel waits for bytes to be acknowledged.
const PAUSE: Duration = Duration::from_millis(4_500);

/// Time until the last event of [`Action::LateEnd`].
const LATE_END_PAUSE: Duration = Duration::from_millis(1_300);

/// A pause of nearly the time for which a caller may be idle.
const LONG_PAUSE: Duration = Duration::from_secs(14);

/// Time within which a peer that has vanished is noticed: 3 s, and the time until the kernel or the
/// edge looks next.
const NOTICE_TIME: Duration = Duration::from_millis(5_500);

/// Size of a response in MiB, more than the buffers of the sockets hold.
const LARGE_MIB: usize = 7;

const REQUESTS_IN_FLIGHT: &str = "nutmegbay_requests_in_flight ";

async fn start(test: u8, settings: &str) -> Site {
    start_with_idle(test, settings, IDLE_MS).await
}

async fn start_with_idle(test: u8, settings: &str, idle_ms: u32) -> Site {
    let mut site = Site::start_without_config(test, 2).await;
    let mut config = config(1, &["k1"]);
    config["limits"]["idle-ms"] = json!(idle_ms);
    config["limits"]["body-bytes"] = json!(4 << 20);
    config["routes"][2]["resumable"] = json!(false);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(60_000);
        route["slo-ms"] = json!(10_000);
    }
    site.store.put("keyed.op", "config", &config);
    site.edge_mut().restart_with(settings);
    site.wait_until_ready().await;
    site
}

/// Sends a request on a new connection, whose further headers are `extra`.
async fn begin(site: &Site, extra: &str) -> TcpStream {
    let mut io = TcpStream::connect(site.edge().ingress()).await.unwrap();
    let head = head("POST", "/once/1", &[]).replace("Deadline-Ms: 3000", "Deadline-Ms: 60000");
    let head = format!("{head}{extra}\r\n");
    io.write_all(head.as_bytes()).await.unwrap();
    io
}

/// Reads a whole response of `mib` MiB after a pause.
async fn read_late(mut io: TcpStream, mib: usize, pause: Duration) {
    sleep(pause).await;
    let mut bytes = vec![0; mib << 20];
    let read = timeout(common::WAIT_TIMEOUT, io.read_exact(&mut bytes)).await;
    assert!(read.unwrap().is_ok(), "the response ends early");
    assert!(bytes.starts_with(b"HTTP/1.1 200 "));
}

/// Makes all packets that arrive for a connection vanish.
fn vanish(io: &TcpStream) {
    const RETURN: u16 = 0x06;
    let drop_all = [SockFilter::new(RETURN, 0, 0, 0)];
    SockRef::from(io).attach_filter(&drop_all).unwrap();
}

/// Callers pause in the middle of responses that the upstream has written, on connections that are
/// kept and on connections that end with the response.
#[tokio::test(flavor = "multi_thread")]
async fn paused_callers() {
    let site = start(40, "").await;
    for (mib, pause) in [(LARGE_MIB, PAUSE), (1, PAUSE), (LARGE_MIB, LONG_PAUSE)] {
        Worker::share_script(&site.workers, &[Action::Large(mib); 2]);
        let kept = begin(&site, "").await;
        let closed = begin(&site, "Connection: close\r\n").await;
        join_all([kept, closed].map(|io| read_late(io, mib, pause))).await;
    }
}

/// The idle time is shorter than the time after which a silent peer counts as gone. What the kernel
/// has taken is delivered to a caller that pauses for longer.
#[tokio::test(flavor = "multi_thread")]
async fn short_idle_time() {
    let site = start_with_idle(45, "", 500).await;
    Worker::share_script(&site.workers, &[Action::Large(1)]);
    let closed = begin(&site, "Connection: close\r\n").await;
    read_late(closed, 1, Duration::from_millis(2_500)).await;
}

/// The edge is stopped as planned while callers pause.
#[tokio::test(flavor = "multi_thread")]
async fn paused_in_stop() {
    let site = start(41, "").await;
    Worker::share_script(&site.workers, &[Action::Large(LARGE_MIB); 2]);
    let callers = [begin(&site, "").await, begin(&site, "").await];
    sleep(Duration::from_millis(200)).await;
    site.signal("TERM");
    join_all(callers.map(|io| read_late(io, LARGE_MIB, PAUSE))).await;
}

/// An upstream reads the body of a request late.
#[tokio::test(flavor = "multi_thread")]
async fn paused_upstream() {
    const BODY_BYTES: usize = 3 << 20;
    let site = start(42, "contracts=base,pressure\nlimits.memory-mb=256\n").await;
    for worker in &site.workers {
        worker.pause_in_bodies(PAUSE);
    }
    let mut io = begin(
        &site,
        &format!("Connection: close\r\nContent-Length: {BODY_BYTES}\r\n"),
    )
    .await;
    io.write_all(&vec![b'u'; BODY_BYTES]).await.unwrap();
    let mut bytes = Vec::new();
    let read = timeout(common::WAIT_TIMEOUT, io.read_to_end(&mut bytes)).await;
    read.unwrap().unwrap();
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    assert_eq!(site.runs(), 1);
}

/// The packets of a caller vanish while a response is on its way to it, or within a pause.
#[tokio::test(flavor = "multi_thread")]
async fn vanished_callers() {
    let site = start(43, "").await;
    for pause in [Duration::ZERO, Duration::from_millis(700)] {
        Worker::share_script(&site.workers, &[Action::Large(LARGE_MIB)]);
        let mut io = begin(&site, "").await;
        if pause.is_zero() {
            io.read_exact(&mut [0; 64]).await.unwrap();
        }
        sleep(pause).await;
        vanish(&io);
        let vanished_at = Instant::now();
        site.wait_until("it is noticed", async || {
            site.edge().metric(REQUESTS_IN_FLIGHT).await == 0
        })
        .await;
        let after = vanished_at.elapsed();
        assert!(after < NOTICE_TIME, "{after:?} after {pause:?}");
    }
}

/// Callers pause, and the end of a stream finds no room in their receive buffers, however small it is.
/// Which sizes fill a buffer but for less than that depends on the kernel.
#[tokio::test(flavor = "multi_thread")]
async fn late_ends() {
    const RECEIVE_BUFFER: u32 = 8 * 1024;
    const LAST_BYTES: [usize; 2] = [1, 900];
    let site = start(46, "").await;
    for last in LAST_BYTES {
        let sizes = (2_000..22_000).step_by(500);
        Worker::share_script(&site.workers, &[Action::LateEnd(last); 80]);
        let callers =
            sizes.flat_map(|size| ["", "Connection: close\r\n"].map(|extra| (size, extra)));
        let read = callers.map(async |(size, extra)| {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
            let mut io = socket.connect(site.edge().ingress()).await.unwrap();
            let head = head("POST", &format!("/stream/{size}"), &[]);
            let head = head.replace("Deadline-Ms: 3000", "Deadline-Ms: 60000");
            let head = format!("{head}{extra}\r\n");
            io.write_all(head.as_bytes()).await.unwrap();
            sleep(PAUSE + LATE_END_PAUSE).await;
            let is_whole = timeout(common::WAIT_TIMEOUT, read_chunks(&mut io)).await;
            (!is_whole.unwrap()).then_some(size)
        });
        let cut: Vec<_> = join_all(read).await.into_iter().flatten().collect();
        assert!(cut.is_empty(), "cut before the last {last} bytes: {cut:?}");
    }
}

/// Reads a response in chunks. Returns whether it is whole.
async fn read_chunks(io: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        if !matches!(io.read_buf(&mut bytes).await, Ok(1..)) {
            return false;
        }
    }
    true
}

/// All callers pause. What the edge holds for them has a bound, and those that take the most memory
/// are ended.
#[tokio::test(flavor = "multi_thread")]
async fn many_paused() {
    const CALLERS: usize = 150;
    let site = start(44, "limits.memory-mb=64\n").await;
    Worker::share_script(&site.workers, &[Action::Large(4); CALLERS]);
    let callers = join_all((0..CALLERS).map(|_| begin(&site, ""))).await;
    sleep(PAUSE).await;
    let held = site.edge().metric("nutmegbay_held_response_bytes").await;
    assert!(held <= 32 << 20, "{held}");
    let peak = site.edge().peak_memory();
    assert!(peak < 64 << 10, "{peak} KiB");
    assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    drop(callers);
}
