//! Event streams of a worker.

use std::fmt::Write;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::worker::{Action, EVENTS, header};

pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns a stream up to its second event.
pub fn first_events(id: &str) -> String {
    let mut text = stream_head(id);
    for n in 1..=2 {
        let event = event(n);
        write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
    }
    text
}

pub async fn stream(io: &mut TcpStream, action: Action, head: &str, notices: &str) -> bool {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    let after: u32 = header(head, "last-event-id")
        .filter(|_| action != Action::StreamFromStart)
        .map_or(0, |id| id.parse().unwrap());
    let last = match action {
        Action::BreakAfter(last) => last,
        _ => EVENTS,
    };
    let mut text = stream_head(id).replacen("\r\n", &format!("\r\n{notices}"), 1);
    if action == Action::UnsignedStream {
        text = text.replace("X-Server-Seal: s1\r\n", "");
    }
    for n in after + 1..=last {
        let event = event(n);
        write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
    }
    text += if last == EVENTS {
        "0\r\n\r\n"
    } else {
        "5\r\nid: 9\r\n"
    };
    io.write_all(text.as_bytes()).await.is_ok() && last == EVENTS
}

/// Streams events without a length or chunks. The connection ends with the response.
pub async fn unframed_stream(io: &mut TcpStream, action: Action, head: &str) -> bool {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    let after: u32 = header(head, "last-event-id").map_or(0, |id| id.parse().unwrap());
    let head = stream_head(id).replace("Transfer-Encoding: chunked\r\n", "");
    let text = match action {
        Action::UnframedBreakAfter(last) if after == 0 => events(1, last) + "id: 9\nda",
        _ => events(after + 1, EVENTS),
    };
    // The edge may have closed the connection.
    let _ = io.write_all((head + &text).as_bytes()).await;
    false
}

/// Returns the event with number `n`.
pub fn event(n: u32) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

/// Returns the events with the numbers `from` to `to`, inclusive.
pub fn events(from: u32, to: u32) -> String {
    (from..=to).map(event).collect()
}

/// Time until the last event of [`Action::LateEnd`], which the edge gets after it has seen that the
/// others were acknowledged.
const LATE_END_PAUSE: Duration = Duration::from_millis(1_300);

/// Streams an event of as many bytes as the last segment of the path states, and a last event of
/// `last` bytes after a pause.
pub async fn late_end(io: &mut TcpStream, last: usize, head: &str) -> bool {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    let path = head.split(' ').nth(1).unwrap_or_default();
    let first = path.rsplit('/').next().unwrap_or_default();
    let chunk = |n: u32, len: usize| {
        let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(len));
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    let begin = stream_head(id) + &chunk(1, first.parse().unwrap());
    let end = chunk(2, last) + "0\r\n\r\n";
    if io.write_all(begin.as_bytes()).await.is_err() {
        return false;
    }
    sleep(LATE_END_PAUSE).await;
    io.write_all(end.as_bytes()).await.is_ok()
}
