//! Case: a worker loses power and starts again under its id with the next version of its software,
//! while the channels that were open to it are silent.

#[path = "stand_in.rs"]
mod stand_in;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::thread;

use stand_in::*;

const CLIENTS: usize = 48;

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
    let ip = |n: u32| format!("127.93.{octet}.{n}");
    let addr = |n: u32, port: u16| -> SocketAddr { format!("{}:{port}", ip(n)).parse().unwrap() };
    let store = Store::start(addr(1, 8408), record.clone());
    store.put("keyed.op", "config", &config(15_000));
    let pace = Pace {
        events: 25,
        gap: ms(100),
    };
    let workers: Vec<Worker> = (0..5)
        .map(|n| {
            let id = format!("i-{n}");
            Worker::start(&id, addr(10 + n, 8080), "notes", "v1", pace, &store, record)
        })
        .collect();
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
    thread::sleep(ms(1_500));
    let front = edge.front();

    // Usual traffic, which leaves idle channels to all workers.
    let streams = ask_many(front, 15, record);
    if streams.iter().any(|answer| !answer.is_whole) {
        record.line("a stream of the usual traffic was not whole");
        return 2;
    }
    // A quiet moment, in which a worker's machine loses power and is back.
    if has_trouble() {
        workers[0].lose_power();
    }
    thread::sleep(ms(2_000));
    if has_trouble() {
        workers[0].start_again("v2");
    }
    let pausing = workers[0].clone();
    let pause = thread::spawn(move || {
        thread::sleep(ms(700));
        pausing.pause(ms(1_000));
    });
    let streams = ask_many(front, CLIENTS, record);
    pause.join().unwrap();

    let mut mixed = 0;
    for (at, answer) in streams.iter().enumerate() {
        let mut versions: Vec<&str> = answer
            .events
            .iter()
            .filter_map(|(_, data)| data.split(' ').next())
            .collect();
        versions.dedup();
        record.line(&format!(
            "stream {at}: status {}, {} events of {}, whole: {}",
            answer.status,
            answer.events.len(),
            versions.join(" then "),
            answer.is_whole
        ));
        mixed += usize::from(versions.len() > 1);
    }
    let served = streams.iter().filter(|answer| answer.is_whole).count();
    record.line(&format!(
        "{served} of {CLIENTS} streams whole, {mixed} hold events of two versions"
    ));
    println!("{served} of {CLIENTS} streams whole, {mixed} hold events of two versions");
    if served == 0 {
        return 2;
    }
    // The rule: more than two streams hold events of two software versions.
    i32::from(mixed > 2)
}

fn ask_many(front: SocketAddr, count: usize, record: &Record) -> Vec<Answer> {
    let clients: Vec<_> = (0..count)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                ask_stream(front, "/notes/1", &new_id(), ms(15_000), "", &record)
            })
        })
        .collect();
    clients.into_iter().map(|c| c.join().unwrap()).collect()
}
