//! Stand-in for clients.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Channel, Head, read_chunk};
use crate::site::{Record, now_ms};

/// Returns the id of a new client attempt.
pub fn new_attempt() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n:08x}", now_ms() as u32)
}

/// Returns the head of a request.
pub fn head(method: &str, path: &str, attempt: &str, left: Duration, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {}\r\nX-Api-Key: k1\r\n{extra}Content-Length: 0\r\n\r\n",
        left.as_millis()
    )
}

/// Event of a stream.
#[derive(Debug, Clone)]
pub struct Event {
    pub id: u32,
    /// Version of the software of the worker that wrote it.
    pub version: String,
}

/// Outcome of one client attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub sent: Instant,
    /// Whether it takes a stream up that another attempt has begun.
    pub takes_up: bool,
    /// Status, if there was an answer.
    pub status: Option<u16>,
    pub events: Vec<Event>,
    /// Whether the stream is complete.
    pub is_complete: bool,
    pub retry_after: Duration,
}

/// A stream that a client asks for, in several attempts if necessary.
pub struct Stream {
    pub name: String,
    pub path: String,
    /// Headers that describe the prompt.
    pub prompt: String,
    /// End of the client's time limit.
    pub until: Instant,
    pub attempts: Vec<Attempt>,
}

impl Stream {
    /// Returns a stream that is wanted within `limit`.
    pub fn new(name: &str, limit: Duration) -> Self {
        Self {
            name: name.into(),
            path: "/stream/2f".into(),
            prompt: format!(
                "X-Model: m\r\nX-Token-Counts: 160,80\r\n\
                 X-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40,{}:60\r\n",
                new_attempt()
            ),
            until: Instant::now() + limit,
            attempts: Vec::new(),
        }
    }

    /// Returns all events so far.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.attempts.iter().flat_map(|attempt| &attempt.events)
    }

    /// Returns whether the stream is complete.
    pub fn is_complete(&self) -> bool {
        self.attempts.last().is_some_and(|last| last.is_complete)
    }

    /// Returns whether workers of two software versions wrote it.
    pub fn is_mixed(&self) -> bool {
        let mut versions = self.events().map(|event| &event.version);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Makes one attempt on a new channel. `leave_at` is the time at which the client closes the
    /// channel, if it does.
    pub fn attempt(&mut self, at: SocketAddr, leave_at: Option<Instant>, record: &Record) {
        let begun = self.attempts.iter().find(|a| !a.events.is_empty());
        let begun = begun.map(|attempt| attempt.id.clone());
        let last = self.events().last().map_or(0, |event| event.id);
        let taken_up = match &begun {
            Some(origin) => format!("Resumes: {origin}\r\nLast-Event-Id: {last}\r\n"),
            None => String::new(),
        };
        let mut attempt = Attempt {
            id: new_attempt(),
            sent: Instant::now(),
            takes_up: begun.is_some(),
            status: None,
            events: Vec::new(),
            is_complete: false,
            retry_after: Duration::ZERO,
        };
        let left = self.until.saturating_duration_since(Instant::now());
        let extra = format!("{}{taken_up}", self.prompt);
        let text = head("POST", &self.path, &attempt.id, left, &extra);
        record.add(&format!(
            "client {} sends {} to {at}, after event {last}",
            self.name, attempt.id
        ));
        let end = self.until.min(leave_at.unwrap_or(self.until));
        let outcome = read_stream(at, &text, end, &mut attempt);
        let events: Vec<_> = attempt
            .events
            .iter()
            .map(|event| format!("{}:{}", event.id, event.version))
            .collect();
        record.add(&format!(
            "client {} got on {}: status {:?}, events [{}], complete {}, {}",
            self.name,
            attempt.id,
            attempt.status,
            events.join(" "),
            attempt.is_complete,
            outcome
                .err()
                .map_or("end".into(), |error| error.to_string())
        ));
        self.attempts.push(attempt);
    }
}

fn read_stream(at: SocketAddr, head: &str, end: Instant, attempt: &mut Attempt) -> Result<()> {
    let mut channel = Channel::open(at)?;
    let left = || end.saturating_duration_since(Instant::now());
    let answer = channel.send(head, left().max(Duration::from_millis(1)))?;
    attempt.status = Some(answer.status());
    attempt.retry_after = retry_after(&answer);
    if answer.status() != 200 {
        return Ok(());
    }
    let mut text = String::new();
    loop {
        if left().is_zero() {
            return Err(Error::other("the client leaves"));
        }
        channel.io.get_ref().set_read_timeout(Some(left()))?;
        let chunk = read_chunk(&mut channel.io)?;
        if chunk.is_empty() {
            attempt.is_complete = true;
            return Ok(());
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some((event, rest)) = text.split_once("\n\n") {
            attempt.events.extend(parse_event(event));
            text = rest.to_owned();
        }
    }
}

fn parse_event(text: &str) -> Option<Event> {
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    Some(Event {
        id: field("id: ")?.parse().ok()?,
        version: field("data: ")?.split(' ').next()?.into(),
    })
}

/// Returns how long the client is asked to wait.
pub fn retry_after(answer: &Head) -> Duration {
    let seconds = answer.get("retry-after").and_then(|text| text.parse().ok());
    Duration::try_from_secs_f64(seconds.unwrap_or(0.0)).unwrap_or_default()
}
