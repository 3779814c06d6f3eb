//! Guards against requests that have run and are answered as not run, so that their callers send
//! them again.

mod common;

use common::worker::{Action, Worker};
use common::{Response, Site, config};
use serde_json::json;

/// Statuses that promise that a request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Maximum number of sends of one request.
const MAX_SENDS: usize = 4;

/// All upstreams run the requests and answer with a status that promises the opposite. Returns the
/// responses to the caller.
async fn call_with_each(site: &Site, method: &str, path: &str) -> Vec<Response> {
    let mut responses = Vec::new();
    for status in PROMISES {
        Worker::share_script(&site.workers, &[Action::FailWith(status); MAX_SENDS]);
        let runs = site.total_runs();
        responses.push(site.call(method, path, &[]).await);
        assert!(site.total_runs() > runs, "it did not run");
        Worker::share_script(&site.workers, &[]);
    }
    responses
}

fn check(responses: &[Response]) {
    for (status, response) in PROMISES.iter().zip(responses) {
        let context = format!("after {status}: {response:?}");
        assert!(!PROMISES.contains(&response.status), "{context}");
        assert_eq!(response.header("retry-after"), None, "{context}");
        // A failure with the upstream's signature bears its status.
        assert_eq!(response.header("x-server-seal"), None, "{context}");
    }
}

/// The request may run once.
#[tokio::test(flavor = "multi_thread")]
async fn once() {
    let site = Site::start(1, 2).await;
    let runs = site.total_runs();
    check(&call_with_each(&site, "POST", "/once/1").await);
    assert_eq!(site.total_runs() - runs, PROMISES.len() as u64);
}

/// The request is sent to other upstreams, and the last error is kept meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn repeated() {
    let site = Site::start(2, 2).await;
    check(&call_with_each(&site, "GET", "/any/1").await);
}

/// A stream that may be resumed, before its first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream() {
    let site = Site::start(3, 2).await;
    check(&call_with_each(&site, "POST", "/stream/1").await);
}

/// A stream that may run once, before its first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_once() {
    let site = Site::start(4, 2).await;
    let mut config = config(2, &["k1"]);
    config["routes"][2]["resumable"] = json!(false);
    site.store.put("keyed.op", "config", &config);
    site.wait_until("the stream may run once", async || {
        Worker::share_script(&site.workers, &[Action::Fail; MAX_SENDS]);
        let runs = site.total_runs();
        site.call("POST", "/stream/1", &[]).await;
        site.total_runs() == runs + 1
    })
    .await;
    check(&call_with_each(&site, "POST", "/stream/1").await);
}

/// The decode engine runs the request after a separate prefill.
#[tokio::test(flavor = "multi_thread")]
async fn decode() {
    let site = Site::start_engines_with(5, 4, false, 100).await;
    let prompt = [
        ("X-Token-Counts", "20000,100"),
        ("X-Prompt-Prefix", "a:10,b:19990"),
    ];
    let engines = &site.workers[2..];
    let runs = || engines.iter().map(Worker::total_runs).sum::<u64>();
    for status in PROMISES {
        Worker::share_script(engines, &[Action::FailWith(status)]);
        let before = runs();
        let response = site.call("POST", "/stream/1", &prompt).await;
        assert_eq!(runs(), before + 1, "it did not run");
        assert!(
            !PROMISES.contains(&response.status),
            "after {status}: {response:?}"
        );
    }
}
