//! Streams of several software versions that begin at one edge and are taken up at another.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::sleep;

use super::body_end::{BodyEnd, Close, Cut, EVENTS_BEFORE_CUT, Framing};
use super::versioned::{DEADLINE_MS, HeldStream, Outcome};
use super::worker::{Action, Worker};
use super::{Edge, Site};

/// Number of streams of each version.
pub const STREAMS: usize = 4;

/// Number of attempts of a caller to take a stream up.
const TAKE_UPS: usize = 8;

/// Pause of a caller between its attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time within which each edge has read the list of instances.
pub const LIST_TIME: Duration = Duration::from_secs(1);

/// Upstreams send some events and then nothing, until the edge closes the connection.
pub const SILENCE: Action = Action::End(BodyEnd {
    framing: Framing::Chunks,
    cut: Cut::BetweenEvents,
    close: Close::Silence,
});

/// Starts a site with an upstream of each of these versions.
pub async fn start(test: u8, versions: &[&str]) -> Site {
    let site = Site::start(test, u16::try_from(versions.len()).unwrap()).await;
    list(&site, versions).await;
    site
}

/// Lists all upstreams as just started with these versions.
pub async fn list(site: &Site, versions: &[&str]) {
    for (n, version) in (0..).zip(versions) {
        site.list_version(n, version);
    }
    sleep(LIST_TIME).await;
}

/// Begins streams of each version at `edge`, whose callers leave after some events. All upstreams
/// are listed before and afterwards.
pub async fn begin_streams(site: &Site, edge: &Edge, versions: &[&str]) -> Vec<HeldStream> {
    begin_streams_waiting(site, edge, versions, DEADLINE_MS).await
}

/// Begins streams as [`begin_streams`] does. Their callers wait for `deadline_ms`.
pub async fn begin_streams_waiting(
    site: &Site,
    edge: &Edge,
    versions: &[&str],
    deadline_ms: u32,
) -> Vec<HeldStream> {
    let mut streams = Vec::new();
    for begun_at in BTreeSet::from_iter(versions) {
        for (id, _) in (0..).zip(versions).filter(|(_, v)| *v != begun_at) {
            site.store.remove("keyed.servers", &format!("i-{id}"));
        }
        sleep(LIST_TIME).await;
        Worker::share_script(&site.workers, &[SILENCE; STREAMS]);
        for _ in 0..STREAMS {
            let mut stream = HeldStream::waiting(deadline_ms);
            let wanted = Some(EVENTS_BEFORE_CUT);
            let outcome = stream.attempt(edge.ingress(), "/stream/1", wanted).await;
            assert_eq!(outcome, Outcome::Left);
            streams.push(stream);
        }
        list(site, versions).await;
    }
    streams
}

/// Kills all edges, calls `meanwhile`, and starts them again.
pub async fn kill_all_and(site: &mut Site, other: &mut Edge, meanwhile: impl FnOnce(&Site)) {
    site.signal("KILL");
    other.signal("KILL");
    meanwhile(site);
    site.edge_mut().restart();
    other.restart();
    for edge in [site.edge(), other] {
        site.wait_until("it serves", async || {
            edge.call("GET", "/any/1", &[]).await.status == 200
        })
        .await;
    }
}

/// Kills all edges and starts them again.
pub async fn kill_all(site: &mut Site, other: &mut Edge) {
    kill_all_and(site, other, |_| {}).await;
}

/// Takes each stream up at `edge` and returns the number of those that are complete then.
pub async fn take_up(streams: &mut [HeldStream], edge: &Edge) -> usize {
    let mut completed = 0;
    for stream in streams {
        for _ in 0..TAKE_UPS {
            if stream.attempt(edge.ingress(), "/stream/1", None).await == Outcome::Complete {
                completed += 1;
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
    }
    completed
}

pub fn check_versions(streams: &[HeldStream]) {
    let mixed: Vec<_> = streams.iter().filter(|s| s.versions().len() > 1).collect();
    assert!(
        mixed.is_empty(),
        "{} of {} streams hold events of two versions: {:#?}",
        mixed.len(),
        streams.len(),
        mixed[0]
    );
}

/// Takes all streams up at `edge` and asserts that each goes on at its version.
pub async fn check_all_go_on(mut streams: Vec<HeldStream>, edge: &Edge) {
    let completed = take_up(&mut streams, edge).await;
    check_versions(&streams);
    assert_eq!(completed, streams.len(), "streams do not go on");
}
