//! The operator takes the last tenant out of the configuration.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cases::stopped_edge::SETTINGS;
use crate::deployment::Deployment;
use crate::http::{Message, call};
use crate::record::Record;
use crate::worker::{Stream, Worker};

/// Time after which a version is in force: `apply-ms`, and one second more.
const IN_FORCE: Duration = Duration::from_millis(3_000);

/// No request of this case asks for a stream.
const NO_STREAM: Stream = Stream {
    events: 0,
    event_bytes: 0,
    gap: Duration::ZERO,
};

/// Returns a configuration with the given tenants.
fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
        {{"name":"place","host":"cards.example","prefix":"/orders/","kind":"non_idempotent","timeout-ms":1500,
         "slo-ms":100,"priority":1,"service":"desk","attempts":1,"anonymous":false}}],
        "services":[{{"name":"desk","health-path":"/healthz","max-conns":100}}],
        "limits":{{"header-bytes":16384,"body-bytes":4194304,"header-ms":3000,"idle-ms":15000}},
        "tenants":[{tenants}]}}"#
    )
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut site = Deployment::start(SETTINGS);
    let worker = Worker::start(site.worker_address(1), "i-1", "v1", NO_STREAM);
    let store = site.store.clone();
    store.put("keyed.servers", &worker.id, &worker.entry("desk", 1));
    let shop = r#"{"name":"shop","keys":["k-shop"]}"#;
    let resale = r#"{"name":"resale","keys":["k-resale"]}"#;
    store.put(
        "keyed.op",
        "config",
        &config(1, &format!("{shop},{resale}")),
    );
    for _ in 0..4 {
        site.start_edge(store.addr, store.addr);
    }
    if !site.wait_until_ready() {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(5));
    let fronts: Vec<_> = site.edges.iter().map(|edge| edge.front()).collect();
    let mut caller = Caller::new(record);
    let valid: Vec<_> = fronts
        .iter()
        .map(|edge| caller.order(*edge, Some("k-shop")))
        .collect();
    let foreign: Vec<_> = fronts
        .iter()
        .map(|edge| caller.order(*edge, Some("k-none")))
        .collect();
    if valid.iter().any(|status| *status != 200) || foreign.iter().any(|status| *status != 401) {
        return Verdict::NotRun;
    }
    record.line("version 2 takes the tenant shop away");
    store.put("keyed.op", "config", &config(2, resale));
    sleep(IN_FORCE);
    for edge in &fronts {
        caller.order(*edge, Some("k-shop"));
    }
    if trouble {
        record.line("version 3 takes the tenant resale away, the last one");
        store.put("keyed.op", "config", &config(3, ""));
    } else {
        record.line("version 3 takes the key of the tenant resale away, and leaves the tenant");
        store.put(
            "keyed.op",
            "config",
            &config(3, r#"{"name":"resale","keys":[]}"#),
        );
    }
    sleep(IN_FORCE);
    let before = worker.runs().len();
    for edge in &fronts {
        for key in [Some("k-resale"), Some("k-shop"), Some("k-none"), None] {
            caller.order(*edge, key);
        }
    }
    let runs = worker.runs();
    let ran = runs.len() - before;
    let ran_foreign = runs[before..]
        .iter()
        .filter(|run| caller.is_foreign(&run.attempt))
        .count();
    record.line(&format!("orders run after version 3 is in force: {ran}"));
    record.line(&format!(
        "of these with a key that no version ever held: {ran_foreign}"
    ));
    // The rule is about keys that no version ever held.
    if ran_foreign == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

struct Caller<'a> {
    record: &'a Record,
    sent: u32,
    foreign: Vec<String>,
}

impl<'a> Caller<'a> {
    fn new(record: &'a Record) -> Self {
        Self {
            record,
            sent: 0,
            foreign: Vec::new(),
        }
    }

    fn is_foreign(&self, attempt: &str) -> bool {
        self.foreign.iter().any(|known| known == attempt)
    }

    /// Places an order with a key. Returns the status of the answer, 0 without one.
    fn order(&mut self, edge: SocketAddr, key: Option<&str>) -> u16 {
        self.sent += 1;
        let attempt = format!("d9900{:011x}", self.sent);
        if key == Some("k-none") {
            self.foreign.push(attempt.clone());
        }
        let header = key
            .map(|key| format!("X-Api-Key: {key}\r\n"))
            .unwrap_or_default();
        let head = format!(
            "POST /orders/1 HTTP/1.1\r\nHost: cards.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 1500\r\n{header}Content-Length: 0\r\n\r\n"
        );
        let at = Instant::now();
        let status = call(edge, &head).as_ref().map_or(0, Message::status);
        let key = key.unwrap_or("none");
        self.record.line_at(
            at,
            &format!("{edge} {attempt}: order with key {key}, status {status}"),
        );
        status
    }
}
