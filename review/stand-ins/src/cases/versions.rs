//! Streams while two software versions of the workers serve side by side.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Stream;
use crate::site::{CONTACT, Record, Site, config};
use crate::worker::Options;

/// Number of streams that begin at either version.
const STREAMS: usize = 24;

/// Time between two of them.
const SPACING: Duration = Duration::from_millis(20);

/// Streams of two versions from which the rule is broken.
const MAX_MIXED: usize = 2;

/// Time from a crash of a worker until it is back.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Edges of [`rolling_stop`], and the time from one stop to the next.
const EDGES: usize = 3;
const STOP_GAP: Duration = Duration::from_secs(2);

/// Time from the first stream to the first stop.
const CALM: Duration = Duration::from_secs(1);

/// Time between two streams that begin before and during the stops.
const OLD_SPACING: Duration = Duration::from_millis(60);

/// Time from SIGTERM until the edge is back at the latest.
const GRACE_MARGIN: Duration = Duration::from_millis(8_500);

/// Time limit of the clients.
const LIMIT: Duration = Duration::from_secs(15);

/// Starts the workers of both versions. Their streams last for `events` times `event_ms`.
fn start_workers(site: &Site, v1: u8, v2: u8, events: u32, event_ms: u64) -> Result<()> {
    for n in 0..v1 + v2 {
        let (id, version) = match n.checked_sub(v1) {
            None => (format!("i-a{n}"), "v1"),
            Some(n) => (format!("i-b{n}"), "v2"),
        };
        let addr = site.worker_addr(n);
        site.start_worker(Options::new(addr, &id, version, events, event_ms))?;
    }
    Ok(())
}

/// What a client does about a stream that broke off.
#[derive(Clone)]
struct Retries {
    /// Waits before each retry; longer where the answer asks for that.
    waits: Vec<Duration>,
    /// Difference of the whole wait between one client and the next, up to seven times.
    stagger: Duration,
    /// Time at which the client closes its first channel, if it does.
    leave_at: Option<Instant>,
}

/// Returns the waits before the retries of a client. It retries once, as on the sheets, after the
/// sum of `waits_ms`; with RETRIES=3 after each of them.
fn waits(waits_ms: [u64; 3]) -> Vec<Duration> {
    let is_once = std::env::var("RETRIES").map_or(true, |count| count != "3");
    if is_once {
        vec![Duration::from_millis(waits_ms.iter().sum())]
    } else {
        waits_ms.map(Duration::from_millis).into()
    }
}

/// Begins the streams of one client each, in turn at each of `fronts`.
fn begin(
    site: &Site,
    fronts: &[SocketAddr],
    count: usize,
    retries: &Retries,
) -> Vec<JoinHandle<Stream>> {
    let mut clients = Vec::new();
    for n in 0..count {
        let (fronts, retries) = (fronts.to_vec(), retries.clone());
        let record = site.record.clone();
        clients.push(thread::spawn(move || {
            let mut stream = Stream::new(&format!("s{n}"), LIMIT);
            stream.attempt(fronts[n % fronts.len()], retries.leave_at, &record);
            for (at, wait) in retries.waits.iter().enumerate() {
                let asked = stream
                    .attempts
                    .last()
                    .map_or(Duration::ZERO, |a| a.retry_after);
                let stagger = retries.stagger * (n % 8) as u32 / retries.waits.len() as u32;
                let wait = asked.max(*wait + stagger);
                if stream.is_complete() || Instant::now() + wait >= stream.until {
                    break;
                }
                thread::sleep(wait);
                // A retry goes to another edge on a new channel.
                stream.attempt(fronts[(n + at + 1) % fronts.len()], None, &record);
            }
            stream
        }));
        thread::sleep(SPACING);
    }
    clients
}

fn join(clients: Vec<JoinHandle<Stream>>) -> Vec<Stream> {
    let joined = clients.into_iter().map(JoinHandle::join);
    joined.filter_map(std::result::Result::ok).collect()
}

/// Judges ORDER: more than two streams hold events of two versions.
fn judge_order(record: &Record, streams: &[Stream]) -> Verdict {
    for stream in streams.iter().filter(|stream| stream.is_mixed()) {
        let events: Vec<_> = stream
            .events()
            .map(|event| format!("{}:{}", event.id, event.version))
            .collect();
        record.add(&format!("MIXED {}: {}", stream.name, events.join(" ")));
    }
    let mixed = streams.iter().filter(|stream| stream.is_mixed()).count();
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    record.say(&format!(
        "{} streams, {complete} complete, {mixed} hold events of two software versions",
        streams.len()
    ));
    if mixed > MAX_MIXED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The last workers of a version are lost for good. The clients of their streams come back within
/// their time limit, which is longer than the route's `timeout-ms`.
pub fn lost_version(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(2_000))?;
    start_workers(&site, 2, 6, 15, 100)?;
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let retries = Retries {
        waits: waits([2_000, 4_000, 5_000]),
        stagger: Duration::ZERO,
        leave_at: None,
    };
    let clients = begin(&site, &fronts, 3 * STREAMS, &retries);
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        site.kill_worker("i-a0")?;
        site.kill_worker("i-a1")?;
    }
    Ok(judge_order(&record, &join(clients)))
}

/// The last worker of a version crashes and starts again under its id, with the other version.
pub fn same_id(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000))?;
    start_workers(&site, 1, 3, 30, 100)?;
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let retries = Retries {
        waits: waits([700; 3]),
        stagger: Duration::from_millis(75),
        leave_at: None,
    };
    let clients = begin(&site, &fronts, 3 * STREAMS, &retries);
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        site.kill_worker("i-a0")?;
        thread::sleep(DOWN_TIME);
        site.start_worker(Options::new(site.worker_addr(0), "i-a0", "v2", 30, 100))?;
    }
    Ok(judge_order(&record, &join(clients)))
}

/// Edges as the platform sees them.
struct Rotation {
    fronts: Vec<SocketAddr>,
    /// Time of each edge's start, `None` from its SIGTERM until it is ready again.
    started: Mutex<Vec<Option<Instant>>>,
    next: AtomicUsize,
}

impl Rotation {
    /// Waits until an edge takes new channels, and returns one in turn.
    fn pick(&self) -> SocketAddr {
        loop {
            let n = self.next.fetch_add(1, Ordering::Relaxed) % self.fronts.len();
            if self.started.lock().unwrap()[n].is_some() {
                return self.fronts[n];
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns whether an attempt that is sent to `front` now meets an edge in touch.
    fn is_in_touch(&self, front: SocketAddr) -> bool {
        let n = self.fronts.iter().position(|at| *at == front);
        let started = self.started.lock().unwrap();
        let started = n.and_then(|n| started[n]);
        started.is_some_and(|at| at.elapsed() > CONTACT)
    }
}

/// A stream of [`rolling_stop`], and which of its attempts met an edge in touch.
struct Routed {
    stream: Stream,
    in_touch: Vec<bool>,
}

/// Makes attempts until the stream is complete or no retry is left. The client closes its first
/// channel at `leave_at`, if given.
fn run_routed(
    rotation: &Rotation,
    name: &str,
    leave_at: Option<Instant>,
    record: &Record,
) -> Routed {
    let mut routed = Routed {
        stream: Stream::new(name, LIMIT),
        in_touch: Vec::new(),
    };
    let Routed { stream, in_touch } = &mut routed;
    let waits = waits([100, 400, 500]);
    for wait in std::iter::once(Duration::ZERO).chain(waits) {
        let asked = stream
            .attempts
            .last()
            .map_or(Duration::ZERO, |a| a.retry_after);
        thread::sleep(asked.max(wait));
        if stream.is_complete() || Instant::now() >= stream.until {
            break;
        }
        let front = rotation.pick();
        in_touch.push(rotation.is_in_touch(front));
        let leave_at = leave_at.filter(|_| stream.attempts.is_empty());
        stream.attempt(front, leave_at, record);
    }
    routed
}

/// The edges are stopped as planned and started again, one after the other, while workers of two
/// versions serve. Streams that last longer than the grace time break off, and their clients take
/// them up again.
pub fn rolling_stop(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Arc::new(Site::start(record.clone(), &config(15_000))?);
    start_workers(&site, 2, 2, 60, 200)?;
    site.start_edges(EDGES)?;
    let rotation = Arc::new(Rotation {
        fronts: (0..EDGES).map(|n| site.front(n)).collect(),
        started: Mutex::new(vec![Some(Instant::now()); EDGES]),
        next: AtomicUsize::new(0),
    });
    thread::sleep(CONTACT * 2);
    let began = Instant::now();
    let break_at = began + CALM + STOP_GAP * (EDGES as u32 - 1) + GRACE_MARGIN;
    let leave_at = (!has_trouble).then_some(break_at);
    let begin = |name: String, leave_at| {
        let (rotation, record) = (Arc::clone(&rotation), record.clone());
        thread::spawn(move || run_routed(&rotation, &name, leave_at, &record))
    };
    let mut old = Vec::new();
    let mut stops = Vec::new();
    while began.elapsed() < CALM + STOP_GAP * (EDGES as u32 - 1) {
        let n = stops.len();
        if has_trouble && began.elapsed() >= CALM + STOP_GAP * n as u32 {
            stops.push(spawn_stop(&site, &rotation, n));
        }
        old.push(begin(format!("s{}", old.len()), leave_at));
        thread::sleep(OLD_SPACING);
    }
    if has_trouble {
        stops.push(spawn_stop(&site, &rotation, stops.len()));
    }
    thread::sleep(break_at.saturating_duration_since(Instant::now()));
    let mut new = Vec::new();
    for n in 0..STREAMS {
        new.push(begin(format!("n{n}"), None));
        thread::sleep(SPACING * 5);
    }
    let join = |clients: Vec<JoinHandle<Routed>>| -> Vec<Routed> {
        let joined = clients.into_iter().map(JoinHandle::join);
        joined.filter_map(std::result::Result::ok).collect()
    };
    let (old, new) = (join(old), join(new));
    for stop in stops {
        let _ = stop.join();
    }
    Ok(judge_taken_up(&record, &old, &new))
}

fn spawn_stop(site: &Arc<Site>, rotation: &Arc<Rotation>, n: usize) -> JoinHandle<()> {
    rotation.started.lock().unwrap()[n] = None;
    let (site, rotation) = (Arc::clone(site), Arc::clone(rotation));
    thread::spawn(move || {
        rotation.started.lock().unwrap()[n] = site.stop_and_restart_edge(n).ok();
    })
}

/// Judges LOST: of 12 or more streams that clients take up again at machines in touch, the share
/// that goes on is under half of the share of new streams that begin.
fn judge_taken_up(record: &Record, old: &[Routed], new: &[Routed]) -> Verdict {
    let attempts = |routed: &Routed| {
        let attempts = routed.stream.attempts.iter().cloned();
        attempts.zip(routed.in_touch.clone()).collect::<Vec<_>>()
    };
    // A stream counts by its last attempt that takes it up at an edge in touch.
    let last_taken_up = |routed: &Routed| {
        let attempts = attempts(routed).into_iter().rev();
        let mut taken_up = attempts.filter(|(a, in_touch)| a.takes_up && *in_touch);
        taken_up.next().map(|(attempt, _)| attempt)
    };
    let taken_up: Vec<_> = old.iter().filter_map(last_taken_up).collect();
    let gone_on = taken_up.iter().filter(|a| !a.events.is_empty()).count();
    let refused = taken_up.iter().filter(|a| a.status == Some(503)).count();
    let begun = new.iter().filter(|r| r.stream.events().next().is_some());
    let begun = begun.count();
    let complete = old.iter().filter(|r| r.stream.is_complete()).count();
    record.say(&format!(
        "{} streams of clients, {complete} complete; taken up at edges in touch: {}, gone on: \
         {gone_on}, refused: {refused}; new streams: {}, begun: {begun}",
        old.len(),
        taken_up.len(),
        new.len()
    ));
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    let is_broken =
        taken_up.len() >= 12 && share(gone_on, taken_up.len()) < share(begun, new.len()) / 2.0;
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
