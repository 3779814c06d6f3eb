//! Guards against requests that come late in the grace time of a planned stop, are passed on, and
//! are cut off when the process exits.

mod common;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use common::worker::{Action, header};
use common::{Site, WAIT_TIMEOUT, config};
use futures::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(4);

/// Time after SIGTERM at which a request comes late: about half a second is left.
const LATE: Duration = Duration::from_secs(3);

/// Number of connections that wait to be accepted when the listener is closed.
const QUEUED: usize = 20;

/// A site whose routes have a long timeout, and whose edge has [`GRACE`].
async fn start(test: u8) -> Site {
    let mut site = Site::start(test, 1).await;
    let settings = format!("bounds.grace-s={}\n", GRACE.as_secs());
    site.edge_mut().restart_with(&settings);
    let mut config = config(2, &["k1"]);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(15_000);
        route["resumable"] = json!(false);
    }
    site.store.put("keyed.op", "config", &config);
    site.wait_until_ready().await;
    site
}

/// Returns the head of a request with a long deadline. `len` is the length of its body.
fn head(path: &str, len: usize) -> String {
    let id: u64 = rand::random();
    let mut head = format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: k1\r\n");
    write!(
        head,
        "X-Attempt-Id: {id:016x}\r\nX-Deadline-Ms: 15000\r\nContent-Length: {len}\r\n\r\n"
    )
    .unwrap();
    head
}

/// A caller's connection.
struct Caller(TcpStream);

impl Caller {
    async fn connect(at: SocketAddr) -> Self {
        Self(TcpStream::connect(at).await.unwrap())
    }

    async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the connection ends. Returns an empty text if it was reset.
    async fn read(mut self) -> String {
        let mut text = Vec::new();
        // What was read before an error counts.
        let _ = timeout(WAIT_TIMEOUT, self.0.read_to_end(&mut text)).await;
        String::from_utf8(text).unwrap()
    }
}

#[track_caller]
fn assert_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503 "), "got {answer:?}");
    assert!(answer.contains("not_run"), "got {answer:?}");
    assert!(header(answer, "retry-after").is_some(), "got {answer:?}");
    assert_eq!(header(answer, "connection"), Some("close"));
}

/// A request whose body comes late was passed on and cut off.
#[tokio::test(flavor = "multi_thread")]
async fn slow_body() {
    let site = start(140).await;
    site.workers[0].script(&[Action::SlowPrefill; 3]);
    for _ in 0..3 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    site.workers[0].clear_requests();
    site.workers[0].script(&[Action::SlowPrefill; 2]);
    let mut caller = Caller::connect(site.edge().ingress()).await;
    caller.send(&(head("/once/1", 4) + "ab")).await;
    site.signal("TERM");
    sleep(LATE).await;
    caller.send("cd").await;
    let answer = caller.read().await;
    assert_refused(&answer);
    assert_eq!(site.runs(), 0);
}

/// A request whose head comes late was passed on and cut off.
#[tokio::test(flavor = "multi_thread")]
async fn late_head() {
    let site = start(141).await;
    site.workers[0].script(&[Action::SlowPrefill; 3]);
    for _ in 0..3 {
        assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    }
    site.workers[0].clear_requests();
    site.workers[0].script(&[Action::SlowPrefill; 2]);
    let mut caller = Caller::connect(site.edge().ingress()).await;
    let head = head("/any/1", 0);
    let (first, rest) = head.split_at(30);
    caller.send(first).await;
    site.signal("TERM");
    sleep(LATE).await;
    caller.send(rest).await;
    let answer = caller.read().await;
    assert_refused(&answer);
    assert_eq!(site.runs(), 0);
}

/// A request that usually takes milliseconds is served, although its limit is longer than the grace
/// time.
#[tokio::test(flavor = "multi_thread")]
async fn short_requests() {
    let site = start(142).await;
    for _ in 0..20 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    let mut slow = Caller::connect(site.edge().ingress()).await;
    slow.send(&(head("/once/1", 4) + "ab")).await;
    site.signal("TERM");
    let stopped_at = Instant::now();
    for after_ms in [100, 1_000, 2_400] {
        sleep_until(stopped_at + Duration::from_millis(after_ms)).await;
        let mut caller = Caller::connect(site.edge().ingress()).await;
        caller.send(&head("/once/1", 0)).await;
        let answer = caller.read().await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "got {answer:?}");
    }
    sleep_until(stopped_at + LATE).await;
    slow.send("cd").await;
    let answer = slow.read().await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "got {answer:?}");
}

/// A request that still ran when the process exited got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn running_at_exit() {
    let site = start(143).await;
    for _ in 0..20 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    site.workers[0].clear_requests();
    site.workers[0].script(&[Action::Hang]);
    let mut running = Caller::connect(site.edge().ingress()).await;
    running.send(&head("/once/1", 0)).await;
    let mut unfinished = Caller::connect(site.edge().ingress()).await;
    unfinished.send(&(head("/once/1", 4) + "ab")).await;
    site.wait_until("the worker has the request", async || site.runs() == 1)
        .await;
    site.signal("TERM");
    let (running, unfinished) = tokio::join!(running.read(), unfinished.read());
    assert!(running.starts_with("HTTP/1.1 502 "), "got {running:?}");
    assert!(running.contains("may_have_run"), "got {running:?}");
    assert_refused(&unfinished);
}

/// Connections that waited to be accepted when the listener was closed were reset.
#[tokio::test(flavor = "multi_thread")]
async fn queued_connections() {
    let site = start(144).await;
    for _ in 0..20 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    site.signal("TERM");
    let stopped_at = Instant::now();
    sleep_until(stopped_at + Duration::from_millis(2_300)).await;
    site.signal("STOP");
    let mut callers = Vec::new();
    for _ in 0..QUEUED {
        let mut caller = Caller::connect(site.edge().ingress()).await;
        caller.send(&head("/once/1", 0)).await;
        callers.push(caller);
    }
    sleep_until(stopped_at + Duration::from_millis(2_900)).await;
    site.signal("CONT");
    let answers = join_all(callers.into_iter().map(Caller::read)).await;
    let served = |answer: &&String| answer.starts_with("HTTP/1.1 200 ");
    assert_eq!(answers.iter().filter(served).count(), QUEUED);
}

/// A stream that still runs when the process exits must not look complete.
#[tokio::test(flavor = "multi_thread")]
async fn stream_at_exit() {
    let site = start(145).await;
    site.workers[0].script(&[Action::Trickle]);
    let mut caller = Caller::connect(site.edge().ingress()).await;
    caller.send(&head("/stream/1", 0)).await;
    site.wait_until("the worker has the request", async || site.runs() == 1)
        .await;
    site.signal("TERM");
    let answer = caller.read().await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "got {answer:?}");
    assert!(!answer.ends_with("\r\n0\r\n\r\n"), "got {answer:?}");
}
