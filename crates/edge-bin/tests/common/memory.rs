//! Memory of a worker for request bodies, and the pace at which it takes them.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::worker::header;

/// Size of the pieces in which a worker takes a body, in bytes.
pub const PIECE_BYTES: usize = 1 << 20;

/// Bodies that a worker holds.
#[derive(Debug, Default)]
pub struct BodyMemory {
    /// Bytes that fit, if there is a limit.
    pub limit: Option<usize>,
    held: usize,
    /// Pause before each piece of a body.
    pub piece_pause: Duration,
}

impl BodyMemory {
    /// Adds a body. Returns whether all fit. If not, the worker crashes and holds none.
    pub fn hold(&mut self, bytes: usize) -> bool {
        self.held += bytes;
        let fits = self.limit.is_none_or(|limit| self.held <= limit);
        if !fits {
            self.held = 0;
        }
        fits
    }

    /// Removes a body.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}

/// Reads the body of the request with `head`, with a pause before each piece. Returns whether it is
/// whole.
pub async fn read_body(io: &mut TcpStream, head: &str, piece_pause: Duration) -> bool {
    let len = header(head, "content-length").map_or(0, |len| len.parse().unwrap());
    let mut body = vec![0; len];
    for piece in body.chunks_mut(PIECE_BYTES) {
        if !piece_pause.is_zero() {
            sleep(piece_pause).await;
        }
        if io.read_exact(piece).await.is_err() {
            return false;
        }
    }
    true
}
