//! Decodes the stream of frames that a sidecar sends, one JSON object per line.

use std::borrow::Cow;

use bytes::{Buf, BytesMut};
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::Problem;
use serde::Deserialize;

/// Maximum length of a line in bytes. A token is a few bytes, so a line near this is not a frame.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// A [`Frame`](nutmegbay_proto::frame::Frame) that borrows its text from the read buffer.
#[derive(Debug, Deserialize)]
pub struct FrameRef<'a> {
    /// Request that the frame belongs to.
    pub id: RequestId,
    /// Attempt that produced the frame.
    pub attempt: u32,
    /// Index of the token; in the last frame, the total number of tokens.
    pub seq: u32,
    /// Text of one token.
    #[serde(borrow, default)]
    pub token: Option<BorrowedText<'a>>,
    /// Last frame of a complete answer.
    #[serde(default)]
    pub end: Option<End>,
    /// Last frame of a failed answer.
    #[serde(default)]
    pub failed: Option<Box<Problem>>,
}

/// String that borrows from the read buffer and is copied only if it contains escapes.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct BorrowedText<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// A line is longer than `MAX_LINE_BYTES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineTooLong;

/// Splits a sequence of chunks into lines.
#[derive(Debug, Default)]
pub struct LineSplitter {
    buf: BytesMut,
    consumed: usize,
}

impl LineSplitter {
    /// Appends a chunk and discards the lines that were returned. Fails if the unread data would
    /// exceed `MAX_LINE_BYTES`.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), LineTooLong> {
        self.buf.advance(self.consumed);
        self.consumed = 0;
        if self.buf.len() + chunk.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the next complete line, without its line feed.
    pub fn next_line(&mut self) -> Option<&[u8]> {
        let rest = &self.buf[self.consumed..];
        let len = rest.iter().position(|b| *b == b'\n')?;
        let line = self.consumed..self.consumed + len;
        self.consumed += len + 1;
        Some(&self.buf[line])
    }
}
