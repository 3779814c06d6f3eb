//! Guards against responses that broke off and reached their caller as complete, for each way in
//! which a response of an upstream can end.

mod common;

use common::body_end::{
    BodyEnd, Close, Cut, EVENTS_BEFORE_CUT, Framing, PLAIN_BODY, PLAIN_BODY_CUT,
};
use common::worker::{Action, EVENTS, Worker, events};
use common::{Response, Site, config, decode_chunked};
use serde_json::json;
use tokio::runtime::Runtime;

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

const CUTS: [Cut; 6] = [
    Cut::WithinHead,
    Cut::AfterHead,
    Cut::WithinPiece,
    Cut::BetweenEvents,
    Cut::WithinLastPiece,
    Cut::Nowhere,
];

const CLOSES: [Close; 3] = [Close::Fin, Close::Reset, Close::Silence];

/// End of a complete response in chunked transfer encoding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Headers of a short prompt, which a decode engine runs whole.
const SHORT_PROMPT: [(&str, &str); 2] =
    [("X-Token-Counts", "60,5"), ("X-Prompt-Prefix", "a:20,b:40")];

/// Headers of a prompt that is prefilled at a prefill engine.
const LONG_PROMPT: [(&str, &str); 2] = [
    ("X-Token-Counts", "20000,5"),
    ("X-Prompt-Prefix", "a:10,b:19990"),
];

/// What the caller gets.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// A response that is framed as complete, with this body.
    Complete(String),
    /// A 200 whose end is missing.
    BrokenOff,
    /// A failure with this status.
    Failure(u16),
}

impl Outcome {
    fn whole_stream() -> Self {
        Self::Complete(events(1, EVENTS))
    }

    fn of(response: &Response) -> Self {
        let is_chunked = response.header("transfer-encoding").is_some();
        match response.status {
            200 if is_chunked && response.body.ends_with(LAST_CHUNK) => {
                Self::Complete(decode_chunked(&response.body))
            }
            200 if is_chunked => Self::BrokenOff,
            200 => {
                let len: usize = response.header("content-length").unwrap().parse().unwrap();
                let text = String::from_utf8(response.body.clone()).unwrap();
                if text.len() == len {
                    Self::Complete(text)
                } else {
                    Self::BrokenOff
                }
            }
            status => Self::Failure(status),
        }
    }
}

/// Returns all combinations of framing, cut and close that differ from each other.
fn body_ends() -> impl Iterator<Item = BodyEnd> {
    FRAMINGS.into_iter().flat_map(|framing| {
        CUTS.into_iter().flat_map(move |cut| {
            CLOSES.into_iter().map(move |close| BodyEnd {
                framing,
                cut,
                close,
            })
        })
    })
}

/// Returns whether the response is complete for anyone who reads it.
fn is_complete(end: BodyEnd) -> bool {
    match (end.framing, end.cut) {
        (Framing::Length | Framing::Chunks, Cut::Nowhere) => true,
        (Framing::Connection, Cut::Nowhere) => end.close == Close::Fin,
        _ => false,
    }
}

/// Returns whether nothing shows that a stream has broken off.
fn looks_complete(end: BodyEnd) -> bool {
    end.framing == Framing::Connection && end.cut == Cut::BetweenEvents && end.close == Close::Fin
}

/// Returns whether nothing shows that a plain body has broken off.
fn looks_whole(end: BodyEnd) -> bool {
    match end.framing {
        Framing::Length | Framing::Chunks => end.cut == Cut::WithinLastPiece,
        Framing::Connection => {
            let has_bytes = !matches!(end.cut, Cut::WithinHead | Cut::AfterHead);
            has_bytes && end.cut != Cut::Nowhere && end.close == Close::Fin
        }
    }
}

/// Calls a new site, whose upstreams have no history, for each way in which a response can end.
/// Asserts that each outcome is the expected one.
fn check_all(outcome: impl AsyncFn(BodyEnd) -> Outcome, expected: impl Fn(BodyEnd) -> Outcome) {
    let mut mismatches = Vec::new();
    for end in body_ends() {
        let runtime = Runtime::new().unwrap();
        let outcome = runtime.block_on(outcome(end));
        let expected = expected(end);
        if outcome != expected {
            mismatches.push(format!("{end:?}: {outcome:?} in place of {expected:?}"));
        }
    }
    assert!(mismatches.is_empty(), "{mismatches:#?}");
}

async fn call(site: &Site, actions: &[Action], path: &str, headers: &[(&str, &str)]) -> Outcome {
    Worker::share_script(&site.workers, actions);
    Outcome::of(&site.call("POST", path, headers).await)
}

/// The rest of a resumable stream comes from another upstream.
#[test]
fn resumable_streams() {
    let outcome = async |end| {
        let site = Site::start(101, 2).await;
        let actions = [Action::End(end), Action::Stream];
        call(&site, &actions, "/stream/1", &SHORT_PROMPT).await
    };
    check_all(outcome, |end| match end {
        _ if looks_complete(end) => Outcome::Complete(events(1, EVENTS_BEFORE_CUT)),
        _ => Outcome::whole_stream(),
    });
}

/// A response that resumes a stream ends early too, and no third upstream may be asked.
#[test]
fn resumed_streams() {
    let outcome = async |end| {
        let site = Site::start(102, 2).await;
        let actions = [Action::BreakAfter(EVENTS_BEFORE_CUT), Action::End(end)];
        call(&site, &actions, "/stream/1", &SHORT_PROMPT).await
    };
    check_all(outcome, |end| match end {
        _ if is_complete(end) => Outcome::whole_stream(),
        _ if looks_complete(end) => Outcome::Complete(events(1, 2 * EVENTS_BEFORE_CUT)),
        _ => Outcome::BrokenOff,
    });
}

/// Returns what the caller gets of a stream that is not resumable. Nothing of it is sent before
/// its first event, so that the caller gets a failure until then.
fn single_stream(end: BodyEnd) -> Outcome {
    match (end.cut, end.close) {
        _ if is_complete(end) => Outcome::whole_stream(),
        _ if looks_complete(end) => Outcome::Complete(events(1, EVENTS_BEFORE_CUT)),
        (Cut::WithinHead | Cut::AfterHead, Close::Silence) => Outcome::Failure(504),
        (Cut::WithinHead | Cut::AfterHead, _) => Outcome::Failure(502),
        _ => Outcome::BrokenOff,
    }
}

#[test]
fn single_streams() {
    let outcome = async |end| {
        let site = Site::start_without_config(103, 1).await;
        let mut config = config(1, &["k1"]);
        config["routes"][2]["resumable"] = json!(false);
        site.store.put("keyed.op", "config", &config);
        site.wait_until_ready().await;
        call(&site, &[Action::End(end)], "/stream/1", &SHORT_PROMPT).await
    };
    check_all(outcome, single_stream);
}

/// The stream is decoded after a separate prefill.
#[test]
fn decoded_streams() {
    let outcome = async |end| {
        let site = Site::start_engines_with(104, 1, false, 1_000).await;
        let actions = [Action::Serve, Action::End(end)];
        call(&site, &actions, "/stream/1", &LONG_PROMPT).await
    };
    check_all(outcome, single_stream);
}

/// A plain body is passed on whole or not at all.
#[test]
fn plain_bodies() {
    let outcome = async |end| {
        let site = Site::start(105, 1).await;
        call(&site, &[Action::End(end)], "/once/1", &[]).await
    };
    check_all(outcome, |end| match end.close {
        _ if is_complete(end) => Outcome::Complete(PLAIN_BODY.into()),
        _ if looks_whole(end) => Outcome::Complete(PLAIN_BODY[..PLAIN_BODY_CUT].into()),
        Close::Silence => Outcome::Failure(504),
        Close::Fin | Close::Reset => Outcome::Failure(502),
    });
}

/// A plain request that may be repeated gets its response from another upstream.
#[test]
fn repeated_plain_requests() {
    let outcome = async |end| {
        let site = Site::start(106, 2).await;
        let actions = [Action::End(end), Action::Serve];
        call(&site, &actions, "/any/1", &[]).await
    };
    check_all(outcome, |end| match end {
        _ if is_complete(end) => Outcome::Complete(PLAIN_BODY.into()),
        _ if looks_whole(end) => Outcome::Complete(PLAIN_BODY[..PLAIN_BODY_CUT].into()),
        _ => Outcome::Complete("done".into()),
    });
}
