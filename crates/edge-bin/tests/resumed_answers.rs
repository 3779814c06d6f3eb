//! Guards against an answer other than the rest of the stream in the middle of a stream that broke
//! off, and against a stream that then ends as complete.

mod common;

use common::body_end::EVENTS_BEFORE_CUT;
use common::worker::{Action, EVENTS, Worker, events};
use common::{Site, decode_chunked};

/// Headers of a short prompt, which a decode engine runs whole.
const SHORT_PROMPT: [(&str, &str); 2] =
    [("X-Token-Counts", "60,5"), ("X-Prompt-Prefix", "a:20,b:40")];

/// The caller gets the events before the break, and the connection closes without the last chunk.
#[tokio::test(flavor = "multi_thread")]
async fn no_rest() {
    let answers = [
        Action::Fail,
        Action::NotRun,
        Action::UnnamedRefusal,
        Action::Unsigned,
        Action::UnsignedStream,
        Action::StreamFromStart,
        Action::WrongId,
        Action::Serve,
        Action::Truncate,
        Action::Close,
    ];
    for (test, answer) in (1..).zip(answers) {
        let site = Site::start(test, 2).await;
        let actions = [Action::BreakAfter(EVENTS_BEFORE_CUT), answer];
        Worker::share_script(&site.workers, &actions);
        let response = site.call("POST", "/stream/1", &SHORT_PROMPT).await;
        assert_eq!(response.status, 200, "{answer:?}");
        assert_eq!(
            decode_chunked(&response.body),
            events(1, EVENTS_BEFORE_CUT),
            "{answer:?}"
        );
        assert!(!response.body.ends_with(b"0\r\n\r\n"), "{answer:?}");
    }
}

/// A caller that takes its stream up gets no event a second time.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_events() {
    let site = Site::start(20, 2).await;
    let taken_up = [("Last-Event-Id", "2"), ("Resumes", "first-1")];
    Worker::share_script(&site.workers, &[Action::StreamFromStart, Action::Stream]);
    let response = site.call("POST", "/stream/1", &taken_up).await;
    assert_eq!(response.status, 200);
    assert_eq!(decode_chunked(&response.body), events(3, EVENTS));
}
