//! Stand-in for a worker. It runs as a process of its own, so that its crash is a real one, and
//! writes what it runs to its standard output.

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head, respond};

/// Time that a plain request takes.
const WORK_TIME: Duration = Duration::from_millis(15);

/// What a worker is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    pub addr: SocketAddr,
    pub id: String,
    /// Version of its software, which it names in the events of its streams.
    pub version: String,
    /// Number of events of a stream, and the time between two of them.
    pub events: u32,
    pub event_ms: u64,
    /// Part of a prompt on which the worker crashes.
    pub crash_part: Option<String>,
    /// Time from the first event of such a request to the crash.
    pub crash_after_ms: u64,
    /// Every so many orders that it has carried out, the worker answers with a failure. 0 for none.
    pub fail_every: u64,
}

impl Options {
    /// Describes a worker in order, whose streams have `events` events, one each `event_ms`.
    pub fn new(addr: SocketAddr, id: &str, version: &str, events: u32, event_ms: u64) -> Self {
        Self {
            addr,
            id: id.into(),
            version: version.into(),
            events,
            event_ms,
            crash_part: None,
            crash_after_ms: 0,
            fail_every: 0,
        }
    }

    /// Returns the words of the command line.
    pub fn words(&self) -> Vec<String> {
        let part = self.crash_part.clone().unwrap_or_else(|| "-".into());
        vec![
            "worker".into(),
            self.addr.to_string(),
            self.id.clone(),
            self.version.clone(),
            self.events.to_string(),
            self.event_ms.to_string(),
            part,
            self.crash_after_ms.to_string(),
            self.fail_every.to_string(),
        ]
    }

    /// Reads the words of the command line.
    pub fn parse(words: &[String]) -> Option<Self> {
        let [addr, id, version, events, event_ms, part, after, fail] = words else {
            return None;
        };
        Some(Self {
            addr: addr.parse().ok()?,
            id: id.clone(),
            version: version.clone(),
            events: events.parse().ok()?,
            event_ms: event_ms.parse().ok()?,
            crash_part: (part != "-").then(|| part.clone()),
            crash_after_ms: after.parse().ok()?,
            fail_every: fail.parse().ok()?,
        })
    }
}

/// Serves until the process is killed.
pub fn run(options: Options) -> Result<()> {
    let listener = TcpListener::bind(options.addr)?;
    say("listens");
    let options = Arc::new(options);
    let runs = Arc::new(AtomicU64::new(0));
    for io in listener.incoming().flatten() {
        let (options, runs) = (Arc::clone(&options), Arc::clone(&runs));
        thread::spawn(move || serve(&options, &runs, io));
    }
    Ok(())
}

/// Writes a line to the standard output at once.
fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn serve(options: &Options, runs: &AtomicU64, io: TcpStream) -> Result<()> {
    io.set_nodelay(true)?;
    let mut out = io.try_clone()?;
    let mut input = BufReader::new(io);
    while let Some(head) = read_head(&mut input)? {
        read_body(&mut input, &head)?;
        answer(options, runs, &mut out, &head)?;
    }
    Ok(())
}

fn answer(options: &Options, runs: &AtomicU64, out: &mut TcpStream, head: &Head) -> Result<()> {
    let attempt = head.get("x-attempt-id").unwrap_or_default();
    let echo = format!("X-Attempt-Id: {attempt}\r\n");
    if head.word(1).starts_with("/healthz") {
        let id = format!("X-Instance-Id: {}\r\n", options.id);
        return respond(out, "200 OK", &id, b"");
    }
    if head
        .get("x-expect-instance")
        .is_some_and(|id| id != options.id)
    {
        let headers = format!("{echo}X-Instance-Id: {}\r\n", options.id);
        return respond(out, "421 Misdirected Request", &headers, b"");
    }
    let run = runs.fetch_add(1, Ordering::Relaxed);
    let parts = head.get("x-prompt-prefix").unwrap_or("-");
    say(&format!("run {attempt} {parts} {}", head.word(1)));
    let seal = format!("{echo}X-Server-Seal: {}.{run}\r\n", options.id);
    if !head.word(1).starts_with("/stream/") {
        thread::sleep(WORK_TIME);
        let is_order = head.word(1).starts_with("/order/");
        if is_order && options.fail_every > 0 && (run + 1) % options.fail_every == 0 {
            // The order was carried out, so the answer bears no X-Not-Executed.
            return respond(out, "503 Service Unavailable", &seal, b"failed");
        }
        return respond(out, "200 OK", &seal, b"done");
    }
    let last: u32 = head
        .get("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let crashes = options.crash_part.as_deref().is_some_and(|part| {
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        shared
            .split(',')
            .any(|entry| entry.split(':').next() == Some(part))
    });
    if crashes {
        let after = options.crash_after_ms;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(after));
            say("crash");
            std::process::exit(1);
        });
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    for event in last + 1..=options.events {
        if event > last + 1 {
            thread::sleep(Duration::from_millis(options.event_ms));
        }
        let text = format!(
            "id: {event}\ndata: {} {} {run}\n\n",
            options.version, options.id
        );
        out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    out.write_all(b"0\r\n\r\n")
}
