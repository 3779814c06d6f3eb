//! Guards against requests that ran although their caller got a 503, and against non-idempotent
//! requests that run more than once, for each way in which a worker fails.

mod common;

use std::time::Duration;

use common::Site;
use common::decode_chunked;
use common::worker::{Action, EVENTS, event, events, header};
use tokio::time::timeout;

/// Returns the status and the number of runs of a request to `path` whose worker performs `action`.
async fn outcome(site: &Site, path: &str, action: Action) -> (u16, usize) {
    for worker in &site.workers {
        worker.clear_requests();
        worker.script(&[action]);
    }
    let response = site.call("POST", path, &[]).await;
    for worker in &site.workers {
        worker.script(&[]);
    }
    (response.status, site.runs())
}

#[tokio::test(flavor = "multi_thread")]
async fn once_only() {
    let site = Site::start(11, 2).await;
    let cases = [
        (Action::NotRun, 503, 0),
        (Action::Fail, 500, 1),
        (Action::Close, 502, 1),
        (Action::WrongId, 502, 1),
        (Action::Unsigned, 502, 1),
        (Action::Truncate, 502, 1),
        (Action::SendTwice, 200, 1),
        (Action::Hang, 504, 1),
        (Action::Serve, 200, 1),
    ];
    for (action, status, runs) in cases {
        assert_eq!(
            outcome(&site, "/once/1", action).await,
            (status, runs),
            "{action:?}"
        );
    }
}

/// A repeatable request is sent to a second worker, but not to a third.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable() {
    let site = Site::start(12, 3).await;
    for action in [
        Action::NotRun,
        Action::Close,
        Action::WrongId,
        Action::Unsigned,
        Action::Truncate,
        Action::Fail,
    ] {
        for worker in &site.workers {
            worker.clear_requests();
        }
        site.workers[0].script(&[action]);
        site.workers[1].script(&[action]);
        site.workers[2].script(&[action]);
        let response = site.call("GET", "/any/1", &[]).await;
        assert!(
            [500, 502, 503].contains(&response.status),
            "{action:?}: {}",
            response.status
        );
        assert_eq!(
            response.status == 503,
            action == Action::NotRun,
            "{action:?}: 503 exactly if nothing ran"
        );
        assert!(site.runs() <= 2, "{action:?}: {} runs", site.runs());
        for worker in &site.workers {
            worker.script(&[]);
        }
    }
    site.workers[0].script(&[Action::Close]);
    for _ in 0..6 {
        assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    }
}

/// The edge closes its connection to the worker when the caller disconnects, so that the worker
/// stops.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let site = Site::start(16, 1).await;
    site.workers[0].script(&[Action::Hang]);
    site.call_and_disconnect("/once/1", Duration::from_millis(200))
        .await;
    let closed = site.wait_until("the connection to the worker is closed", async || {
        site.workers[0].abandoned() == 1
    });
    timeout(Duration::from_millis(500), closed)
        .await
        .expect("the connection to the worker was closed too late");
}

/// A surplus response may arrive late, before the response to the next request on the same
/// connection. It must be skipped. Otherwise that caller gets a 502 although its request ran and
/// has a response.
#[tokio::test(flavor = "multi_thread")]
async fn late_extra_answer() {
    let site = Site::start(20, 1).await;
    for _ in 0..3 {
        let usual = site.call("POST", "/once/1", &[]).await;
        assert_eq!(usual.status, 200, "the connection must be kept open");
        site.workers[0].script(&[Action::WrongIdFirst]);
        let response = site.call("POST", "/once/2", &[]).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body, b"done");
    }
    assert_eq!(site.runs(), 6);
}

/// Bytes after a complete response belong to no request.
#[tokio::test(flavor = "multi_thread")]
async fn extra_bytes() {
    let site = Site::start(13, 1).await;
    site.workers[0].script(&[
        Action::SendTwice,
        Action::Serve,
        Action::SendTwice,
        Action::Serve,
    ]);
    for n in 0..4 {
        let response = site.call("POST", "/once/1", &[]).await;
        assert!(
            [200, 502].contains(&response.status),
            "request {n}: {}",
            response.status
        );
        assert!(response.status != 200 || response.body == b"done");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_stream() {
    let site = Site::start(14, 1).await;
    site.workers[0].script(&[Action::Stream]);
    let response = site.call("POST", "/stream/1", &[]).await;
    assert_eq!(response.status, 200);
    assert_eq!(decode_chunked(&response.body), events(1, EVENTS));
}

/// A stream that breaks within an event continues at another worker after the last complete event.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream() {
    let site = Site::start(15, 2).await;
    for worker in &site.workers {
        worker.script(&[Action::BreakAfter(2)]);
    }
    // The second worker must continue after the last complete event of the first one.
    let both_break = async {
        let response = site.call("POST", "/stream/1", &[]).await;
        (response.status, complete_events(&response.body))
    };
    let (status, got) = both_break.await;
    assert_eq!(status, 200);
    assert_eq!(
        got,
        events(1, 2),
        "the caller must get only complete events before the stream breaks"
    );
    let requests = site
        .workers
        .iter()
        .flat_map(common::worker::Worker::requests);
    let resumed_after: Vec<_> = requests
        .filter_map(|head| header(&head, "last-event-id").map(String::from))
        .collect();
    assert_eq!(resumed_after, ["2"]);

    site.workers[0].script(&[Action::BreakAfter(3)]);
    site.workers[1].script(&[Action::BreakAfter(3)]);
    let both = site.call("POST", "/stream/1", &[]).await;
    assert_eq!(complete_events(&both.body), events(1, 3));
}

/// Returns the complete events of a body that may be truncated.
fn complete_events(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    (1..=EVENTS)
        .map(event)
        .take_while(|event| text.contains(event.as_str()))
        .collect()
}
