//! Case: callers read nothing for some seconds, and the last piece of their answer, which is small,
//! finds no room in their receive buffers.

#[path = "stand_in.rs"]
mod stand_in;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, exit};
use std::thread;
use std::time::{Duration, Instant};

use stand_in::*;

/// Sizes of the first part of the answers, in bytes: they differ, so that some of them leave less room
/// than the last piece takes.
const FIRST_SIZE: usize = 88_000;
const SIZE_STEP: usize = 150;
const CALLERS: usize = 200;

/// Size of the events of the first part and of the last event, in bytes.
const EVENT: usize = 1_200;
const LAST_EVENT: usize = 1_800;

/// Time between the first part and the last event.
const SILENCE: Duration = Duration::from_millis(1_300);

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_millis(6_000);

/// Time limit of the route and of the callers.
const DEADLINE: Duration = Duration::from_millis(15_000);

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
    let ip = |n: u32| format!("127.99.{octet}.{n}");
    let addr = |n: u32, port: u16| -> SocketAddr { format!("{}:{port}", ip(n)).parse().unwrap() };
    let store = Store::start(addr(1, 8408), Record::create(&dir.join("store.txt")));
    let config = config(DEADLINE.as_millis() as u64);
    let config = config.replace("\"resumable\":true", "\"resumable\":false");
    store.put("keyed.op", "config", &config);
    for n in 0..2 {
        start_worker(n, addr(10 + n, 8080), &store, record);
    }
    let deployment = Deployment {
        root,
        dir,
        store: addr(1, 8408),
        ports: [8405, 8406, 8407, 8409],
        seeds: vec![ip(2), ip(3), ip(4)],
        descriptors: None,
    };
    let edges: Vec<Edge> = (0..4)
        .map(|n| deployment.start_edge(&format!("front-{n}"), &ip(2 + n), &format!("z{n}")))
        .collect();
    if !edges.iter().all(Edge::wait_until_ready) {
        return 2;
    }
    let edge = &edges[0];
    thread::sleep(ms(4_000));
    record.line("SIGHUP to front-0, one of four edges");
    let pid = edge.pid().to_string();
    let is_sent = Command::new("kill").args(["-HUP", &pid]).status();
    if !is_sent.is_ok_and(|status| status.success()) {
        return 2;
    }
    thread::sleep(ms(200));
    let pause = if has_trouble() { PAUSE } else { Duration::ZERO };
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (record, front) = (record.clone(), edge.front());
            let size = FIRST_SIZE + n * SIZE_STEP;
            thread::spawn(move || ask(front, size, pause, &record))
        })
        .collect();
    let whole = callers.into_iter().filter_map(|c| c.join().ok()).filter(|whole| *whole).count();
    let cut = CALLERS - whole;
    let text = format!("{cut} of {CALLERS} answers, which their workers had written whole, were cut");
    record.line(&text);
    println!("{text}");
    if whole == 0 {
        return 2;
    }
    i32::from(cut > 0)
}

/// A worker that writes the first part of a stream at once, and the last event after a silence. The path
/// names the size of the first part.
fn start_worker(n: u32, addr: SocketAddr, store: &Store, record: &Record) {
    let listener = TcpListener::bind(addr).unwrap();
    let (born, record) = (unix_ms(), record.clone());
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve(n, io, &record));
        }
    });
    let store = store.clone();
    thread::spawn(move || {
        for seq in 1.. {
            let entry = format!(
                "{{\"service\":\"notes\",\"addr\":\"{addr}\",\"zone\":\"z\",\"version\":\"v1\",\
                 \"slots\":200,\"state\":\"ready\",\"cold-ms\":0,\"seq\":{seq},\"born\":{born}}}"
            );
            store.put("keyed.servers", &format!("i-{n}"), &entry);
            thread::sleep(ms(1_200));
        }
    });
}

fn event(n: usize, size: usize) -> String {
    let start = format!("id: {n}\ndata: ");
    let data = "x".repeat(size - start.len() - 2);
    format!("{start}{data}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn serve(n: u32, io: TcpStream, record: &Record) {
    let _ = io.set_nodelay(true);
    let mut rx = BufReader::new(io.try_clone().unwrap());
    let mut tx = io;
    while let Some(head) = read_head(&mut rx) {
        if read_body(&mut rx, head.len()).is_none() {
            return;
        }
        let path = head.line.split(' ').nth(1).unwrap_or("");
        let size: usize = path.rsplit('/').next().and_then(|s| s.parse().ok()).unwrap_or(EVENT);
        let id = head.get("x-attempt-id").unwrap_or("");
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-i-{n}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let events = size / EVENT;
        for n in 1..=events {
            let rest = if n == 1 { size % EVENT } else { 0 };
            text += &chunk(&event(n, EVENT + rest));
        }
        let mut is_sent = tx.write_all(text.as_bytes()).is_ok();
        thread::sleep(SILENCE);
        let last = chunk(&event(events + 1, LAST_EVENT)) + "0\r\n\r\n";
        is_sent = is_sent && tx.write_all(last.as_bytes()).is_ok();
        record.line(&format!(
            "worker i-{n} has written {id} of {size} bytes {}",
            if is_sent { "whole" } else { "in part" }
        ));
        if !is_sent {
            return;
        }
    }
}

/// Asks for a stream, reads nothing for `pause`, and then all. Returns whether the answer is whole.
fn ask(front: SocketAddr, size: usize, pause: Duration, record: &Record) -> bool {
    let id = new_id();
    let Ok(mut io) = TcpStream::connect(front) else {
        return false;
    };
    let request = format!(
        "POST /notes/{size} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nX-Api-Key: key-of-acme\r\nContent-Length: 5\r\n\r\nhello",
        DEADLINE.as_millis()
    );
    record.line(&format!("caller sends {id}, {size} bytes"));
    let _ = io.set_read_timeout(Some(DEADLINE));
    if io.write_all(request.as_bytes()).is_err() {
        return false;
    }
    thread::sleep(pause);
    let began = Instant::now();
    let mut text = Vec::new();
    let mut buf = vec![0; 65_536];
    let end = loop {
        match io.read(&mut buf) {
            Ok(0) => break "closed".to_string(),
            Ok(len) => text.extend(&buf[..len]),
            Err(error) => break error.to_string(),
        }
        if text.ends_with(b"\r\n0\r\n\r\n") {
            break "whole".to_string();
        }
    };
    record.line(&format!(
        "caller got {id}, {size} bytes: {} bytes, {end}, after {} ms of reading",
        text.len(),
        began.elapsed().as_millis()
    ));
    end == "whole"
}
