//! Frames as they come from a sidecar.

use std::borrow::Cow;

use bytes::{Buf, BytesMut};
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::Problem;
use serde::Deserialize;

/// Longest line in bytes. A token is a few bytes; anything near this is not a frame.
const MAX_LINE: usize = 256 * 1024;

/// A [`Frame`](nutmegbay_proto::frame::Frame) that borrows its text from the read buffer.
#[derive(Debug, Deserialize)]
pub struct FrameRef<'a> {
    /// Request that the piece belongs to.
    pub id: RequestId,
    /// Attempt that produced it.
    pub attempt: u32,
    /// Index of the token, or number of tokens in the last piece.
    pub seq: u32,
    /// Token.
    #[serde(borrow, default)]
    pub token: Option<Text<'a>>,
    /// Last piece of a complete answer.
    #[serde(default)]
    pub end: Option<End>,
    /// Last piece of a failed answer.
    #[serde(default)]
    pub failed: Option<Box<Problem>>,
}

/// Text, copied only if it has escapes.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct Text<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// A line is too long to be a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineTooLong;

/// Cuts chunks into lines.
#[derive(Debug, Default)]
pub struct Lines {
    buf: BytesMut,
    start: usize,
}

impl Lines {
    /// Adds a chunk.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), LineTooLong> {
        self.buf.advance(self.start);
        self.start = 0;
        if self.buf.len() + chunk.len() > MAX_LINE {
            return Err(LineTooLong);
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Next complete line, without its line feed.
    pub fn next_line(&mut self) -> Option<&[u8]> {
        let rest = &self.buf[self.start..];
        let len = rest.iter().position(|b| *b == b'\n')?;
        let line = self.start..self.start + len;
        self.start += len + 1;
        Some(&self.buf[line])
    }
}
