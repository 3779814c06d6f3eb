//! An edge stands still while a release begins, and its callers take their streams up elsewhere.

use std::io::Write;
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::http::{Reader, connect, read_body, read_chunk, read_head};
use crate::record::Record;
use crate::worker::{Stream, Worker};

/// Settings of `sites/anthokartes-fleet`, as `fleetbench wire` shows them.
pub const SETTINGS: &str = "limits.cpu-share=0.19\nlimits.cores=1\nlimits.memory-mb=260\n\
    limits.fd-limit=4100\nlimits.link-mbps=1000.0\ndiscovery=platform\nheartbeat-ms=1200\n\
    contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform\n\
    bounds.contact-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
    bounds.apply-ms=2000\nbounds.revert-ms=250\nbounds.budget-ratio=0.2\nbounds.budget-window-s=10\n\
    bounds.retry-slack=54\nbounds.require-fence=true\nbounds.lease-ms=3000\nbounds.thaw-ms=300\n\
    bounds.window-s=5\nbounds.usage-tolerance=0.05\nbounds.usage-lag-s=10\n\
    cloud-api.duties=usage_report,autoscale\n";

/// Configuration with the site's route of verses.
pub const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"verse","host":"cards.example","prefix":"/stream/","kind":"streaming","timeout-ms":15000,
     "slo-ms":100,"itl-target-ms":150,"priority":0,"service":"lm","attempts":2,"anonymous":false,"resumable":true}],
    "services":[{"name":"lm","health-path":"/healthz","max-conns":170}],
    "limits":{"header-bytes":16384,"body-bytes":4194304,"header-ms":3000,"idle-ms":15000},
    "tenants":[{"name":"acme","keys":["k1"]}]}"#;

/// A stream of 10 s.
const STREAM: Stream = Stream {
    events: 200,
    event_bytes: 40,
    gap: Duration::from_millis(50),
};

/// Gap after which callers abandon a stream: two seconds, four times the objective or eight times the
/// longest pause, whichever is longest.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Time for which the edge stands still, the dose of the site.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Time from the beginning of the freeze until a worker of the new version is listed.
const RELEASE_AFTER: Duration = Duration::from_millis(700);

/// Number of streams on the edge that stands still. The rule needs 12 that are taken up.
const STREAMS: usize = 18;

/// Number of streams that begin at the other edges meanwhile.
const NEW_STREAMS: usize = 18;

/// One request of a caller and what came of it.
pub struct Attempt {
    edge: SocketAddr,
    pub id: String,
    pub at: Instant,
    pub status: u16,
    versions: Vec<String>,
    pub last_event: usize,
    end: String,
}

impl Attempt {
    pub fn text(&self) -> String {
        let Self {
            edge,
            id,
            status,
            versions,
            last_event,
            end,
            ..
        } = self;
        format!(
            "{edge} {id}: status {status}, versions {versions:?}, last event {last_event}, {end}"
        )
    }
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut site = Deployment::start(SETTINGS);
    let worker =
        |n: u8, version| Worker::start(site.worker_address(n), &format!("i-{n}"), version, STREAM);
    let old: Vec<_> = (1..=3).map(|n| worker(n, "v1")).collect();
    let new = worker(4, "v2");
    let store = site.store.clone();
    for worker in &old {
        store.put("keyed.servers", &worker.id, &worker.entry("lm", 1));
    }
    store.put("keyed.op", "config", CONFIG);
    for _ in 0..4 {
        site.start_edge(store.addr, store.addr);
    }
    if !site.wait_until_ready() {
        return Verdict::NotRun;
    }
    // All machines are in touch, and the versions are in the store.
    sleep(Duration::from_secs(8));
    let fronts: Vec<_> = site.edges.iter().map(|edge| edge.front()).collect();
    let others = fronts[1..].to_vec();
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (first, others) = (fronts[0], others.clone());
            thread::spawn(move || take_up(n, first, &others, trouble))
        })
        .collect();
    sleep(Duration::from_secs(2));
    let stopped_at = Instant::now();
    if trouble {
        record.line("front-z-a-1 stands still");
        site.edges[0].signal("STOP");
    }
    sleep(RELEASE_AFTER);
    record.line("a worker of version v2 lists itself; those of v1 go on");
    store.put("keyed.servers", &new.id, &new.entry("lm", 1));
    sleep((MAX_GAP + Duration::from_millis(200)).saturating_sub(stopped_at.elapsed()));
    let begun: Vec<_> = (0..NEW_STREAMS)
        .map(|n| {
            let edge = others[n % others.len()];
            thread::spawn(move || request(edge, &format!("c8800{n:011x}"), None, Some(3)))
        })
        .collect();
    sleep(FREEZE.saturating_sub(stopped_at.elapsed()));
    if trouble {
        record.line("front-z-a-1 goes on");
        site.edges[0].signal("CONT");
    }
    let begun: Vec<_> = begun.into_iter().filter_map(|t| t.join().ok()).collect();
    let callers: Vec<_> = callers.into_iter().filter_map(|t| t.join().ok()).collect();
    let mut taken_up = 0;
    let mut gone_on = 0;
    for attempts in &callers {
        for attempt in attempts {
            record.line_at(attempt.at, &attempt.text());
        }
        let [first, later @ ..] = &attempts[..] else {
            continue;
        };
        if first.status != 200 || first.last_event == 0 {
            return Verdict::NotRun;
        }
        taken_up += usize::from(!later.is_empty());
        gone_on += usize::from(
            later
                .iter()
                .any(|attempt| attempt.last_event > first.last_event),
        );
    }
    for attempt in &begun {
        record.line_at(attempt.at, &format!("new stream: {}", attempt.text()));
    }
    let new_begun = begun
        .iter()
        .filter(|attempt| attempt.last_event > 0)
        .count();
    record.line(&format!(
        "streams taken up {taken_up}, of which went on {gone_on}"
    ));
    record.line(&format!(
        "new streams {}, of which began {new_begun}",
        begun.len()
    ));
    if taken_up < 12 || begun.is_empty() {
        return Verdict::NotRun;
    }
    // The share that goes on is under half of the share of new streams that begin.
    if 2 * gone_on * begun.len() < new_begun * taken_up {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A caller that begins a stream at `first` and takes it up at one of `others`. Without trouble it
/// leaves `first` at about the same time.
fn take_up(n: usize, first: SocketAddr, others: &[SocketAddr], trouble: bool) -> Vec<Attempt> {
    let most = (!trouble).then_some(80);
    let begun = request(first, &format!("a8800{n:011x}"), None, most);
    // Callers of the site retry once.
    let edge = others[n % others.len()];
    let id = format!("b8800{n:011x}");
    let later = request(edge, &id, Some((&begun.id, begun.last_event)), None);
    vec![begun, later]
}

/// Sends a request for a stream, or for the rest of one, and reads it to its end, to a gap that is too
/// long, or to `most` events.
pub fn request(
    edge: SocketAddr,
    id: &str,
    resumed: Option<(&str, usize)>,
    most: Option<usize>,
) -> Attempt {
    let mut attempt = Attempt {
        edge,
        id: id.into(),
        at: Instant::now(),
        status: 0,
        versions: Vec::new(),
        last_event: 0,
        end: String::new(),
    };
    let result = connect(edge).and_then(|mut reader| {
        reader.get_ref().set_read_timeout(Some(MAX_GAP))?;
        let resumed =
            resumed.map(|(first, event)| format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n"));
        let head = format!(
            "POST /stream/1 HTTP/1.1\r\nHost: cards.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 15000\r\nX-Api-Key: k1\r\n{}Content-Length: 0\r\n\r\n",
            resumed.unwrap_or_default()
        );
        reader.get_mut().write_all(head.as_bytes())?;
        read_stream(&mut reader, &mut attempt, most)
    });
    attempt.end = match result {
        Ok(()) => "ended".into(),
        Err(error) => format!("left: {error}"),
    };
    attempt
}

fn read_stream(
    reader: &mut Reader,
    attempt: &mut Attempt,
    most: Option<usize>,
) -> std::io::Result<()> {
    let mut head = read_head(reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    attempt.status = head.status();
    if attempt.status != 200 {
        return read_body(reader, &mut head);
    }
    let mut body = Vec::new();
    loop {
        let has_more = read_chunk(reader, &mut body);
        let text = String::from_utf8_lossy(&body);
        let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        for line in whole.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                attempt.last_event = id.parse().unwrap_or(0);
            }
            let version = line
                .strip_prefix("data: ")
                .and_then(|data| data.split(' ').next());
            if let Some(version) = version
                && !attempt.versions.iter().any(|known| known == version)
            {
                attempt.versions.push(version.into());
            }
        }
        if !has_more? || most.is_some_and(|most| attempt.last_event >= most) {
            return Ok(());
        }
    }
}
