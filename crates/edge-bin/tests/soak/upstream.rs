//! An upstream that streams events over a time, names its software version in them, breaks off
//! some streams and falls silent for a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::common::listen;
use crate::common::versioned::{event, report};
use crate::common::worker::{header, stream_head};

/// Number of events of a stream.
pub const EVENTS: u32 = 20;

/// Pause between two events.
const PACE: Duration = Duration::from_millis(30);

/// Minimum time between two silences.
const SILENCE_GAP: Duration = Duration::from_secs(1);

/// Probability that an upstream breaks a stream off.
const BREAK_PROBABILITY: f64 = 0.25;

/// How a run of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    /// The upstream broke the stream off, crashed or left.
    BrokenOff,
    /// The edge closed the connection while the upstream was silent, or within a pause after it.
    ClosedInSilence,
    /// The edge closed the connection at another time.
    Closed,
}

/// A run of a stream.
#[derive(Debug, Clone)]
#[expect(
    dead_code,
    reason = "the message of a failed check contains all fields"
)]
pub struct Run {
    upstream: Box<str>,
    version: Box<str>,
    /// Number of the last event before the run.
    pub after: u32,
    pub end: RunEnd,
}

/// Runs of each attempt, in order. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, Vec<Run>>>>);

impl Runs {
    /// Returns the runs of an attempt.
    pub fn of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.get(attempt).cloned().unwrap_or_default()
    }

    /// Returns the number of runs.
    pub fn total(&self) -> u64 {
        let runs = self.0.lock().unwrap();
        runs.values().map(|runs| runs.len() as u64).sum()
    }

    /// Records that a run begins, and returns its index.
    fn begin(&self, attempt: &str, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap();
        let runs = runs.entry(attempt.into()).or_default();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, attempt: &str, run: usize, end: RunEnd) {
        self.0.lock().unwrap().get_mut(attempt).unwrap()[run].end = end;
    }
}

/// A running upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    id: Box<str>,
    version: Box<str>,
    started_ms: u64,
    runs: Runs,
    /// Ends the upstream and its connections.
    stop: CancellationToken,
    silent_until: Arc<Mutex<Instant>>,
}

impl Upstream {
    /// Starts an upstream that listens at `addr` and states that it started at `started_ms`, in
    /// milliseconds since 1970.
    pub async fn start(
        addr: SocketAddr,
        id: &str,
        version: &str,
        started_ms: u64,
        runs: Runs,
    ) -> Self {
        let upstream = Self {
            id: id.into(),
            version: version.into(),
            started_ms,
            runs,
            stop: CancellationToken::new(),
            silent_until: Arc::new(Mutex::new(Instant::now())),
        };
        let listener = listen(addr).await;
        let acceptor = upstream.clone();
        tokio::spawn(async move {
            let accept = async {
                while let Ok((io, _)) = listener.accept().await {
                    let (upstream, stop) = (acceptor.clone(), acceptor.stop.clone());
                    tokio::spawn(async move {
                        stop.run_until_cancelled(upstream.serve_connection(io))
                            .await;
                    });
                }
            };
            acceptor.stop.run_until_cancelled(accept).await;
        });
        upstream
    }

    /// Ends the upstream and its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Makes the upstream send nothing for `time`, unless it was silent a short time ago.
    pub fn fall_silent(&self, time: Duration) {
        let mut until = self.silent_until.lock().unwrap();
        if until.elapsed() > SILENCE_GAP {
            *until = Instant::now() + time;
        }
    }

    async fn serve_connection(self, mut io: TcpStream) {
        while let Some(head) = read_head(&mut io).await {
            let attempt = header(&head, "x-attempt-id").unwrap_or_default();
            let is_other = header(&head, "x-expect-instance").is_some_and(|id| *id != *self.id);
            let is_stream = head
                .split(' ')
                .nth(1)
                .is_some_and(|path| path.starts_with("/stream/"));
            let is_prefill = header(&head, "x-serving-stage").is_some();
            let stays_open = if is_stream && is_prefill && !is_other {
                io.write_all(prefill_result(attempt).as_bytes())
                    .await
                    .is_ok()
            } else if is_stream && !is_other {
                self.stream(&mut io, &head, attempt).await
            } else if head.starts_with("GET /-/report ") && !is_other {
                let report = report(self.started_ms);
                io.write_all(report.as_bytes()).await.is_ok()
            } else {
                let (status, extra) = if is_other {
                    ("421 Other", "X-Not-Executed: 1\r\n")
                } else {
                    ("200 OK", "X-Server-Seal: s1\r\n")
                };
                let id = &self.id;
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n\
                     {extra}Content-Length: 0\r\n\r\n"
                );
                io.write_all(text.as_bytes()).await.is_ok()
            };
            if !stays_open {
                return;
            }
        }
    }

    /// Streams the events that are missing. Returns whether the connection stays open.
    async fn stream(&self, io: &mut TcpStream, head: &str, attempt: &str) -> bool {
        let after: u32 = header(head, "last-event-id").map_or(0, |id| id.parse().unwrap());
        let id = u64::from_str_radix(attempt, 16).unwrap();
        let mut rng = StdRng::seed_from_u64(id ^ u64::from(after));
        let break_after = rng
            .random_bool(BREAK_PROBABILITY)
            .then(|| rng.random_range(after..=EVENTS));
        let run = Run {
            upstream: self.id.clone(),
            version: self.version.clone(),
            after,
            // Holds until the end is known.
            end: RunEnd::BrokenOff,
        };
        let run = self.runs.begin(attempt, run);
        let mut sent = io.write_all(stream_head(attempt).as_bytes()).await;
        for n in after + 1..=EVENTS {
            let until = *self.silent_until.lock().unwrap();
            let was_silent = until + PACE > Instant::now();
            tokio::select! {
                () = sleep_until(until.max(Instant::now() + PACE)) => {}
                // The edge sends nothing within a response.
                _ = io.read_u8() => sent = Err(std::io::ErrorKind::ConnectionReset.into()),
            }
            if sent.is_err() {
                let end = if was_silent {
                    RunEnd::ClosedInSilence
                } else {
                    RunEnd::Closed
                };
                self.runs.end(attempt, run, end);
                return false;
            }
            if break_after.is_some_and(|last| n > last) {
                // The edge may have closed the connection.
                let _ = io.write_all(b"5\r\nid: 9\r\n").await;
                return false;
            }
            let event = event(&self.version, n);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            sent = io.write_all(chunk.as_bytes()).await;
        }
        self.runs.end(attempt, run, RunEnd::Complete);
        io.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

/// Returns the response to a prefill.
fn prefill_result(attempt: &str) -> String {
    let result = r#"{"transfer-handle":"h1","tokens":20000,"version":1}"#;
    let len = result.len();
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nContent-Length: {len}\r\n\r\n{result}")
}

async fn read_head(io: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(io.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}
