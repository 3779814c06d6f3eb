//! A part of a prompt that crashes the workers which answer it.

use std::io::Result;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Stream, new_attempt};
use crate::site::{CONTACT, Record, Site, config};
use crate::worker::Options;

/// Part on which workers crash.
const BAD_PART: &str = "f00d";

/// Time from the first event of such an answer to the crash, in milliseconds.
const CRASH_AFTER_MS: u64 = 700;

/// Time from a crash until the worker is back.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Time for which requests with the part come.
const TRAFFIC_TIME: Duration = Duration::from_secs(45);

/// Time for which only sound requests come at first.
const CALM_TIME: Duration = Duration::from_secs(8);

/// Time between two requests with the part.
const BAD_SPACING: Duration = Duration::from_secs(1);

/// Time between two sound requests.
const SOUND_SPACING: Duration = Duration::from_millis(200);

/// Crashes after which the system has to know the part.
const KNOWN_AFTER: usize = 5;

/// Requests with the part that may reach workers later than `contact-ms` after that.
const MAX_LATE: usize = 3;

const WORKERS: u8 = 4;

fn worker(site: &Site, n: u8, boot: u32, has_trouble: bool) -> Options {
    let after = std::env::var("CRASH_AFTER_MS")
        .ok()
        .and_then(|ms| ms.parse().ok());
    Options {
        crash_part: has_trouble.then(|| BAD_PART.into()),
        crash_after_ms: after.unwrap_or(CRASH_AFTER_MS),
        ..Options::new(site.worker_addr(n), &format!("i-{n}-{boot}"), "v1", 20, 60)
    }
}

/// A client's request, and when it was sent.
type Sent = JoinHandle<Stream>;

/// Sends a request whose prompt contains `part`. No two prompts are alike, but they share their
/// first part and their caller.
fn send(part: &str, n: usize, at: SocketAddr, record: &Record) -> Sent {
    let mut stream = Stream::new(&format!("{part}-{n}"), Duration::from_secs(5));
    stream.prompt = format!(
        "X-Model: m\r\nX-Token-Counts: 160,80\r\n\
         X-Prompt-Prefix: 5c1e07a2:60,{part}:40,{}:60\r\n",
        new_attempt()
    );
    let record = record.clone();
    thread::spawn(move || {
        stream.attempt(at, None, &record);
        stream
    })
}

/// Requests with one part crash each worker that answers them, 0.7 s after their first event.
pub fn late_crash(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000))?;
    for n in 0..WORKERS {
        site.start_worker(worker(&site, n, 0, has_trouble))?;
    }
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let began = Instant::now();
    let (mut bad, mut sound): (Vec<Sent>, Vec<Sent>) = Default::default();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut boots = [0; WORKERS as usize];
    while began.elapsed() < CALM_TIME + TRAFFIC_TIME {
        thread::sleep(Duration::from_millis(10));
        if began.elapsed() >= SOUND_SPACING * sound.len() as u32 {
            let n = sound.len();
            sound.push(send("600d", n, fronts[n % fronts.len()], &record));
        }
        if began.elapsed() >= CALM_TIME + BAD_SPACING * bad.len() as u32 {
            let n = bad.len();
            bad.push(send(BAD_PART, n, fronts[n % fronts.len()], &record));
        }
        for (id, at) in take_ended(&site) {
            crashes.push(at);
            let n: u8 = id.split('-').nth(1).map_or(0, |n| n.parse().unwrap_or(0));
            let boot = &mut boots[usize::from(n)];
            *boot += 1;
            // The worker is back after some seconds, as a new boot.
            site.start_at(at + DOWN_TIME, worker(&site, n, *boot, has_trouble));
        }
        site.start_due()?;
    }
    let bad = join(bad);
    let sound = join(sound);
    crashes.sort_unstable();
    Ok(judge(&site, &crashes, &bad, &sound, began + CALM_TIME))
}

/// Returns the workers that have ended since the last call, with the time.
fn take_ended(site: &Site) -> Vec<(String, Instant)> {
    site.with_workers(|workers| {
        let ended = workers.extract_if(.., |worker| worker.ended.is_some());
        ended
            .filter_map(|worker| Some((worker.options.id, worker.ended?)))
            .collect()
    })
}

fn join(sent: Vec<Sent>) -> Vec<Stream> {
    let joined = sent.into_iter().map(JoinHandle::join);
    joined.filter_map(std::result::Result::ok).collect()
}

/// Judges BUDGET: more than three requests with the part reach workers later than `contact-ms`
/// after the fifth crash. Reports besides what became of sound requests.
fn judge(
    site: &Site,
    crashes: &[Instant],
    bad: &[Stream],
    sound: &[Stream],
    trouble_at: Instant,
) -> Verdict {
    let record = &site.record;
    let share = |from: Instant, until: Option<Instant>| {
        let sent = sound.iter().filter(|stream| {
            let at = stream.attempts[0].sent;
            at >= from && until.is_none_or(|until| at < until)
        });
        let sent: Vec<_> = sent.collect();
        let begun = sent.iter().filter(|s| s.events().next().is_some()).count();
        let complete = sent.iter().filter(|s| s.is_complete()).count();
        format!(
            "{} sound requests, {begun} begun, {complete} complete",
            sent.len()
        )
    };
    let before = share(trouble_at - CALM_TIME, Some(trouble_at));
    record.say(&format!(
        "{} crashes by {} requests with the part; before them {before}",
        crashes.len(),
        bad.len(),
    ));
    let Some(fifth) = crashes.get(KNOWN_AFTER - 1) else {
        return Verdict::Held;
    };
    let runs = site.runs.lock().unwrap().clone();
    let late = runs
        .iter()
        .filter(|run| run.at > *fifth + CONTACT && run.parts.contains(BAD_PART))
        .inspect(|run| record.add(&format!("LATE {} reached a worker", run.attempt)))
        .count();
    let after = share(*fifth + CONTACT * 2, None);
    record.say(&format!(
        "later than {CONTACT:?} after the fifth crash, {late} requests with the part reached \
         workers; from {:?} on {after}",
        CONTACT * 2
    ));
    if late > MAX_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
