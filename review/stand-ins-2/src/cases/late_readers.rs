//! Callers read their streams late while an edge is stopped or its settings change.

use std::io::Write;
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::http::{Reader, connect, read_chunk, read_head, read_message};
use crate::record::Record;
use crate::worker::{Stream, Worker};

/// Settings of `demands/amagumo-kyushu-grown`, as `fleetbench wire` shows them.
pub const SETTINGS: &str = "limits.cpu-share=0.5\nlimits.cores=1\nlimits.memory-mb=512\n\
    limits.fd-limit=8192\nlimits.link-mbps=200.0\ndiscovery=platform\nheartbeat-ms=1200\n\
    contracts=base,drain,config,cost,retry,recover,health,pool,split,stream,engine,tenants,leader,pressure,platform\n\
    bounds.contact-ms=4000\nbounds.drain-ms=3000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
    bounds.apply-ms=3000\nbounds.revert-ms=250\nbounds.budget-ratio=0.2\nbounds.budget-window-s=10\n\
    bounds.retry-slack=102\nbounds.require-fence=false\nbounds.lease-ms=3000\nbounds.thaw-ms=300\n\
    bounds.window-s=5\nbounds.usage-tolerance=0.05\nbounds.usage-lag-s=10\n\
    cloud-api.duties=usage_report,autoscale\n";

/// Configuration with the site's route of urgent streams and one of plain requests.
const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"squall","host":"tiles.example","prefix":"/stream/","kind":"streaming","timeout-ms":15000,
     "slo-ms":100,"itl-target-ms":150,"priority":0,"service":"lm","attempts":2,"anonymous":false,"resumable":true},
    {"name":"fetch","host":"tiles.example","prefix":"/plain/","kind":"idempotent","timeout-ms":1500,
     "slo-ms":300,"priority":2,"service":"lm","attempts":2,"anonymous":false}],
    "services":[{"name":"lm","health-path":"/healthz","max-conns":280}],
    "limits":{"header-bytes":16384,"body-bytes":4194304,"header-ms":3000,"idle-ms":15000},
    "tenants":[{"name":"acme","keys":["k1"]}]}"#;

/// The longest stream of the site: 169 events of 2,400 bytes.
const STREAM: Stream = Stream {
    events: 169,
    event_bytes: 2_400,
    gap: Duration::from_millis(5),
};

/// Time for which a caller reads nothing after the first event. The configuration allows callers to be
/// idle for 15 s.
const PAUSE: Duration = Duration::from_millis(4_500);

/// Longest wait of a caller for bytes.
const MAX_READ: Duration = Duration::from_secs(20);

/// Callers per edge.
const CALLERS: usize = 4;

/// What a caller received.
struct Received {
    attempt: String,
    edge: String,
    sent: Instant,
    ended: Instant,
    events: usize,
    is_whole: bool,
    error: String,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut site = Deployment::start(SETTINGS);
    let workers: Vec<_> = (1..=2)
        .map(|n| Worker::start(site.worker_address(n), &format!("i-{n}"), "v1", STREAM))
        .collect();
    let store = site.store.clone();
    for worker in &workers {
        store.put("keyed.servers", &worker.id, &worker.entry("lm", 1));
    }
    store.put("keyed.op", "config", CONFIG);
    // One of four edges gets SIGHUP, within the share of the pages. The last one gets no callers.
    for _ in 0..4 {
        site.start_edge(store.addr, store.addr);
    }
    if !site.wait_until_ready() {
        return Verdict::NotRun;
    }
    // Machines are in touch after `contact-ms`.
    sleep(Duration::from_secs(6));
    let mut callers = Vec::new();
    for edge in &site.edges[..3] {
        for _ in 0..CALLERS {
            let Ok(caller) = open(edge.front()) else {
                return Verdict::NotRun;
            };
            callers.push((caller, edge.name.clone()));
        }
    }
    // The first edge gets no signal. What it does is recorded and not judged.
    record.line("SIGHUP to front-z-a-2, whose settings change");
    site.edges[1].change_settings("bounds.retry-slack=102", "bounds.retry-slack=100");
    site.edges[1].signal("HUP");
    sleep(Duration::from_millis(100));
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let reads: Vec<_> = callers
        .into_iter()
        .enumerate()
        .map(|(n, (caller, edge))| {
            thread::spawn(move || read_stream(caller, edge, &format!("a7700{n:011x}"), pause))
        })
        .collect();
    sleep(Duration::from_millis(300));
    record.line("SIGTERM to front-z-a-3");
    site.edges[2].signal("TERM");
    let received: Vec<_> = reads
        .into_iter()
        .filter_map(|read| read.join().ok())
        .collect();
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let mut lost = 0;
    for received in &received {
        let Received { attempt, edge, .. } = received;
        record.line_at(received.sent, &format!("{edge} {attempt}: request sent"));
        let of_request = runs.iter().filter(|run| run.attempt == *attempt);
        for run in of_request.clone() {
            record.line_at(
                run.began,
                &format!("{edge} {attempt}: run at {}", run.worker),
            );
            if let Some(at) = run.answered {
                record.line_at(
                    at,
                    &format!("{edge} {attempt}: whole answer written by {}", run.worker),
                );
            }
        }
        let end = if received.is_whole {
            "whole answer read"
        } else {
            "channel ended"
        };
        let (events, error) = (received.events, &received.error);
        record.line_at(
            received.ended,
            &format!("{edge} {attempt}: {end}, {events} events {error}"),
        );
        let was_answered = of_request.clone().any(|run| run.answered.is_some());
        if !received.is_whole && was_answered && *edge != "front-z-a-1" {
            lost += 1;
        }
    }
    let all = received.len();
    record.line(&format!("answers that workers had written and callers of the signalled edges lost: {lost} (of {all} requests in all)"));
    match lost {
        _ if runs.len() < all => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn head(method: &str, path: &str, attempt: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: tiles.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 15000\r\nX-Api-Key: k1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Opens a channel and keeps it after a first request.
fn open(addr: SocketAddr) -> std::io::Result<Reader> {
    let mut reader = connect(addr)?;
    reader.get_ref().set_read_timeout(Some(MAX_READ))?;
    let attempt = format!("b7700{:011x}", reader.get_ref().local_addr()?.port());
    let request = head("GET", "/plain/1", &attempt);
    reader.get_mut().write_all(request.as_bytes())?;
    match read_message(&mut reader)? {
        Some(response) if response.status() == 200 => Ok(reader),
        _ => Err(std::io::Error::other("the first request failed")),
    }
}

/// Sends a request for a stream, reads its first event, and the rest after `pause`.
fn read_stream(mut reader: Reader, edge: String, attempt: &str, pause: Duration) -> Received {
    let sent = Instant::now();
    let mut body = Vec::new();
    let mut read = || -> std::io::Result<()> {
        let request = head("POST", "/stream/1", attempt);
        reader.get_mut().write_all(request.as_bytes())?;
        let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Err(std::io::Error::other(format!("status {}", head.status())));
        }
        read_chunk(&mut reader, &mut body)?;
        sleep(pause);
        while read_chunk(&mut reader, &mut body)? {}
        Ok(())
    };
    let result = read();
    let text = String::from_utf8_lossy(&body);
    let events = text.matches("\n\n").count();
    Received {
        attempt: attempt.into(),
        edge,
        sent,
        ended: Instant::now(),
        events,
        is_whole: result.is_ok() && events == STREAM.events,
        error: result
            .err()
            .map_or(String::new(), |error| error.to_string()),
    }
}
