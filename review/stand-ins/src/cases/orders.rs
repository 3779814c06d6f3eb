//! Orders, which may run once.

use std::io::Result;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{head, new_attempt, retry_after};
use crate::http::{Channel, read_body};
use crate::site::{CONTACT, Record, Site, config};
use crate::worker::Options;

const CLIENTS: usize = 48;

/// Orders of each client.
const ORDERS: usize = 6;

/// One worker of eight fails, a share of 0.125.
const WORKERS: u8 = 8;

/// It fails each third request, a share of 0.33.
const FAIL_EVERY: u64 = 3;

/// Time limit of the clients.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A worker carries orders out and answers part of them with a failure that does not say
/// `X-Not-Executed`.
pub fn false_refusal(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000))?;
    for n in 0..WORKERS {
        let is_failing = has_trouble && n == 0;
        site.start_worker(Options {
            fail_every: if is_failing { FAIL_EVERY } else { 0 },
            ..Options::new(site.worker_addr(n), &format!("i-{n}"), "v1", 1, 1)
        })?;
    }
    site.start_edges(2)?;
    let fronts = [site.front(0), site.front(1)];
    thread::sleep(CONTACT * 2);
    let clients = (0..CLIENTS).map(|client| {
        let record = record.clone();
        thread::spawn(move || {
            let orders = (0..ORDERS).map(|n| client * ORDERS + n);
            orders.flat_map(|n| place(n, fronts, &record)).collect()
        })
    });
    let clients: Vec<_> = clients.collect();
    let refused: Vec<String> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flat_map(|refused: Vec<String>| refused)
        .collect();
    // The workers' lines arrive a little later.
    thread::sleep(Duration::from_millis(300));
    let runs = site.runs.lock().unwrap().clone();
    let false_refusals = refused
        .iter()
        .filter(|attempt| runs.iter().any(|run| run.attempt == **attempt))
        .inspect(|attempt| record.add(&format!("FALSE {attempt} was refused and has run")))
        .count();
    let placed = |n: usize| {
        let path = format!("/order/{n}");
        runs.iter().filter(|run| run.path == path).count()
    };
    let twice = (0..CLIENTS * ORDERS).filter(|n| placed(*n) > 1).count();
    record.say(&format!(
        "{} orders, {} answers that promise \"not run\", {false_refusals} of them false; \
         {twice} orders placed twice",
        CLIENTS * ORDERS,
        refused.len()
    ));
    Ok(if false_refusals > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Places an order, again once after a promise that it has not run. Returns the attempts that were
/// answered with such a promise.
fn place(n: usize, fronts: [SocketAddr; 2], record: &Record) -> Vec<String> {
    let path = format!("/order/{n}");
    let mut refused = Vec::new();
    for retry in 0..2 {
        let attempt = new_attempt();
        let text = head("POST", &path, &attempt, LIMIT, "");
        record.add(&format!("client sends {attempt}: POST {path}"));
        let answer = Channel::open(fronts[(n + retry) % fronts.len()]).and_then(|mut channel| {
            let answer = channel.send(&text, LIMIT)?;
            read_body(&mut channel.io, &answer)?;
            Ok(answer)
        });
        record.add(&format!("client got on {attempt}: {answer:?}"));
        match answer {
            Ok(answer) if PROMISES.contains(&answer.status()) => {
                refused.push(attempt);
                thread::sleep(retry_after(&answer));
            }
            _ => break,
        }
    }
    refused
}
