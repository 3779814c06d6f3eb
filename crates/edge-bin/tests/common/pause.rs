//! Streams of a worker that are silent between two events.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::worker::{Action, EVENTS, event, header, stream_head};

/// Time for which a worker in order may be silent between two events.
pub const PAUSE: Duration = Duration::from_millis(1_200);

/// Time after which a silent worker breaks. The edge has then asked another one.
pub const BREAK_PAUSE: Duration = Duration::from_millis(700);

/// Streams the missing events up to `last`, and the others after a pause. Returns whether the
/// stream was sent whole.
pub async fn respond(io: &mut TcpStream, action: Action, last: u32, head: &str) -> bool {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    let after: u32 = header(head, "last-event-id").map_or(0, |id| id.parse().unwrap());
    let begin = stream_head(id) + &chunks(after + 1, last);
    if io.write_all(begin.as_bytes()).await.is_err() {
        return false;
    }
    tokio::select! {
        // Returns when the other side closes the connection.
        _ = io.read_u8() => return false,
        () = sleep(BREAK_PAUSE), if action == Action::PauseThenBreak(last) => return false,
        () = sleep(PAUSE), if action == Action::PauseAfter(last) => {}
    }
    let rest = chunks(last + 1, EVENTS) + "0\r\n\r\n";
    io.write_all(rest.as_bytes()).await.is_ok()
}

/// Returns the events with the numbers `from` to `to`, inclusive, in one chunk each.
fn chunks(from: u32, to: u32) -> String {
    let chunk = |n| {
        let event = event(n);
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    (from..=to).map(chunk).collect()
}
