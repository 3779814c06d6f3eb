//! Guards against streams that hold events of two software versions.

mod common;

use common::Site;
use common::body_end::EVENTS_BEFORE_CUT;
use common::proxy::LinkState;
use common::store::Fault;
use common::take_ups::{
    LIST_TIME, SILENCE, STREAMS, begin_streams, check_versions, list, start, take_up,
};
use common::versioned::{HeldStream, Outcome};
use common::worker::{Action, EVENTS, Worker, header};
use futures::future::join_all;
use serde_json::json;
use tokio::time::sleep;

/// Two upstreams of each version, so that one is left when another one breaks off.
const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

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

/// The upstreams of the stream's version refuse it at first. Those of the other version must not be
/// tried instead.
#[tokio::test(flavor = "multi_thread")]
async fn refused_at_first() {
    let site = start(113, &VERSIONS).await;
    let mut streams = begin_streams(&site, site.edge(), &VERSIONS).await;
    for stream in &mut streams {
        Worker::share_script(&site.workers, &[Action::NotRun; 3]);
        let stream = std::slice::from_mut(stream);
        assert_eq!(take_up(stream, site.edge()).await, 1);
    }
    check_versions(&streams);
}

/// The edge that carried the streams is killed. It knows nothing of them afterwards, but the other
/// edge does.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_edge() {
    let mut site = start(114, &VERSIONS).await;
    let other = site.start_edge(115, site.store_address()).await;
    site.set_seed(&other);
    let mut streams = begin_streams(&site, site.edge(), &VERSIONS).await;
    site.signal("KILL");
    site.edge_mut().restart();
    site.wait_until_ready().await;
    let completed = take_up(&mut streams, site.edge()).await;
    check_versions(&streams);
    assert_eq!(completed, streams.len(), "streams do not go on");
    drop(other);
}

/// All upstreams of the version have left. The caller gets a refusal at once, and no upstream of the
/// other version runs its request.
#[tokio::test(flavor = "multi_thread")]
async fn version_gone() {
    let site = start(116, &VERSIONS).await;
    let streams = begin_streams(&site, site.edge(), &VERSIONS).await;
    for n in [0, 2] {
        site.store.remove("keyed.servers", &format!("i-{n}"));
    }
    sleep(LIST_TIME).await;
    for mut stream in streams {
        let is_left = stream.versions().contains("v1");
        let runs = site.total_runs();
        let outcome = stream.attempt(site.edge().ingress(), "/stream/1", None);
        if is_left {
            assert_eq!(outcome.await, Outcome::Refused(503));
            assert_eq!(site.total_runs(), runs);
        } else {
            assert_eq!(outcome.await, Outcome::Complete);
        }
    }
}

/// The only decode engine of the version that ran the prefill starts to drain during the prefill.
#[tokio::test(flavor = "multi_thread")]
async fn prefill_of_other_version() {
    let site = Site::start_engines_with(117, 2, true, 1_000).await;
    for (n, version) in (0..).zip(["v1", "v2", "v1", "v2"]) {
        site.list_engine_version(n, version);
    }
    sleep(LIST_TIME).await;
    for worker in &site.workers {
        worker.script(&[Action::SlowPrefill]);
    }
    let prompt = [
        ("X-Token-Counts", "20000,100"),
        ("X-Prompt-Prefix", "a:10,b:19990"),
    ];
    let leave = async {
        site.wait_until("the prefill has started", async || site.runs() > 0)
            .await;
        let first = (0..)
            .zip(&site.workers)
            .find(|(_, w)| !w.requests().is_empty());
        site.list_engine_as_draining(2 + first.unwrap().0);
    };
    let (response, ()) = tokio::join!(site.call("POST", "/stream/1", &prompt), leave);
    let mut prefills = site.workers[..2].iter().flat_map(Worker::requests);
    assert!(prefills.next().is_some(), "{response:?}");
    for (n, worker) in site.workers.iter().enumerate().skip(2) {
        let own_source = format!(":{}/", 8_500 + n - 2);
        for head in worker.requests() {
            let source = header(&head, "x-kv-source");
            assert!(source.is_none_or(|at| at.contains(&own_source)), "{head}");
        }
    }
}

/// Streams that callers take up wait behind new requests of more urgent routes.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_take_up() {
    let site = Site::start_engines_with(118, 1, true, 1_000).await;
    site.list_engine_version(2, "v1");
    let mut config = common::config(2, &["k1"]);
    config["services"][0]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
        "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
    config["routes"][2]["resumable"] = json!(true);
    config["routes"][2]["priority"] = json!(4);
    site.store.put("keyed.op", "config", &config);
    site.wait_until("the priority is in force", async || {
        let mut stream = HeldStream::new();
        stream
            .attempt(site.edge().ingress(), "/stream/1", None)
            .await;
        priorities(&site).last() == Some(&"1".into())
    })
    .await;
    let mut stream = HeldStream::new();
    site.workers[2].script(&[SILENCE]);
    let left = stream.attempt(site.edge().ingress(), "/stream/1", Some(EVENTS_BEFORE_CUT));
    assert_eq!(left.await, Outcome::Left);
    let complete = stream.attempt(site.edge().ingress(), "/stream/1", None);
    assert_eq!(complete.await, Outcome::Complete);
    assert_eq!(priorities(&site).last(), Some(&"0".into()));
}

/// Returns the ranks of the requests at the decode engine.
fn priorities(site: &Site) -> Vec<String> {
    let heads = site.workers[2].requests();
    let rank = |head: &String| Some(header(head, "x-request-priority")?.to_owned());
    heads.iter().filter_map(rank).collect()
}

/// An upstream starts again under its id with another version, behind connections that are silent
/// and stay open, before the list is read again. It is silent in the middle of its streams.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_behind_silence() {
    const CALLERS: usize = 12;
    let (site, proxies) = Site::start_with_proxies(56, 2).await;
    list(&site, &["v1", "v1"]).await;
    let ask = async || {
        let mut stream = HeldStream::new();
        stream
            .attempt(site.edge().ingress(), "/stream/1", None)
            .await;
        stream
    };
    join_all((0..CALLERS / 3).map(|_| ask())).await;
    site.store.set_fault(Fault::Refuse);
    proxies[0].set(LinkState::Severed);
    site.workers[0].restart_as("v2");
    sleep(LIST_TIME).await;
    site.workers[0].script(&[SILENCE; CALLERS]);
    let streams = join_all((0..CALLERS).map(|_| ask())).await;
    check_versions(&streams);
}

/// Upstreams start again under their ids with another version while the list cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_unseen() {
    let site = start(155, &["v1", "v1"]).await;
    let mut streams = begin_streams(&site, site.edge(), &["v1", "v1"]).await;
    site.store.set_fault(Fault::Refuse);
    for worker in &site.workers {
        worker.restart_as("v2");
    }
    sleep(LIST_TIME).await;
    take_up(&mut streams, site.edge()).await;
    check_versions(&streams);
}
