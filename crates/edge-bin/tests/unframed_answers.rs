//! Guards against a stream that ended within an event and was passed on as complete. Its response
//! had neither a length nor chunks, so it ended with its connection.

mod common;

use common::worker::{Action, EVENTS, event, events, header};
use common::{Response, Site, decode_chunked};

/// End of a complete response in chunked transfer encoding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Headers of a short prompt, which a decode engine runs whole.
const SHORT_PROMPT: [(&str, &str); 2] =
    [("X-Token-Counts", "60,5"), ("X-Prompt-Prefix", "a:20,b:40")];

async fn call(site: &Site) -> Response {
    let response = site.call("POST", "/stream/1", &SHORT_PROMPT).await;
    assert_eq!(response.status, 200);
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_stream() {
    let site = Site::start(47, 1).await;
    for _ in 0..2 {
        site.workers[0].script(&[Action::UnframedStream]);
        let response = call(&site).await;
        assert_eq!(decode_chunked(&response.body), events(1, EVENTS));
    }
}

/// The rest of the stream comes from another worker.
#[tokio::test(flavor = "multi_thread")]
async fn broken_off() {
    let site = Site::start(48, 2).await;
    for worker in &site.workers {
        worker.script(&[Action::UnframedBreakAfter(2)]);
    }
    let response = call(&site).await;
    let resumed_after: Vec<_> = site
        .workers
        .iter()
        .flat_map(common::worker::Worker::requests)
        .filter_map(|head| header(&head, "last-event-id").map(String::from))
        .collect();
    assert_eq!(resumed_after, ["2"]);
    assert!(response.body.ends_with(LAST_CHUNK));
    assert_eq!(decode_chunked(&response.body), events(1, EVENTS));
}

/// Without another worker that may continue it, the response must not look complete.
#[tokio::test(flavor = "multi_thread")]
async fn not_resumable() {
    let site = Site::start_engines(49).await;
    site.workers[2].script(&[Action::UnframedBreakAfter(2)]);
    let response = call(&site).await;
    assert!(!response.body.ends_with(LAST_CHUNK));
    let text = String::from_utf8_lossy(&response.body);
    assert!(
        text.contains(&event(2)) && !text.contains("id: 9"),
        "{text}"
    );
}
