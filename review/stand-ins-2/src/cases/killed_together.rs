//! All edges are killed at once while two software versions serve, and callers take their streams up.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cases::stopped_edge::{Attempt, CONFIG, SETTINGS, request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::worker::{Stream, Worker};

/// A stream of 13 s.
const STREAM: Stream = Stream {
    events: 260,
    event_bytes: 40,
    gap: Duration::from_millis(50),
};

/// Number of events after which callers leave their edges in a run without trouble.
const EVENTS_BEFORE: usize = 60;

const STREAMS: usize = 24;
const NEW_STREAMS: usize = 24;

/// Time from the kill until the processes start again.
const DOWN: Duration = Duration::from_millis(500);

/// Time from the kill until the callers come back: the edges have run for 4 s, and the rules with a
/// bound in time hold for a machine 3 s after its start.
const BACK_AFTER: Duration = Duration::from_millis(4_500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut site = Deployment::start(SETTINGS);
    let workers: Vec<_> = [(1, "v1"), (2, "v1"), (3, "v2"), (4, "v2")]
        .map(|(n, version)| {
            Worker::start(site.worker_address(n), &format!("i-{n}"), version, STREAM)
        })
        .into();
    let store = site.store.clone();
    for worker in &workers {
        store.put("keyed.servers", &worker.id, &worker.entry("lm", 1));
    }
    store.put("keyed.op", "config", CONFIG);
    for _ in 0..4 {
        site.start_edge(store.addr, store.addr);
    }
    if !site.wait_until_ready() {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(8));
    let fronts: Vec<_> = site.edges.iter().map(|edge| edge.front()).collect();
    let most = (!trouble).then_some(EVENTS_BEFORE);
    let begin = |n: usize, id: String, most| {
        let edge = fronts[n % fronts.len()];
        thread::spawn(move || request(edge, &id, None, most))
    };
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| begin(n, format!("a9900{n:011x}"), most))
        .collect();
    sleep(Duration::from_secs(3));
    let killed_at = Instant::now();
    if trouble {
        record.line("all edges are killed");
        for edge in &site.edges {
            edge.signal("KILL");
        }
        sleep(DOWN);
        for edge in &mut site.edges {
            edge.start_again();
        }
        record.line("all edges have been started again");
    }
    let streams: Vec<_> = streams
        .into_iter()
        .filter_map(|stream| stream.join().ok())
        .collect();
    sleep(BACK_AFTER.saturating_sub(killed_at.elapsed()));
    record.line("callers come back, and others begin");
    let taken_up: Vec<_> = streams
        .iter()
        .enumerate()
        .map(|(n, first)| take_up(n, first, &fronts))
        .collect();
    let begun: Vec<_> = (0..NEW_STREAMS)
        .map(|n| begin(n, format!("c9900{n:011x}"), Some(3)))
        .collect();
    let begun: Vec<_> = begun
        .into_iter()
        .filter_map(|stream| stream.join().ok())
        .collect();
    let taken_up: Vec<_> = taken_up
        .into_iter()
        .filter_map(|stream| stream.join().ok())
        .collect();
    for (kind, attempts) in [
        ("begun", &streams),
        ("taken up", &taken_up),
        ("new", &begun),
    ] {
        for attempt in attempts {
            record.line_at(attempt.at, &format!("{kind}: {}", attempt.text()));
        }
    }
    if streams
        .iter()
        .any(|first| first.status != 200 || first.last_event == 0)
    {
        return Verdict::NotRun;
    }
    let went_on = taken_up.iter().zip(&streams);
    let went_on = went_on
        .filter(|(later, first)| later.last_event > first.last_event)
        .count();
    let new_begun = begun
        .iter()
        .filter(|attempt| attempt.last_event > 0)
        .count();
    record.line(&format!(
        "streams taken up {}, of which went on {went_on}",
        taken_up.len()
    ));
    record.line(&format!(
        "new streams {}, of which began {new_begun}",
        begun.len()
    ));
    if taken_up.len() < 12 || begun.is_empty() {
        return Verdict::NotRun;
    }
    // The share that goes on is under half of the share of new streams that begin.
    if 2 * went_on * begun.len() < new_begun * taken_up.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Takes the stream of `first` up at another edge, once.
fn take_up(n: usize, first: &Attempt, fronts: &[SocketAddr]) -> thread::JoinHandle<Attempt> {
    let edge = fronts[(n + 1) % fronts.len()];
    let (id, last_event) = (first.id.clone(), first.last_event);
    thread::spawn(move || {
        request(
            edge,
            &format!("b9900{n:011x}"),
            Some((&id, last_event)),
            None,
        )
    })
}
