//! Case: all edge processes are killed at the same moment, and a release of the workers begins
//! before they are back.

#[path = "stand_in.rs"]
mod stand_in;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand_in::*;

/// Usual traffic: a stream of four seconds each 100 ms.
const CLIENTS: usize = 60;
const SPACING: Duration = Duration::from_millis(100);
const PACE: Pace = Pace {
    events: 40,
    gap: Duration::from_millis(100),
};

/// Number of new streams with which those that go on are compared.
const NEW_STREAMS: usize = 20;

/// Time until the edge processes run again.
const OUTAGE: Duration = Duration::from_millis(1_400);

/// Time for which a machine must have run to be in touch.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which a client waits, from its first attempt on.
const DEADLINE: Duration = Duration::from_millis(15_000);

/// Pauses of a client before it takes its stream up again: it does so once.
const PAUSES_MS: [u64; 1] = [5_000];

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, root, dir, record] = &args[..] else {
        eprintln!("usage: ROOT TEMPORARY-FOLDER RECORD");
        exit(2);
    };
    let record = Record::create(&PathBuf::from(record));
    exit(run(root.into(), dir.into(), &record));
}

/// A stream over all attempts of its client.
#[derive(Default)]
struct Stream {
    was_cut: bool,
    /// Whether it was taken up at a machine in touch.
    is_taken_up: bool,
    /// Whether it went on there.
    goes_on: bool,
    /// Whether it went on earlier.
    went_on_before: bool,
}

/// Time at which the machines were back.
type Back = Arc<Mutex<Option<Instant>>>;

fn run(root: PathBuf, dir: PathBuf, record: &Record) -> i32 {
    let octet = std::process::id() % 200 + 20;
    let ip = |n: u32| format!("127.95.{octet}.{n}");
    let addr = |n: u32, port: u16| -> SocketAddr { format!("{}:{port}", ip(n)).parse().unwrap() };
    let store = Store::start(addr(1, 8408), record.clone());
    store.put("keyed.op", "config", &config(15_000));
    let start_worker = |n: u32, version: &str| {
        let id = format!("i-{n}");
        Worker::start(&id, addr(10 + n, 8080), "notes", version, PACE, &store, record)
    };
    let mut workers: Vec<Worker> = (0..4).map(|n| start_worker(n, "v1")).collect();
    let deployment = Deployment {
        root: root.clone(),
        dir,
        store: addr(1, 8408),
        ports: [8405, 8406, 8407, 8409],
        seeds: vec![ip(2), ip(3), ip(4)],
        descriptors: None,
    };
    let mut edges: Vec<Edge> = (0..3)
        .map(|n| deployment.start_edge(&format!("front-{n}"), &ip(2 + n), &format!("z{n}")))
        .collect();
    if !edges.iter().all(Edge::wait_until_ready) {
        return 2;
    }
    thread::sleep(ms(6_000));
    let fronts: Vec<SocketAddr> = edges.iter().map(Edge::front).collect();
    let back: Back = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, fronts, back) = (record.clone(), fronts.clone(), back.clone());
            thread::spawn(move || {
                thread::sleep(SPACING * n as u32);
                client(n, &fronts, &back, &record)
            })
        })
        .collect();
    thread::sleep(SPACING * CLIENTS as u32);
    if !has_trouble() {
        leave_all();
        record.line("all clients leave");
    }
    if has_trouble() {
        edges.iter_mut().for_each(Edge::kill);
        record.line("all edge processes are killed");
    }
    thread::sleep(OUTAGE / 2);
    record.line("a release begins: the first worker of version v2 starts");
    workers.push(start_worker(4, "v2"));
    thread::sleep(OUTAGE / 2);
    if has_trouble() {
        edges.iter_mut().for_each(|edge| edge.restart(&root));
        record.line("all edge processes are started again");
    }
    *back.lock().unwrap() = Some(Instant::now());
    thread::sleep(CONTACT + ms(300));
    let new: Vec<_> = (0..NEW_STREAMS)
        .map(|n| {
            let (record, front) = (record.clone(), fronts[n % 3]);
            thread::spawn(move || ask_stream(front, "/notes/1", &new_id(), DEADLINE, "", &record))
        })
        .collect();
    let begun = new
        .into_iter()
        .map(|client| client.join().unwrap())
        .filter(|answer| !answer.events.is_empty())
        .count();
    let streams: Vec<Stream> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let count = |f: fn(&Stream) -> bool| streams.iter().filter(|stream| f(stream)).count();
    let cut = count(|stream| stream.was_cut);
    let before = count(|stream| stream.went_on_before);
    let taken_up = count(|stream| stream.is_taken_up);
    let go_on = count(|stream| stream.goes_on);
    let text = format!(
        "{cut} of {CLIENTS} streams were cut; {before} went on before the machines were in touch, \
         {taken_up} were taken up at machines in touch and {go_on} of these go on; {begun} of \
         {NEW_STREAMS} new streams begin"
    );
    record.line(&text);
    println!("{text}");
    if begun == 0 || (taken_up < 12 && before < 12) {
        return 2;
    }
    // The rule: of 12 or more streams that are taken up, the share that goes on is under half of the
    // share of new streams that begin.
    i32::from(taken_up >= 12 && 2 * go_on * NEW_STREAMS < taken_up * begun)
}

/// Asks for a stream, and takes it up where it was cut.
fn client(n: usize, fronts: &[SocketAddr], back: &Back, record: &Record) -> Stream {
    let began = Instant::now();
    let first = new_id();
    let answer = ask_stream(fronts[n % 3], "/notes/1", &first, DEADLINE, "", record);
    let mut stream = Stream::default();
    let Some((last, _)) = answer.events.last().cloned() else {
        return stream;
    };
    if answer.is_whole {
        return stream;
    }
    stream.was_cut = true;
    for (try_no, pause) in PAUSES_MS.iter().enumerate() {
        thread::sleep(ms(*pause));
        let left = DEADLINE.saturating_sub(began.elapsed());
        let extra = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        let sent = Instant::now();
        let front = fronts[(n + try_no) % 3];
        let answer = ask_stream(front, "/notes/1", &new_id(), left, &extra, record);
        let goes_on = !answer.events.is_empty();
        let is_in_touch = back.lock().unwrap().is_some_and(|at| sent >= at + CONTACT);
        stream.is_taken_up |= is_in_touch;
        stream.goes_on |= is_in_touch && goes_on;
        stream.went_on_before |= !is_in_touch && goes_on;
        if goes_on {
            return stream;
        }
    }
    stream
}
