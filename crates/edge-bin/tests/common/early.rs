//! Responses that a worker sends before it has read the body of the request, and that break off
//! while the body is still being sent.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::worker::{event, header};

/// Size of [`EarlyPart::Large`]: more than the edge buffers before it passes a response on.
const LARGE_PART_BYTES: usize = 200 * 1024;

/// A response that begins at once and ends with a reset of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlyAnswer {
    /// Status, which is written with at least three digits.
    pub status: u16,
    /// What is sent of the body, which has neither a length nor chunks.
    pub part: EarlyPart,
    /// Time from these bytes until the reset, in milliseconds.
    pub reset_ms: u16,
}

/// Beginning of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlyPart {
    Small,
    Large,
    /// Two whole events of a stream.
    Events,
    /// A whole event and a part of the next one.
    WithinEvent,
    /// A whole prefill result.
    PrefillResult,
}

impl EarlyAnswer {
    /// Sends the response to the request with `head`, and resets the connection.
    pub async fn send(self, mut io: TcpStream, head: &str) {
        let id = header(head, "x-attempt-id").unwrap_or_default();
        let status = self.status;
        let body = match self.part {
            EarlyPart::Small => "a part".to_owned(),
            EarlyPart::Large => "x".repeat(LARGE_PART_BYTES),
            EarlyPart::Events => event(1) + &event(2),
            EarlyPart::WithinEvent => event(1) + "id: 2\nda",
            EarlyPart::PrefillResult => {
                r#"{"transfer-handle":"h1","tokens":20000,"version":1}"#.to_owned()
            }
        };
        let text = format!(
            "HTTP/1.1 {status:03} Early\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n\r\n{body}"
        );
        // The edge may have closed the connection.
        let _ = io.write_all(text.as_bytes()).await;
        sleep(Duration::from_millis(self.reset_ms.into())).await;
        io.set_zero_linger().unwrap();
    }
}
