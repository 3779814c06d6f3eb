//! Guards against replay that lets two attempts of one call be open at once, or changes an answer.

mod common;

use common::Log;
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, Offset};
use nutmegbay_core::record::{Answer, AttemptFence, AttemptOpen, AttemptOutcome, Body};
use nutmegbay_core::replica::{AttemptPhase, RejectReason};

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
fn one_open_attempt() {
    let mut log = Log::default();
    assert_eq!(log.put("g1", open(1, None, 7)), None);
    assert_eq!(
        log.put("g2", open(1, None, 7)),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(
        log.put("g2", open(2, Some(0), 7)),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(
        log.put("g2", fence(1, Incarnation(3))),
        Some(RejectReason::NotHolder)
    );
    assert_eq!(log.put("g2", fence(1, SIDECAR)), None);
    assert_eq!(
        log.put("g2", open(2, Some(3), 7)),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(log.put("g2", open(2, Some(4), 7)), None);
    assert_eq!(
        log.put("g1", fence(1, GATEWAY)),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(log.put("g1", fence(2, GATEWAY)), None);
}

#[test]
fn changed_content() {
    let mut log = Log::default();
    log.put("g1", open(1, None, 7));
    log.put("g1", fence(1, GATEWAY));
    assert_eq!(
        log.put("g1", open(2, Some(1), 8)),
        Some(RejectReason::OtherContent)
    );
}

#[test]
fn first_answer_is_final() {
    let mut log = Log::default();
    log.put("g1", open(1, None, 7));
    assert_eq!(log.put("g1", outcome(1, None)), None);
    assert_eq!(
        log.put("g1", outcome(1, Some("a"))),
        None,
        "an answer did not replace an unknown outcome"
    );
    assert_eq!(
        log.put("g2", outcome(1, Some("b"))),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(
        log.put("g2", outcome(1, None)),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(
        log.put("g2", fence(1, SIDECAR)),
        Some(RejectReason::Overtaken)
    );
    let state = log.replica.attempts().get(CALL).unwrap();
    assert_eq!(state.phase, AttemptPhase::Answered(answer("a")));
}

#[test]
fn outcome_of_fenced_attempt() {
    let mut log = Log::default();
    log.put("g1", open(1, None, 7));
    log.put("g1", fence(1, SIDECAR));
    assert_eq!(
        log.put("g1", outcome(1, Some("a"))),
        Some(RejectReason::Overtaken)
    );
}
