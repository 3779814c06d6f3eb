//! Case: one worker of eight is in trouble and sends interim heads without end, which are no answer,
//! until the caller closes.

#[path = "stand_in.rs"]
mod stand_in;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand_in::*;

/// Requests per second, each for a stream of 0.3 s.
const PER_S: u32 = 160;

/// Number of sound workers, beside the one that will be in trouble.
const SOUND: u32 = 7;
const PACE: Pace = Pace {
    events: 3,
    gap: Duration::from_millis(100),
};

/// Time limit of the route. Clients wait for longer.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Time after the route's limit by which an answer is due.
const SLACK: Duration = Duration::from_millis(500);

/// Time in which the worker is in trouble, and the end of the traffic.
const TROUBLE_FROM: Duration = Duration::from_millis(4_000);
const TROUBLE_TO: Duration = Duration::from_millis(9_000);
const END: Duration = Duration::from_millis(14_000);

/// What the worker sends on all of its channels together: 640 Mbit/s of the 1,000 of the edge's link.
const BYTES_PER_S: u64 = 80_000_000;

/// Interim heads in one piece.
const HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const HEADS_PER_PIECE: usize = 1_300;

/// Of so many requests, the worker in trouble answers the first ones with heads: 0.4 of them.
const SPOILED: (u64, u64) = (2, 5);

#[derive(Clone, Copy)]
struct Try {
    sent: Duration,
    /// Time from the request to the head of the answer.
    answered_after: Option<Duration>,
    status: u16,
    is_whole: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, root, dir, record] = &args[..] else {
        eprintln!("usage: ROOT TEMPORARY-FOLDER RECORD");
        exit(2);
    };
    let record = Record::create(&PathBuf::from(record));
    exit(run(root.into(), dir.into(), &record));
}

fn run(root: PathBuf, dir: PathBuf, record: &Record) -> i32 {
    let octet = std::process::id() % 200 + 20;
    let ip = |n: u32| format!("127.97.{octet}.{n}");
    let addr = |n: u32, port: u16| -> SocketAddr { format!("{}:{port}", ip(n)).parse().unwrap() };
    let quiet = Record::create(&dir.join("workers.txt"));
    let store = Store::start(addr(1, 8408), quiet.clone());
    store.put("keyed.op", "config", &config(ROUTE_TIMEOUT.as_millis() as u64));
    let _workers: Vec<Worker> = (0..SOUND)
        .map(|n| {
            let id = format!("i-{n}");
            Worker::start(&id, addr(10 + n, 8080), "notes", "v1", PACE, &store, &quiet)
        })
        .collect();
    let is_in_trouble = Arc::new(AtomicBool::new(false));
    start_faulty_worker(addr(10 + SOUND, 8080), &store, &is_in_trouble, record);
    let deployment = Deployment {
        root,
        dir,
        store: addr(1, 8408),
        ports: [8405, 8406, 8407, 8409],
        seeds: vec![ip(2)],
        descriptors: None,
    };
    let edge = deployment.start_edge("front-1", &ip(2), "z");
    if !edge.wait_until_ready() {
        return 2;
    }
    thread::sleep(ms(2_000));
    let start = Instant::now();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let ready = watch_readiness(addr(2, 8406), start);
    let count = END.as_millis() as u32 * PER_S / 1_000;
    for n in 0..count {
        let due = END * n / count;
        thread::sleep(due.saturating_sub(start.elapsed()));
        let is_due = due >= TROUBLE_FROM && due < TROUBLE_TO;
        let is_now = has_trouble() && is_due;
        if is_in_trouble.swap(is_now, Ordering::Relaxed) != is_now {
            let what = if is_now { "is in trouble" } else { "answers new requests again" };
            record.line(&format!("worker i-7 {what}"));
        }
        let (tries, front) = (Arc::clone(&tries), edge.front());
        thread::spawn(move || {
            let made = try_once(front, start);
            tries.lock().unwrap().push(made);
        });
    }
    thread::sleep(DEADLINE + ms(500));
    let tries = tries.lock().unwrap().clone();
    let ready = ready.lock().unwrap().clone();
    report(&tries, &ready, record)
}

/// A worker that streams as the others do, and interim heads without end while it is in trouble.
fn start_faulty_worker(
    addr: SocketAddr,
    store: &Store,
    is_in_trouble: &Arc<AtomicBool>,
    record: &Record,
) {
    let listener = TcpListener::bind(addr).unwrap();
    let born = unix_ms();
    let sent = Arc::new(AtomicU64::new(0));
    let (is_in_trouble, record) = (Arc::clone(is_in_trouble), record.clone());
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let (is_in_trouble, sent) = (Arc::clone(&is_in_trouble), Arc::clone(&sent));
            let record = record.clone();
            thread::spawn(move || serve(io, born, &is_in_trouble, &sent, &record));
        }
    });
    let store = store.clone();
    thread::spawn(move || {
        for seq in 1.. {
            let entry = format!(
                "{{\"service\":\"notes\",\"addr\":\"{addr}\",\"zone\":\"z\",\"version\":\"v1\",\
                 \"slots\":16,\"state\":\"ready\",\"cold-ms\":0,\"seq\":{seq},\"born\":{born}}}"
            );
            store.put("keyed.servers", "i-7", &entry);
            thread::sleep(ms(1_200));
        }
    });
}

fn serve(
    io: TcpStream,
    born: u64,
    is_in_trouble: &AtomicBool,
    sent: &AtomicU64,
    record: &Record,
) {
    let _ = io.set_nodelay(true);
    let mut rx = BufReader::new(io.try_clone().unwrap());
    let mut tx = io;
    while let Some(head) = read_head(&mut rx) {
        if read_body(&mut rx, head.len()).is_none() {
            return;
        }
        if head.line.starts_with("GET /-/report ") {
            let report = format!("{{\"busy\":false,\"seq\":0,\"born\":{born}}}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n\
                 {report}",
                report.len()
            );
            if tx.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = head.get("x-attempt-id").unwrap_or("").to_string();
        static REQUESTS: AtomicU64 = AtomicU64::new(0);
        if is_in_trouble.load(Ordering::Relaxed)
            && REQUESTS.fetch_add(1, Ordering::Relaxed) % SPOILED.1 < SPOILED.0
        {
            return send_heads(&mut tx, &id, sent, record);
        }
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-i-7\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for n in 1..=PACE.events {
            let event = format!("id: {n}\ndata: v1 {n}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            if tx.write_all(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
            thread::sleep(PACE.gap);
        }
        if tx.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sends interim heads until the caller closes, within what the worker sends in all.
fn send_heads(tx: &mut TcpStream, id: &str, sent: &AtomicU64, record: &Record) {
    static START: Mutex<Option<Instant>> = Mutex::new(None);
    let start = *START.lock().unwrap().get_or_insert_with(Instant::now);
    let began = Instant::now();
    let piece = HEAD.repeat(HEADS_PER_PIECE);
    let mut own = 0;
    loop {
        let total = sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
        let due = Duration::from_secs_f64(total as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(start.elapsed()));
        if tx.write_all(piece.as_bytes()).is_err() {
            record.line(&format!(
                "worker i-7 sent {id} {} KB of interim heads in {:.2} s, until the edge closed",
                own / 1_000,
                began.elapsed().as_secs_f64()
            ));
            return;
        }
        own += piece.len();
    }
}

/// Asks for the readiness each second, as the platform does. Returns the times of the answers.
fn watch_readiness(addr: SocketAddr, start: Instant) -> Arc<Mutex<Vec<Duration>>> {
    let ready: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let answers = Arc::clone(&ready);
    thread::spawn(move || {
        loop {
            let ask = || {
                let mut io = TcpStream::connect_timeout(&addr, ms(1_000)).ok()?;
                io.set_read_timeout(Some(ms(1_000))).ok()?;
                io.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .ok()?;
                read_head(&mut BufReader::new(io))
            };
            if ask().is_some_and(|head| head.line.contains(" 200")) {
                answers.lock().unwrap().push(start.elapsed());
            }
            thread::sleep(ms(1_000));
        }
    });
    ready
}

fn try_once(front: SocketAddr, start: Instant) -> Try {
    let mut made = Try {
        sent: start.elapsed(),
        answered_after: None,
        status: 0,
        is_whole: false,
    };
    let Ok(mut io) = TcpStream::connect_timeout(&front, ms(1_000)) else {
        return made;
    };
    let _ = io.set_read_timeout(Some(DEADLINE));
    let request = format!(
        "POST /notes/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         X-Api-Key: key-of-acme\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
        new_id(),
        DEADLINE.as_millis()
    );
    let sent = Instant::now();
    if io.write_all(request.as_bytes()).is_err() {
        return made;
    }
    let mut rx = BufReader::new(io);
    if let Some(head) = read_head(&mut rx) {
        made.answered_after = Some(sent.elapsed());
        made.status = head.line.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
        let mut body = Vec::new();
        let _ = rx.read_to_end(&mut body);
        made.is_whole = body.ends_with(b"\r\n0\r\n\r\n");
    }
    made
}

fn report(tries: &[Try], ready: &[Duration], record: &Record) -> i32 {
    for second in 0..END.as_secs() {
        let of: Vec<&Try> = tries.iter().filter(|made| made.sent.as_secs() == second).collect();
        let served = of.iter().filter(|made| made.status == 200 && made.is_whole).count();
        let other = of.iter().filter(|made| made.status != 0 && made.status != 200).count();
        let none = of.iter().filter(|made| made.status == 0).count();
        let is_ready = ready.iter().any(|at| at.as_secs() == second);
        record.line(&format!(
            "second {second}: {} requests, {served} served, {other} with another status, {none} \
             without an answer within {} ms; readiness {}",
            of.len(),
            DEADLINE.as_millis(),
            if is_ready { "200" } else { "not answered" }
        ));
    }
    let no_answer_by = |limit: Duration| {
        let late = |made: &&Try| made.answered_after.is_none_or(|after| after > limit);
        tries.iter().filter(late).count()
    };
    let at_limit = no_answer_by(ROUTE_TIMEOUT);
    let after = no_answer_by(ROUTE_TIMEOUT + SLACK);
    let served = tries.iter().filter(|made| made.status == 200 && made.is_whole).count();
    let text = format!(
        "{served} of {} requests served; {at_limit} without an answer at their route's limit, {after} \
         of them half a second later",
        tries.len()
    );
    record.line(&text);
    println!("{text}");
    if served == 0 {
        return 2;
    }
    // The rule: of the requests that are unanswered at their route's limit, more than half have no
    // answer half a second later.
    i32::from(at_limit >= 20 && 2 * after > at_limit)
}
