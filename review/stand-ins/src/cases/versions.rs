//! Streams while two software versions of the workers serve side by side.

use std::io::Result;
use std::net::SocketAddr;
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
    /// Time at which the client closes its first channel, if it does.
    leave_at: Option<Instant>,
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
                let wait = asked.max(*wait);
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
    let site = Site::start(record.clone(), &config(2_000, 16_384))?;
    start_workers(&site, 2, 6, 15, 100)?;
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let retries = Retries {
        waits: [1, 2, 4, 4].map(Duration::from_secs).into(),
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
    let site = Site::start(record.clone(), &config(15_000, 16_384))?;
    start_workers(&site, 1, 3, 30, 100)?;
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let retries = Retries {
        waits: [700; 4].map(Duration::from_millis).into(),
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

/// All edges are killed at the same moment while workers of two versions serve. Their clients take
/// the streams up again, also once the edges are in touch.
pub fn all_edges(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000, 16_384))?;
    start_workers(&site, 2, 2, 40, 200)?;
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let trouble_at = Instant::now() + Duration::from_secs(2);
    let retries = Retries {
        waits: [1, 2, 4].map(Duration::from_secs).into(),
        // Without the disruption, the clients' channels break at the same time.
        leave_at: (!has_trouble).then_some(trouble_at),
    };
    let clients = begin(&site, &fronts, STREAMS, &retries);
    thread::sleep(trouble_at.saturating_duration_since(Instant::now()));
    let in_touch_at = if has_trouble {
        site.kill_and_restart_edges()? + CONTACT
    } else {
        trouble_at
    };
    thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    let once = Retries {
        waits: Vec::new(),
        leave_at: None,
    };
    let new = join(begin(&site, &fronts, STREAMS, &once));
    let old = join(clients);
    Ok(judge_taken_up(&record, &old, &new, in_touch_at))
}

/// Judges LOST: of 12 or more streams that clients take up again at machines in touch, the share
/// that goes on is under half of the share of new streams that begin.
fn judge_taken_up(
    record: &Record,
    old: &[Stream],
    new: &[Stream],
    in_touch_at: Instant,
) -> Verdict {
    let taken_up: Vec<_> = old
        .iter()
        .flat_map(|stream| &stream.attempts)
        .filter(|attempt| attempt.takes_up && attempt.sent >= in_touch_at)
        .collect();
    let gone_on = taken_up.iter().filter(|a| !a.events.is_empty()).count();
    let begun = new.iter().filter(|stream| stream.events().next().is_some());
    let begun = begun.count();
    let complete = old.iter().filter(|stream| stream.is_complete()).count();
    record.say(&format!(
        "{} streams of clients, {complete} complete; taken up at edges in touch: {}, gone on: \
         {gone_on}; new streams: {}, begun: {begun}",
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
