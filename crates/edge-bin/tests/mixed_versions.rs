//! Guards against streams that hold events of two software versions.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::body_end::{BodyEnd, Close, Cut, EVENTS_BEFORE_CUT, Framing};
use common::versioned::{HeldStream, Outcome};
use common::worker::{Action, EVENTS, Worker};
use common::{Edge, Site};
use futures::future::join_all;
use tokio::time::sleep;

/// Two upstreams of each version, so that one is left when another one breaks off.
const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// Number of streams of each version.
const STREAMS: usize = 4;

/// Number of attempts of a caller to take a stream up.
const TAKE_UPS: usize = 8;

/// Pause of a caller between its attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time within which each edge has read the list of instances.
const LIST_TIME: Duration = Duration::from_secs(1);

/// Upstreams send some events and then nothing, until the edge closes the connection.
const SILENCE: Action = Action::End(BodyEnd {
    framing: Framing::Chunks,
    cut: Cut::BetweenEvents,
    close: Close::Silence,
});

async fn start(test: u8, versions: &[&str]) -> Site {
    let site = Site::start(test, u16::try_from(versions.len()).unwrap()).await;
    list(&site, versions).await;
    site
}

/// Lists all upstreams as just started with these versions.
async fn list(site: &Site, versions: &[&str]) {
    for (n, version) in (0..).zip(versions) {
        site.list_version(n, version);
    }
    sleep(LIST_TIME).await;
}

/// Begins streams of each version at `edge`, whose callers leave after some events. All upstreams
/// are listed before and afterwards.
async fn begin_streams(site: &Site, edge: &Edge, versions: &[&str]) -> Vec<HeldStream> {
    let mut streams = Vec::new();
    for begun_at in BTreeSet::from_iter(versions) {
        for (id, _) in (0..).zip(versions).filter(|(_, v)| *v != begun_at) {
            site.store.remove("keyed.servers", &format!("i-{id}"));
        }
        sleep(LIST_TIME).await;
        Worker::share_script(&site.workers, &[SILENCE; STREAMS]);
        for _ in 0..STREAMS {
            let mut stream = HeldStream::new();
            let wanted = Some(EVENTS_BEFORE_CUT);
            let outcome = stream.attempt(edge.ingress(), "/stream/1", wanted).await;
            assert_eq!(outcome, Outcome::Left);
            streams.push(stream);
        }
        list(site, versions).await;
    }
    streams
}

/// Takes each stream up at `edge` and returns the number of those that are complete then.
async fn take_up(streams: &mut [HeldStream], edge: &Edge) -> usize {
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

fn check_versions(streams: &[HeldStream]) {
    let mixed: Vec<_> = streams.iter().filter(|s| s.versions().len() > 1).collect();
    assert!(
        mixed.is_empty(),
        "{} of {} streams hold events of two versions: {:#?}",
        mixed.len(),
        streams.len(),
        mixed[0]
    );
}

/// The upstream breaks off, and the edge sends the rest within the same response.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_in_response() {
    let site = start(107, &VERSIONS).await;
    let mut streams = Vec::new();
    for _ in 0..2 * STREAMS {
        Worker::share_script(&site.workers, &[Action::BreakAfter(EVENTS_BEFORE_CUT)]);
        let mut stream = HeldStream::new();
        let outcome = stream.attempt(site.edge().ingress(), "/stream/1", None);
        assert_eq!(outcome.await, Outcome::Complete);
        assert!(stream.numbers().into_iter().eq(1..=EVENTS), "{stream:?}");
        streams.push(stream);
    }
    check_versions(&streams);
}

/// The caller leaves and goes to an edge that did not carry the stream.
#[tokio::test(flavor = "multi_thread")]
async fn taken_up_elsewhere() {
    let site = start(108, &VERSIONS).await;
    let other = site.start_edge(109, site.store_address()).await;
    let mut streams = begin_streams(&site, site.edge(), &VERSIONS).await;
    let completed = take_up(&mut streams, &other).await;
    check_versions(&streams);
    assert_eq!(completed, streams.len(), "streams do not go on");
}

/// All edges are killed at once, and nobody is left who carried the stream.
#[tokio::test(flavor = "multi_thread")]
async fn killed_together() {
    let mut site = start(110, &VERSIONS).await;
    let mut other = site.start_edge(111, site.store_address()).await;
    let mut streams = begin_streams(&site, site.edge(), &VERSIONS).await;
    site.signal("KILL");
    other.signal("KILL");
    site.edge_mut().restart();
    other.restart();
    site.wait_until("they serve again", async || {
        let calls = [site.edge(), &other].map(|edge| edge.call("GET", "/any/1", &[]));
        let responses = join_all(calls).await;
        responses.iter().all(|response| response.status == 200)
    })
    .await;
    take_up(&mut streams, &other).await;
    check_versions(&streams);
}

/// All edges are killed while one version alone is in use, so that a stream can go on anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn killed_with_one_version() {
    let mut site = start(112, &["v1", "v1"]).await;
    let mut streams = begin_streams(&site, site.edge(), &["v1", "v1"]).await;
    site.signal("KILL");
    site.edge_mut().restart();
    site.wait_until_ready().await;
    let completed = take_up(&mut streams, site.edge()).await;
    check_versions(&streams);
    assert_eq!(completed, streams.len(), "streams do not go on");
}
