//! Responses that do not end.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::worker::{first_events, stream_head};

/// Size and pause of the chunks of an endless response, which has a rate of 16 MB per second. Interim
/// heads come without a pause: the edge must not take them as long as they come.
const JUNK_CHUNK_BYTES: usize = 16 * 1024;
const JUNK_PAUSE: Duration = Duration::from_millis(1);

/// Size of the header of an interim head, in bytes.
const HINT_BYTES: usize = 224;

/// Pause between the bytes of [`Action::Trickle`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

/// Part of a response that does not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    Head,
    /// Interim heads, each of which is complete.
    InterimHeads,
    Body,
    ChunkExtension,
    Event,
}

/// Sends an unfinished response until the other side closes the connection.
pub async fn endless(io: &mut TcpStream, part: EndlessPart, id: &str) -> bool {
    let hint = "x".repeat(HINT_BYTES);
    let interim_head = format!("HTTP/1.1 103 Early Hints\r\nLink: {hint}\r\n\r\n");
    let start = match part {
        EndlessPart::Head => "HTTP/1.1 200 OK\r\nX-Junk: ".to_owned(),
        EndlessPart::InterimHeads => interim_head.clone(),
        EndlessPart::Body => format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ),
        EndlessPart::ChunkExtension => format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n\
             Transfer-Encoding: chunked\r\n\r\n4;junk="
        ),
        EndlessPart::Event => stream_head(id) + "5\r\nid: 1\r\n",
    };
    let junk = "x".repeat(JUNK_CHUNK_BYTES);
    let piece = match part {
        EndlessPart::Head | EndlessPart::ChunkExtension => junk,
        EndlessPart::InterimHeads => interim_head.repeat(JUNK_CHUNK_BYTES / interim_head.len()),
        EndlessPart::Body | EndlessPart::Event => format!("{JUNK_CHUNK_BYTES:x}\r\n{junk}\r\n"),
    };
    let mut sent = io.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        if part != EndlessPart::InterimHeads {
            sleep(JUNK_PAUSE).await;
        }
        sent = io.write_all(piece.as_bytes()).await;
    }
    false
}

/// Sends two events, then single bytes of the third one with pauses.
pub async fn trickle(io: &mut TcpStream, id: &str) -> bool {
    let mut sent = io.write_all(first_events(id).as_bytes()).await;
    while sent.is_ok() {
        sleep(TRICKLE_PAUSE).await;
        sent = io.write_all(b"1\r\nx\r\n").await;
    }
    false
}
