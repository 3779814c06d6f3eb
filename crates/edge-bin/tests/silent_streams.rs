//! Guards against streams that are broken off because their upstream is silent for a while, although
//! it goes on.

mod common;

use std::time::Duration;

use common::worker::{Action, EVENTS, Worker, events};
use common::{Response, Site, config, decode_chunked};
use tokio::time::timeout;

/// Number of events before the silence.
const EVENTS_BEFORE: u32 = 2;

/// Maximum time of a request.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time for which two upstreams may work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Starts a site with `workers` workers and time for a silence within a stream.
async fn start(test: u8, workers: u16) -> Site {
    start_with_attempts(test, workers, 2).await
}

async fn start_with_attempts(test: u8, workers: u16, attempts: u32) -> Site {
    let site = Site::start_without_config(test, workers).await;
    put_config(&site, 1, attempts);
    site.wait_until_ready().await;
    site
}

fn put_config(site: &Site, version: u64, attempts: u32) {
    let mut config = config(version, &["k1"]);
    config["routes"][2]["timeout-ms"] = u64::try_from(TIMEOUT.as_millis()).unwrap().into();
    config["routes"][2]["attempts"] = attempts.into();
    site.store.put("keyed.op", "config", &config);
}

/// Calls the site with the next requests getting `actions`, whichever worker they reach.
async fn call(site: &Site, actions: &[Action]) -> Response {
    Worker::share_script(&site.workers, actions);
    site.call("POST", "/stream/1", &[]).await
}

fn assert_whole(response: &Response) {
    assert_eq!(response.status, 200);
    assert_eq!(decode_chunked(&response.body), events(1, EVENTS));
    assert!(response.body.ends_with(b"0\r\n\r\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn only_upstream() {
    let site = start(121, 1).await;
    let response = call(&site, &[Action::PauseAfter(EVENTS_BEFORE)]).await;
    assert_whole(&response);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_refuses() {
    let site = start(122, 2).await;
    let actions = [Action::PauseAfter(EVENTS_BEFORE), Action::NotRun];
    assert_whole(&call(&site, &actions).await);
}

/// The silent upstream must not work on the stream while the other one does.
#[tokio::test(flavor = "multi_thread")]
async fn other_takes_it() {
    let site = start(123, 2).await;
    let actions = [Action::PauseAfter(EVENTS_BEFORE), Action::Stream];
    assert_whole(&call(&site, &actions).await);
    let silent_ends = |worker: &Worker| worker.silent_ends();
    site.wait_until("the silent upstream is dropped", async || {
        site.workers.iter().any(|up| !silent_ends(up).is_empty())
    })
    .await;
    let ended = site.workers.iter().flat_map(silent_ends).next().unwrap();
    let arrivals = site.workers.iter().flat_map(Worker::arrivals);
    let resumed = arrivals.max().unwrap();
    assert!(ended.saturating_duration_since(resumed) < MAX_OVERLAP);
}

/// A response that has not begun is no reason to drop the one that has.
#[tokio::test(flavor = "multi_thread")]
async fn other_hangs() {
    let site = start(124, 2).await;
    let actions = [Action::PauseAfter(EVENTS_BEFORE), Action::Hang];
    assert_whole(&call(&site, &actions).await);
}

/// The other upstream is lost before it answers.
#[tokio::test(flavor = "multi_thread")]
async fn other_breaks() {
    let site = start(125, 2).await;
    let actions = [Action::PauseAfter(EVENTS_BEFORE), Action::Close];
    assert_whole(&call(&site, &actions).await);
}

/// An upstream that sends nothing more must not keep the stream if another one can go on.
#[tokio::test(flavor = "multi_thread")]
async fn endless_silence() {
    let site = start(126, 2).await;
    let actions = [Action::SilentAfter(EVENTS_BEFORE), Action::Stream];
    assert_whole(&call(&site, &actions).await);
}

/// The request to another upstream hangs when the silent one breaks.
#[tokio::test(flavor = "multi_thread")]
async fn break_while_asked() {
    let site = start_with_attempts(137, 2, 3).await;
    let first = Action::PauseThenBreak(EVENTS_BEFORE);
    let actions = [first, Action::Hang, Action::Stream];
    let response = timeout(TIMEOUT / 2, call(&site, &actions)).await;
    assert_whole(&response.expect("the hung request is not ended"));
}

/// No connection to the other upstream opens while the silent one is about to go on.
#[tokio::test(flavor = "multi_thread")]
async fn other_unopened() {
    let (site, proxies) = Site::start_with_proxies(138, 2).await;
    put_config(&site, 2, 2);
    site.wait_until("the configuration is applied", async || {
        site.edge().metric("nutmegbay_config_version").await == 2
    })
    .await;
    let calls = |n: usize| site.workers[n].calls();
    let opened = || site.edge().metric("nutmegbay_connections_opened_total");
    let before = [calls(0), calls(1)];
    let close = async {
        site.wait_until("a worker has begun", async || {
            calls(0) + calls(1) > before[0] + before[1]
        })
        .await;
        let other = usize::from(calls(0) > before[0]);
        let queue = proxies[other].close().await;
        (queue, opened().await)
    };
    let actions = [Action::PauseAfter(EVENTS_BEFORE)];
    let (response, (_queue, opened_before)) = tokio::join!(call(&site, &actions), close);
    assert_whole(&response);
    assert!(opened().await > opened_before, "the other one is not asked");
}
