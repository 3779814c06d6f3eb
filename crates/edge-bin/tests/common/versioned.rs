//! Streams whose events name the software version that wrote them, and a caller that keeps the
//! events of a stream over its tries.

use std::collections::BTreeSet;
use std::fmt::{self, Debug, Formatter, Write};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body_end::{Close, EVENTS_BEFORE_CUT};
use super::worker::{Action, EVENTS, header, stream_head};

/// Time without a byte after which a caller leaves: the platform's time for routes with a short
/// objective and short pauses.
const CALLER_IDLE_TIME: Duration = Duration::from_secs(2);

/// Time for which a caller usually waits, in milliseconds.
pub const DEADLINE_MS: u32 = 3_000;

/// Returns the event with number `n`.
pub fn event(version: &str, n: u32) -> String {
    format!("id: {n}\ndata: piece {n} of {version}\n\n")
}

/// Returns the report of a worker that has been running since `started_ms`, in milliseconds since
/// 1970.
pub fn report(started_ms: u64) -> String {
    let report = json!({"phase": "decode", "models": [], "busy": false, "seq": 0,
        "num-waiting": 0, "num-running": 0, "kv-used": 0, "kv-total": 90_000, "kv-handles": 0,
        "born": started_ms})
    .to_string();
    let len = report.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{report}"
    )
}

/// Returns a stream's response to an action of a worker with a software version, or `None` if the
/// version makes no difference.
pub fn response(version: &str, action: Action, head: &str) -> Option<(String, Close)> {
    let is_stream = head.split(' ').nth(1)?.starts_with("/stream/");
    let (last, close) = match action {
        _ if !is_stream || header(head, "x-serving-stage").is_some() => return None,
        Action::Serve | Action::Stream => (EVENTS, Close::Fin),
        Action::BreakAfter(last) => (last, Close::Fin),
        Action::End(end) if end.close == Close::Silence => (EVENTS_BEFORE_CUT, Close::Silence),
        _ => return None,
    };
    let after: u32 = header(head, "last-event-id").map_or(0, |id| id.parse().unwrap());
    let mut text = stream_head(header(head, "x-attempt-id").unwrap_or_default());
    for n in after + 1..=last {
        let event = event(version, n);
        write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
    }
    text += match close {
        Close::Silence => "",
        _ if last == EVENTS => "0\r\n\r\n",
        _ => "5\r\nid: 9\r\n",
    };
    Some((text, close))
}

/// How an attempt of a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The stream ended with its last event.
    Complete,
    /// The response ended early, or there was none.
    BrokenOff,
    /// The response has this status, and no events.
    Refused(u16),
    /// The caller left because it had all the events that it wanted.
    Left,
    /// The caller left because nothing came for too long.
    TimedOut,
}

/// What a caller has of a stream.
pub struct HeldStream {
    /// Id of the only block of the prompt, and its size in tokens.
    prompt: u32,
    prompt_tokens: u32,
    /// Time for which its caller states to wait.
    deadline_ms: u32,
    /// Source of the ids of the attempts.
    rng: StdRng,
    /// Id of the attempt that brought the first event.
    origin: Option<String>,
    /// Id of the last attempt.
    last_attempt: String,
    /// Number and text of each event.
    events: Vec<(u32, String)>,
}

impl HeldStream {
    /// Returns a stream that has not begun, with a prompt of its own.
    pub fn new() -> Self {
        Self::seeded(rand::random())
    }

    /// Returns a stream as [`Self::new`] does, whose caller waits for `deadline_ms`.
    pub fn waiting(deadline_ms: u32) -> Self {
        Self {
            deadline_ms,
            ..Self::new()
        }
    }

    /// Returns a stream whose prompt and attempts depend on a seed.
    pub fn seeded(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            prompt: rng.random(),
            prompt_tokens: 60,
            deadline_ms: DEADLINE_MS,
            rng,
            origin: None,
            last_attempt: String::new(),
            events: Vec::new(),
        }
    }

    /// Makes the prompt long, so that it is prefilled apart.
    pub fn with_long_prompt(mut self) -> Self {
        self.prompt_tokens = 20_000;
        self
    }

    /// Sends an attempt, which takes the stream up if there are events of it. Leaves once there are
    /// `wanted` events, or reads until the end of the response.
    pub async fn attempt(&mut self, at: SocketAddr, path: &str, wanted: Option<u32>) -> Outcome {
        let id = format!("{:016x}", self.rng.random::<u64>());
        self.last_attempt.clone_from(&id);
        let Ok(mut io) = TcpStream::connect(at).await else {
            return Outcome::BrokenOff;
        };
        if io.write_all(self.head(path, &id).as_bytes()).await.is_err() {
            return Outcome::BrokenOff;
        }
        let held = self.events.len();
        let mut bytes = Vec::new();
        loop {
            let read = timeout(CALLER_IDLE_TIME, io.read_buf(&mut bytes)).await;
            let (status, text, is_complete) = parse(&bytes);
            self.events.truncate(held);
            self.events.extend(parse_events(&text));
            if self.events.len() > held {
                self.origin.get_or_insert(id.clone());
            }
            match status {
                Some(200) if is_complete => return Outcome::Complete,
                Some(status) if status != 200 => return Outcome::Refused(status),
                _ if wanted.is_some_and(|n| self.last() >= n) => return Outcome::Left,
                _ => {}
            }
            match read {
                Err(_) => return Outcome::TimedOut,
                Ok(Ok(1..)) => {}
                Ok(_) => return Outcome::BrokenOff,
            }
        }
    }

    fn head(&self, path: &str, id: &str) -> String {
        let taken_up = match &self.origin {
            Some(origin) => format!("Resumes: {origin}\r\nLast-Event-Id: {}\r\n", self.last()),
            None => String::new(),
        };
        let Self {
            prompt,
            prompt_tokens,
            deadline_ms,
            ..
        } = self;
        format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: k1\r\nX-Token-Counts: {prompt_tokens},5\r\n\
             X-Prompt-Prefix: {prompt:x}:{prompt_tokens}\r\n{taken_up}Content-Length: 0\r\n\r\n"
        )
    }

    /// Returns the number of the last event, or 0.
    pub fn last(&self) -> u32 {
        self.events.last().map_or(0, |(n, _)| *n)
    }

    /// Returns the id of the last attempt.
    pub fn last_attempt(&self) -> &str {
        &self.last_attempt
    }

    /// Returns the software versions that wrote the events.
    pub fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().map(|(_, text)| version(text)).collect()
    }

    /// Returns the numbers of the events.
    pub fn numbers(&self) -> Vec<u32> {
        self.events.iter().map(|(n, _)| *n).collect()
    }
}

/// Contains the first and the last number of the events that each version wrote in a row.
impl Debug for HeldStream {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let rows = self.events.chunk_by(|a, b| version(&a.1) == version(&b.1));
        let rows = rows.map(|row| (row[0].0, row[row.len() - 1].0, version(&row[0].1)));
        f.debug_list().entries(rows).finish()
    }
}

/// Returns the software version that wrote an event.
fn version(event: &str) -> &str {
    event.rsplit_once(" of ").map_or("", |(_, version)| version)
}

/// Returns the status, the body without its framing and whether the response is complete.
fn parse(bytes: &[u8]) -> (Option<u16>, String, bool) {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return (None, String::new(), false);
    };
    let head = std::str::from_utf8(&bytes[..end]).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().ok();
    let mut rest = &bytes[end + 4..];
    let mut text = String::new();
    while let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
        let len = std::str::from_utf8(&rest[..at]).unwrap();
        let len = usize::from_str_radix(len, 16).unwrap_or(usize::MAX);
        match rest.get(at + 2..(at + 4).saturating_add(len)) {
            Some(_) if len == 0 => return (status, text, true),
            Some(chunk) => text += std::str::from_utf8(&chunk[..len]).unwrap(),
            None => break,
        }
        rest = &rest[at + 4 + len..];
    }
    (status, text, false)
}

fn parse_events(text: &str) -> Vec<(u32, String)> {
    let (whole, _) = text.rsplit_once("\n\n").unwrap_or_default();
    let events = whole.split("\n\n").filter(|event| !event.is_empty());
    events
        .map(|event| {
            let (id, data) = event.split_once('\n').unwrap();
            let n = id.strip_prefix("id: ").unwrap().parse().unwrap();
            (n, data.into())
        })
        .collect()
}
