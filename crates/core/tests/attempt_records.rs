//! Guards against logs that let two attempts of one call be open, or change an answer.

mod common;

use common::Log;
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, Offset};
use nutmegbay_core::record::{Answer, AttemptFence, AttemptOpen, AttemptOutcome, Body};
use nutmegbay_core::replica::{Phase, Reason};

const CALL: CallKey = CallKey(5);
const SIDECAR: Incarnation = Incarnation(1);
const GATEWAY: Incarnation = Incarnation(2);

fn open(number: u32, prev: Option<u64>, content: u128) -> Body {
    Body::AttemptOpen(AttemptOpen {
        call: CALL,
        number,
        prev: prev.map(Offset),
        content: Fingerprint(content),
        upstream: "o1".into(),
        sidecar: SIDECAR,
        gateway: "g1".into(),
        gateway_incarnation: GATEWAY,
    })
}

fn fence(number: u32, by: Incarnation) -> Body {
    let call = CALL;
    Body::AttemptFence(AttemptFence { call, number, by })
}

fn outcome(number: u32, body: Option<&str>) -> Body {
    Body::AttemptOutcome(AttemptOutcome {
        call: CALL,
        number,
        answer: body.map(answer),
    })
}

fn answer(body: &str) -> Answer {
    Answer {
        status: 201,
        content_type: None,
        body: Some(body.into()),
    }
}

#[test]
fn one_open() {
    let mut log = Log::default();
    assert_eq!(log.put("g1", open(1, None, 7)), None);
    assert_eq!(log.put("g2", open(1, None, 7)), Some(Reason::Overtaken));
    assert_eq!(log.put("g2", open(2, Some(0), 7)), Some(Reason::Overtaken));
    assert_eq!(
        log.put("g2", fence(1, Incarnation(3))),
        Some(Reason::NotHolder)
    );
    assert_eq!(log.put("g2", fence(1, SIDECAR)), None);
    assert_eq!(log.put("g2", open(2, Some(3), 7)), Some(Reason::Overtaken));
    assert_eq!(log.put("g2", open(2, Some(4), 7)), None);
    assert_eq!(log.put("g1", fence(1, GATEWAY)), Some(Reason::Overtaken));
    assert_eq!(log.put("g1", fence(2, GATEWAY)), None);
}

#[test]
fn other_content() {
    let mut log = Log::default();
    log.put("g1", open(1, None, 7));
    log.put("g1", fence(1, GATEWAY));
    assert_eq!(
        log.put("g1", open(2, Some(1), 8)),
        Some(Reason::OtherContent)
    );
}

#[test]
fn first_answer() {
    let mut log = Log::default();
    log.put("g1", open(1, None, 7));
    assert_eq!(log.put("g1", outcome(1, None)), None);
    assert_eq!(
        log.put("g1", outcome(1, Some("a"))),
        None,
        "an answer proves more"
    );
    assert_eq!(
        log.put("g2", outcome(1, Some("b"))),
        Some(Reason::Overtaken)
    );
    assert_eq!(log.put("g2", outcome(1, None)), Some(Reason::Overtaken));
    assert_eq!(log.put("g2", fence(1, SIDECAR)), Some(Reason::Overtaken));
    let state = log.replica.attempts().get(CALL).unwrap();
    assert_eq!(state.phase, Phase::Answered(answer("a")));
}

#[test]
fn fenced_outcome() {
    let mut log = Log::default();
    log.put("g1", open(1, None, 7));
    log.put("g1", fence(1, SIDECAR));
    assert_eq!(
        log.put("g1", outcome(1, Some("a"))),
        Some(Reason::Overtaken)
    );
}
