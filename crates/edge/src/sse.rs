//! Splits the bytes of an event stream (SSE) at the ends of events.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event, in bytes. Events of the deployments stay below 8 KiB.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns only whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<Box<str>>,
}

/// Error for an event that is longer than any that an upstream is expected to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds bytes. Returns the events that are complete now, or `None` if there are none.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, EventTooLong> {
        if self.buf.is_empty()
            && let Some(end) = last_event_end(bytes)
            && end == bytes.len()
        {
            self.record_last_id(bytes);
            return Ok(Some(bytes.clone()));
        }
        self.buf.extend_from_slice(bytes);
        match last_event_end(&self.buf) {
            Some(end) => {
                let whole = self.buf.split_to(end).freeze();
                self.record_last_id(&whole);
                Ok(Some(whole))
            }
            None if self.buf.len() > MAX_EVENT_BYTES => Err(EventTooLong),
            None => Ok(None),
        }
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Returns whether no part of an event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the id of the last whole event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn record_last_id(&mut self, whole: &[u8]) {
        let id = whole
            .split(|byte| *byte == b'\n')
            .rev()
            .find_map(|line| line.strip_prefix(b"id:"))
            .and_then(|id| std::str::from_utf8(id).ok());
        if let Some(id) = id {
            self.last_id = Some(id.trim().into());
        }
    }
}

/// Returns the end of the last whole event in `bytes`, which is the end of its empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let newline = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    newline.map(|at| at + 2).max(returns.map(|at| at + 4))
}
