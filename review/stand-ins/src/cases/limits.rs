//! Limits on what clients may send, on channels from the first moments of a process.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{head, new_attempt};
use crate::http::{Channel, read_body};
use crate::site::{CONTACT, Record, Site, config};
use crate::worker::Options;

/// `header-bytes` of the configuration.
const HEADER_BYTES: u32 = 32_768;

/// Size of the heads that clients send.
const HEAD_BYTES: usize = 20_000;

const CLIENTS: usize = 40;

/// Pause of a client between two tries to open a channel.
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Sends a request for the state of an order. `padding` is the size of its prompt description.
fn ask(channel: &mut Channel, padding: usize, name: &str, record: &Record) -> Option<u16> {
    let attempt = new_attempt();
    let extra = match padding {
        0 => String::new(),
        _ => {
            let parts: Vec<_> = (0..padding / 13).map(|n| format!("{n:08x}:120")).collect();
            format!("X-Prompt-Prefix: {}\r\n", parts.join(","))
        }
    };
    let wait = Duration::from_millis(1_500);
    let text = head("GET", "/status/2f", &attempt, wait, &extra);
    record.add(&format!(
        "client {name} sends {attempt}, head of {} bytes",
        text.len()
    ));
    let answer = channel.send(&text, wait).and_then(|answer| {
        read_body(&mut channel.io, &answer)?;
        Ok(answer.status())
    });
    record.add(&format!("client {name} got on {attempt}: {answer:?}"));
    answer.ok()
}

/// All edges are killed and start again. Channels that clients open at once, before the edges know
/// the configuration, are in use later.
pub fn first_channels(record: Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record.clone(), &config(15_000, HEADER_BYTES))?;
    for n in 0..2 {
        let id = format!("i-{n}");
        site.start_worker(Options::new(site.worker_addr(n), &id, "v1", 1, 1))?;
    }
    site.start_edges(2)?;
    thread::sleep(CONTACT * 2);
    let fronts = [site.front(0), site.front(1)];
    let in_touch_at = Arc::new(Mutex::new(None::<Instant>));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (record, in_touch_at) = (record.clone(), Arc::clone(&in_touch_at));
        clients.push(thread::spawn(move || {
            client(&format!("c{n}"), fronts[n % 2], &in_touch_at, &record)
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let restarted = if has_trouble {
        site.kill_and_restart_edges()?
    } else {
        Instant::now()
    };
    *in_touch_at.lock().unwrap() = Some(restarted + CONTACT + Duration::from_millis(500));
    let statuses: Vec<Option<u16>> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    let denied = statuses
        .iter()
        .flatten()
        .filter(|status| is_denial(**status))
        .count();
    let allowed = 5 + statuses.len() / 500;
    record.say(&format!(
        "requests: {}, answered with a 4xx of the edge's own while in touch: {denied}, allowed: \
         {allowed}",
        statuses.len()
    ));
    Ok(if denied > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn is_denial(status: u16) -> bool {
    (300..500).contains(&status) && ![408, 421, 429].contains(&status)
}

/// Keeps a channel open, and opens another one when it was closed. Returns the answers to the
/// requests with a long head, which begin once the edge is in touch.
fn client(
    name: &str,
    front: SocketAddr,
    in_touch_at: &Mutex<Option<Instant>>,
    record: &Record,
) -> Vec<Option<u16>> {
    let mut channel = None;
    let mut asked_at = None::<Instant>;
    loop {
        if in_touch_at
            .lock()
            .unwrap()
            .is_some_and(|at| Instant::now() >= at)
        {
            break;
        }
        let Some(open) = &mut channel else {
            channel = Channel::open(front).ok();
            match channel {
                Some(_) => record.add(&format!("client {name} opens a channel")),
                None => thread::sleep(RETRY_PAUSE),
            }
            continue;
        };
        if asked_at.is_none_or(|at| at.elapsed() > Duration::from_millis(500)) {
            asked_at = Some(Instant::now());
            if ask(open, 0, name, record).is_none() {
                channel = None;
                asked_at = None;
            }
        }
        thread::sleep(RETRY_PAUSE);
    }
    let mut statuses = Vec::new();
    for _ in 0..5 {
        let mut open = match channel.take() {
            Some(open) => open,
            None => match Channel::open(front) {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let status = ask(&mut open, HEAD_BYTES, name, record);
        statuses.push(status);
        if status == Some(200) {
            channel = Some(open);
        }
        thread::sleep(Duration::from_millis(100));
    }
    statuses
}
