//! Guards against requests to a worker that has stated in its responses that it leaves, or that it
//! wants none for some time.

mod common;

use std::time::Duration;

use common::store::Fault;
use common::worker::{Action, Worker};
use common::{Response, Site};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

/// The operator's bound for a leaving worker.
const BOUND: Duration = Duration::from_secs(2);

/// Time after a refusal from which a worker gets at most [`MAX_LATE`] requests.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Requests that may reach a worker which wants none.
const MAX_LATE: usize = 2;

/// Headers of a prompt that is prefilled at a prefill engine.
const LONG_PROMPT: [(&str, &str); 2] = [
    ("X-Token-Counts", "20000,5"),
    ("X-Prompt-Prefix", "a:10,b:19990"),
];

/// Sends nine requests at a time, which are spread over the workers, for `time`. Returns the
/// responses.
async fn call_for(site: &Site, time: Duration) -> Vec<Response> {
    let end = Instant::now() + time;
    let mut responses = Vec::new();
    while Instant::now() < end {
        let calls = (0..9).map(|_| site.call("POST", "/once/1", &[]));
        responses.extend(join_all(calls).await);
        sleep(Duration::from_millis(50)).await;
    }
    responses
}

fn all_served(responses: &[Response]) -> bool {
    responses.iter().all(|response| response.status == 200)
}

/// The list of instances shows the worker as ready all the time, and the store is down for a part
/// of it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving() {
    let site = Site::start(1, 2).await;
    for n in 0..2 {
        site.list_heartbeat(n, "ready", 1);
    }
    sleep(BOUND).await;
    site.workers[0].set_leaving(true);
    call_for(&site, BOUND).await;
    assert!(site.workers[0].calls() > 0);
    let calls = site.workers[0].calls();
    site.store.set_fault(Fault::Refuse);
    assert!(all_served(&call_for(&site, BOUND).await));
    site.store.set_fault(Fault::None);
    // The entry expires and returns.
    site.store.remove("keyed.servers", "i-0");
    assert!(all_served(&call_for(&site, 2 * BOUND).await));
    site.list_heartbeat(0, "ready", 2);
    assert!(all_served(&call_for(&site, BOUND).await));
    assert_eq!(site.workers[0].calls(), calls, "a leaving worker is used");
    // It starts again under the same name.
    site.workers[0].set_leaving(false);
    site.list_as_started(0, 1_800_000_000_000);
    call_for(&site, BOUND).await;
    assert!(site.workers[0].calls() > calls, "a new worker is not used");
}

/// Prompts are not prefilled at a leaving engine, nor decoded at one.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engines() {
    let site = Site::start_engines_with(2, 2, true, 1_000).await;
    let call = async || {
        let response = site.call("POST", "/stream/1", &LONG_PROMPT).await;
        response.status
    };
    for engine in site.workers.iter().skip(2) {
        engine.script(&[Action::Stream; 200]);
    }
    for leaving in [0, 2] {
        site.workers[leaving].set_leaving(true);
    }
    for _ in 0..10 {
        assert_eq!(call().await, 200);
    }
    let calls = [0, 2].map(|n| site.workers[n].calls());
    for _ in 0..20 {
        assert_eq!(call().await, 200);
    }
    assert_eq!([0, 2].map(|n| site.workers[n].calls()), calls);
}

/// A worker refuses requests for a time, during which another one serves them.
#[tokio::test(flavor = "multi_thread")]
async fn paused() {
    let site = Site::start(3, 2).await;
    site.workers[0].set_pause(Some("6"));
    let refused_at = pause_start(&site, &site.workers[..1]).await;
    let end = refused_at + Duration::from_secs(6);
    sleep(REFUSAL_TIME).await;
    let calls = site.workers[0].calls();
    assert!(all_served(
        &call_for(&site, Duration::from_millis(5_200)).await
    ));
    assert!(Instant::now() < end);
    assert!(
        site.workers[0].calls() - calls <= MAX_LATE,
        "a worker that wants no requests gets some"
    );
    site.workers[0].set_pause(None);
    call_for(&site, BOUND).await;
    assert!(
        site.workers[0].calls() > calls,
        "the worker is not used again"
    );
}

/// All workers refuse requests. Callers are refused at once and told when one wants some again.
#[tokio::test(flavor = "multi_thread")]
async fn all_paused() {
    let site = Site::start(4, 2).await;
    site.workers[0].set_pause(Some("1.5"));
    site.workers[1].set_pause(Some("60"));
    pause_start(&site, &site.workers).await;
    let calls = site.calls();
    let began = Instant::now();
    let response = site.call("POST", "/once/1", &[]).await;
    assert!(began.elapsed() < Duration::from_millis(300));
    assert_eq!(response.status, 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after < 6.0, "{retry_after}");
    assert_eq!(site.calls(), calls, "a request is sent in vain");
    for worker in &site.workers {
        worker.set_pause(None);
    }
    site.wait_until("the first worker is used again", async || {
        site.call("POST", "/once/1", &[]).await.status == 200
    })
    .await;
    assert!(began.elapsed() < Duration::from_secs(3));
}

/// Unusable values neither end the edge nor keep the worker out of use.
#[tokio::test(flavor = "multi_thread")]
async fn unusable_pauses() {
    let site = Site::start(5, 1).await;
    for pause in [
        "-3",
        "NaN",
        "",
        "soon",
        "Fri, 31 Dec 1999 23:59:59 GMT",
        "0",
    ] {
        site.workers[0].set_pause(Some(pause));
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 503);
        site.workers[0].set_pause(None);
        assert_eq!(
            site.call("POST", "/once/1", &[]).await.status,
            200,
            "{pause:?}"
        );
    }
}

/// Sends requests until each of `workers` has refused one. Returns the time.
async fn pause_start(site: &Site, workers: &[Worker]) -> Instant {
    let calls: Vec<_> = workers.iter().map(Worker::calls).collect();
    site.wait_until("the workers refuse requests", async || {
        join_all((0..9).map(|_| site.call("POST", "/once/1", &[]))).await;
        workers
            .iter()
            .zip(&calls)
            .all(|(w, calls)| w.calls() > *calls)
    })
    .await;
    Instant::now()
}
