//! Guards against streams that go on at another software version because an edge takes an old list of
//! instances for proof that no other version was in use.

mod common;

use std::time::Duration;

use common::body_end::EVENTS_BEFORE_CUT;
use common::take_ups::{LIST_TIME, SILENCE, STREAMS, check_versions, start};
use common::versioned::{HeldStream, Outcome};
use common::worker::Worker;
use common::{EXCHANGE, Edge, Site, config};
use futures::future::join_all;
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};

const VERSIONS_TOPIC: &str = "keyed.nutmegbay-versions";

/// Time for which an edge is stopped, less than the age at which its list counts as out of date.
const STOP_TIME: Duration = Duration::from_millis(2_900);

/// Stops the first edge while upstreams of a second version join and begin streams at another one.
/// The callers take these up at the first edge before it goes on. Returns how their attempts end.
async fn take_up_at_stopped_edge(site: &Site, other: &Edge) -> Vec<Outcome> {
    // Both edges know the first version.
    for edge in [site.edge(), other] {
        let mut stream = HeldStream::new();
        let outcome = stream.attempt(edge.ingress(), "/stream/1", None).await;
        assert_eq!(outcome, Outcome::Complete);
    }
    site.signal("STOP");
    let began = Instant::now();
    for n in [0, 1] {
        site.store.remove("keyed.servers", &format!("i-{n}"));
    }
    for n in [2, 3] {
        site.list_version(n, "v2");
    }
    sleep(LIST_TIME).await;
    Worker::share_script(&site.workers, &[SILENCE; STREAMS]);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut stream = HeldStream::new();
        let wanted = Some(EVENTS_BEFORE_CUT);
        let outcome = stream.attempt(other.ingress(), "/stream/1", wanted);
        assert_eq!(outcome.await, Outcome::Left);
        streams.push(stream);
    }
    for n in [0, 1] {
        site.list_version(n, "v1");
    }
    let take_ups = streams
        .iter_mut()
        .map(|stream| stream.attempt(site.edge().ingress(), "/stream/1", None));
    let go_on = async {
        sleep_until(began + STOP_TIME).await;
        site.signal("CONT");
    };
    let (outcomes, ()) = tokio::join!(join_all(take_ups), go_on);
    check_versions(&streams);
    outcomes
}

/// The edge is not told of the streams, and has to ask.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_edge() {
    let mut site = start(1, &["v1"; 4]).await;
    site.change_settings(&format!("port-range={EXCHANGE},{EXCHANGE}\n"), "");
    site.signal("KILL");
    site.edge_mut().restart();
    site.wait_until_ready().await;
    let other = site.start_edge(2, site.store_address()).await;
    let outcomes = take_up_at_stopped_edge(&site, &other).await;
    assert_eq!(outcomes, [Outcome::Complete; STREAMS]);
}

/// The edge has read the list before the configuration, and has to ask.
#[tokio::test(flavor = "multi_thread")]
async fn late_config() {
    let mut site = start(89, &["v1"; 4]).await;
    site.change_settings(&format!("port-range={EXCHANGE},{EXCHANGE}\n"), "");
    site.store.remove("keyed.op", "config");
    site.signal("KILL");
    site.edge_mut().restart();
    sleep(LIST_TIME / 4).await;
    site.store.put("keyed.op", "config", &config(2, &["k1"]));
    site.wait_until_ready().await;
    let other = site.start_edge(90, site.store_address()).await;
    let outcomes = take_up_at_stopped_edge(&site, &other).await;
    assert_eq!(outcomes, [Outcome::Complete; STREAMS]);
}

/// The edge is told of the streams before it has read of their upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_with_news() {
    let site = start(4, &["v1"; 4]).await;
    let other = site.start_edge(5, site.store_address()).await;
    let outcomes = take_up_at_stopped_edge(&site, &other).await;
    assert_eq!(outcomes, [Outcome::Complete; STREAMS]);
}

/// Takes up a stream that no edge knows, and returns the status.
async fn take_up_unknown(site: &Site) -> u16 {
    let unknown = format!("unknown-{}", rand::random::<u32>());
    let taken_up = [("Last-Event-Id", "1"), ("Resumes", &*unknown)];
    site.call("POST", "/stream/1", &taken_up).await.status
}

/// Starts an edge that knows one version, and lets an entry of another one come and go between two
/// reads of the list.
async fn pass_entry(test: u8, in_use: Option<&Value>) -> Site {
    let site = start(test, &["v1", "v1"]).await;
    site.wait_until("one version alone is in use", async || {
        take_up_unknown(&site).await == 200
    })
    .await;
    if let Some(set) = in_use {
        site.store.put(VERSIONS_TOPIC, "desk", set);
    }
    site.list_version(1, "v2");
    site.list_version(1, "v1");
    site
}

/// An entry of another version comes and goes between two reads of the list. Another edge has used
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn passing_entry() {
    let earlier = start(3, &["v1", "v2"]).await;
    let set = || earlier.store.values(VERSIONS_TOPIC).pop();
    let names_both = |set: Value| set["versions"].as_array().is_some_and(|set| set.len() == 2);
    earlier
        .wait_until("both are in use", async || set().is_some_and(names_both))
        .await;
    let site = pass_entry(7, set().as_ref()).await;
    assert_eq!(take_up_unknown(&site).await, 503);
    sleep(LIST_TIME).await;
    assert_eq!(take_up_unknown(&site).await, 503);
}

/// The same, but the store shows that no edge has used it.
#[tokio::test(flavor = "multi_thread")]
async fn unused_entry() {
    let site = pass_entry(8, None).await;
    assert_eq!(take_up_unknown(&site).await, 200);
}
