//! Tests that no event is forwarded incompletely, lost, or sent twice after a resume.

use assert_matches::assert_matches;
use bytes::Bytes;
use nutmegbay_edge::EventSplitter;

fn push(events: &mut EventSplitter, text: &'static str) -> Option<Bytes> {
    events.push(&Bytes::from_static(text.as_bytes())).unwrap()
}

#[test]
fn whole_events() {
    let mut events = EventSplitter::default();
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!(push(&mut events, text).unwrap(), text);
    assert_eq!(events.last_id(), Some("2"));
    assert!(events.is_between_events());
}

/// An upstream may fail in the middle of an event. The incomplete event must not reach the caller.
#[test]
fn incomplete_event() {
    let mut events = EventSplitter::default();
    let whole = push(&mut events, "id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(whole, "id: 1\ndata: a\n\n");
    assert_eq!(
        events.last_id(),
        Some("1"),
        "event 2 is incomplete and must be requested again on resume"
    );
    assert!(!events.is_between_events());
    assert_eq!(push(&mut events, "ta: b\n"), None);
    assert_eq!(push(&mut events, "\n").unwrap(), "id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some("2"));
}

#[test]
fn rest_at_end() {
    let mut events = EventSplitter::default();
    assert_eq!(push(&mut events, "data: no end"), None);
    assert_eq!(events.take_rest(), "data: no end");
}

#[test]
fn crlf_line_endings() {
    let mut events = EventSplitter::default();
    let text = "id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(push(&mut events, text).unwrap(), text);
    assert_eq!(events.last_id(), Some("7"));
}

#[test]
fn oversized_event() {
    let mut events = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 100 * 1024]);
    assert_matches!(events.push(&chunk), Ok(None));
    assert_matches!(events.push(&chunk), Ok(None));
    assert_matches!(events.push(&chunk), Err(_));
}
