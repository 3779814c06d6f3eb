//! Responses of a worker that end early, late, or with their connection.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::worker::{EVENTS, event, events, header};

/// Body of a response to a plain request.
pub const PLAIN_BODY: &str = "a whole plain body";

/// Number of bytes of a plain body before its cut.
pub const PLAIN_BODY_CUT: usize = PLAIN_BODY.len() / 2;

/// Number of events before [`Cut::BetweenEvents`] and [`Cut::WithinPiece`].
pub const EVENTS_BEFORE_CUT: u32 = 2;

/// Time until a connection is reset. A reset discards bytes that the receiver has not read yet.
const RESET_DELAY: Duration = Duration::from_millis(60);

/// How a response shows where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    /// Neither a length nor chunks: the body ends with its connection.
    Connection,
}

/// Point at which the worker stops to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    WithinHead,
    AfterHead,
    /// Within an event, or within a plain body.
    WithinPiece,
    /// After a whole event that is not the last one.
    BetweenEvents,
    /// Within an event, or within a plain body, with the framing of a complete body.
    WithinLastPiece,
    /// After the whole body.
    Nowhere,
}

/// What becomes of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Close {
    Fin,
    Reset,
    /// It stays open without further bytes.
    Silence,
}

/// A response that ends in a given way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyEnd {
    pub framing: Framing,
    pub cut: Cut,
    pub close: Close,
}

/// Sends the response to the request with `head`. Returns whether the connection stays open.
pub async fn respond(io: &mut TcpStream, end: BodyEnd, head: &str) -> bool {
    let bytes = response_bytes(end, head);
    // The edge may have closed the connection.
    let _ = io.write_all(bytes.as_bytes()).await;
    let is_framed = end.framing != Framing::Connection
        && matches!(end.cut, Cut::Nowhere | Cut::WithinLastPiece);
    match end.close {
        Close::Fin => {}
        Close::Silence if is_framed => return true,
        Close::Reset => {
            sleep(RESET_DELAY).await;
            io.set_zero_linger().unwrap();
        }
        Close::Silence => {
            let _ = io.read_u8().await;
        }
    }
    false
}

fn response_bytes(end: BodyEnd, head: &str) -> String {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    let path = head.split(' ').nth(1).unwrap_or_default();
    let (sent, whole) = if path.starts_with("/stream/") {
        let after: u32 = header(head, "last-event-id").map_or(0, |id| id.parse().unwrap());
        stream_body(end.cut, after)
    } else {
        plain_body(end.cut)
    };
    let (framing, body) = match end.framing {
        Framing::Length => {
            let len = match end.cut {
                Cut::WithinLastPiece => sent.len(),
                _ => whole.len(),
            };
            (format!("Content-Length: {len}\r\n"), sent)
        }
        Framing::Chunks => {
            let body = chunked(&sent, end.cut);
            ("Transfer-Encoding: chunked\r\n".into(), body)
        }
        Framing::Connection => (String::new(), sent),
    };
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n{framing}");
    match end.cut {
        Cut::WithinHead => head,
        _ => head + "\r\n" + &body,
    }
}

/// Returns the part of a stream after the event `after` that is sent, and the whole of it.
fn stream_body(cut: Cut, after: u32) -> (String, String) {
    let whole = events(after + 1, EVENTS);
    let last = (after + EVENTS_BEFORE_CUT).min(EVENTS);
    let sent = match cut {
        Cut::WithinHead | Cut::AfterHead => String::new(),
        Cut::BetweenEvents => events(after + 1, last),
        Cut::WithinPiece | Cut::WithinLastPiece => {
            events(after + 1, last) + event(last + 1).trim_end()
        }
        Cut::Nowhere => whole.clone(),
    };
    (sent, whole)
}

fn plain_body(cut: Cut) -> (String, String) {
    let sent = match cut {
        Cut::WithinHead | Cut::AfterHead => "",
        Cut::WithinPiece | Cut::BetweenEvents | Cut::WithinLastPiece => {
            &PLAIN_BODY[..PLAIN_BODY_CUT]
        }
        Cut::Nowhere => PLAIN_BODY,
    };
    (sent.into(), PLAIN_BODY.into())
}

/// Returns a body as a chunk, followed by the last one if the framing is complete. A cut within a
/// piece is within the chunk too.
fn chunked(sent: &str, cut: Cut) -> String {
    let len = sent.len();
    match cut {
        Cut::WithinHead | Cut::AfterHead => String::new(),
        Cut::WithinPiece => format!("{:x}\r\n{sent}", len + 1),
        Cut::BetweenEvents => format!("{len:x}\r\n{sent}\r\n"),
        Cut::WithinLastPiece | Cut::Nowhere => format!("{len:x}\r\n{sent}\r\n0\r\n\r\n"),
    }
}
