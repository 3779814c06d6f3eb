//! A part of a prompt that crashes the workers which answer it.

use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
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

/// Time for which requests come.
const TRAFFIC_TIME: Duration = Duration::from_secs(45);

/// Time between two requests with the part.
const BAD_SPACING: Duration = Duration::from_millis(1_000);

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

/// Requests with one part crash each worker that answers them, 0.7 s after their first event.
pub fn late_crash(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000, 16_384))?;
    for n in 0..WORKERS {
        site.start_worker(worker(&site, n, 0, has_trouble))?;
    }
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let end = Instant::now() + TRAFFIC_TIME;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (part, spacing) in [(BAD_PART, BAD_SPACING), ("600d", SOUND_SPACING)] {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        clients.push(thread::spawn(move || {
            let mut sent = Vec::new();
            for n in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let (record, at) = (record.clone(), fronts[n % fronts.len()]);
                sent.push(thread::spawn(move || {
                    let mut stream = Stream::new(&format!("{part}-{n}"), Duration::from_secs(5));
                    stream.prompt = format!(
                        "X-Model: m\r\nX-Token-Counts: 160,80\r\n\
                         X-Prompt-Prefix: 5c1e07a2:60,{part}:40,{}:60\r\n",
                        new_attempt()
                    );
                    stream.attempt(at, None, &record);
                    stream
                }));
                thread::sleep(spacing);
            }
            let joined = sent.into_iter().map(thread::JoinHandle::join);
            joined
                .filter_map(std::result::Result::ok)
                .collect::<Vec<_>>()
        }));
    }
    let mut crashes: Vec<Instant> = Vec::new();
    let mut boots = [0; WORKERS as usize];
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
        let ended: Vec<(String, Instant)> = site.with_workers(|workers| {
            let ended = workers.extract_if(.., |worker| worker.ended.is_some());
            ended
                .filter_map(|worker| Some((worker.options.id, worker.ended?)))
                .collect()
        });
        for (id, at) in ended {
            crashes.push(at);
            let n: u8 = id
                .split('-')
                .nth(1)
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            boots[usize::from(n)] += 1;
            // The worker is back after some seconds, as a new boot.
            let (wait, boot) = (
                DOWN_TIME.saturating_sub(at.elapsed()),
                boots[usize::from(n)],
            );
            site.start_at(Instant::now() + wait, worker(&site, n, boot, has_trouble));
        }
        site.start_due()?;
    }
    is_over.store(true, Ordering::Relaxed);
    let streams: Vec<Vec<Stream>> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let sound = streams.get(1).map_or(0, Vec::len);
    let begun = streams.get(1).into_iter().flatten();
    let begun = begun
        .filter(|stream| stream.events().next().is_some())
        .count();
    record.say(&format!(
        "{} crashes; sound requests: {sound}, begun: {begun}",
        crashes.len()
    ));
    crashes.sort_unstable();
    let Some(fifth) = crashes.get(KNOWN_AFTER - 1) else {
        return Ok(Verdict::Held);
    };
    let runs = site.runs.lock().unwrap().clone();
    let late = runs
        .iter()
        .filter(|run| run.at > *fifth + CONTACT && run.parts.contains(BAD_PART))
        .inspect(|run| record.add(&format!("LATE {} reached a worker", run.attempt)))
        .count();
    record.say(&format!(
        "requests with the part that reached workers later than {CONTACT:?} after the fifth crash: \
         {late}"
    ));
    Ok(if late > MAX_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
