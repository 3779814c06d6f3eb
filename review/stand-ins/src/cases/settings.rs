//! Changes of the settings file.

use std::io::Result;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{head, new_attempt};
use crate::http::{Channel, read_body};
use crate::site::{CONTACT, Record, Site, config, config_with};
use crate::worker::Options;

const EDGES: usize = 4;

/// Number of requests with the withdrawn key at each edge.
const REQUESTS: usize = 10;

/// `apply-ms` of the settings.
const APPLY: Duration = Duration::from_secs(2);

/// The store moves to another address, which the settings files name from then on. Then a key is
/// withdrawn.
pub fn moved_store(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000, 16_384))?;
    for n in 0..2 {
        let id = format!("i-{n}");
        site.start_worker(Options::new(site.worker_addr(n), &id, "v1", 1, 1))?;
    }
    site.start_edges(EDGES)?;
    thread::sleep(CONTACT * 2);
    if has_trouble {
        site.move_store()?;
    }
    // The edges are in touch again, and the store is stable.
    thread::sleep(CONTACT * 4);
    site.store
        .put_config(&config_with(9, 15_000, 16_384, "\"k2\""));
    record.add("the store has accepted version 9, without the key k1");
    thread::sleep(APPLY * 2);
    let mut sent = Vec::new();
    for n in 0..EDGES * REQUESTS {
        let attempt = new_attempt();
        let wait = Duration::from_millis(1_500);
        let text = head("GET", "/status/2f", &attempt, wait, "");
        record.add(&format!("client sends {attempt} with the key k1"));
        let mut channel = Channel::open(site.front(n % EDGES))?;
        let answer = channel.send(&text, wait).and_then(|answer| {
            read_body(&mut channel.io, &answer)?;
            Ok(answer.status())
        });
        record.add(&format!("client got on {attempt}: {answer:?}"));
        sent.push(attempt);
    }
    thread::sleep(Duration::from_millis(300));
    let runs = site.runs.lock().unwrap().clone();
    let late = sent
        .iter()
        .filter(|attempt| runs.iter().any(|run| run.attempt == **attempt));
    let late = late.count();
    record.say(&format!(
        "requests with the withdrawn key, later than {APPLY:?} after the acknowledgement: {}, run: \
         {late}",
        sent.len()
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
