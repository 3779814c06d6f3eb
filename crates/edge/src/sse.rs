//! Splits the bytes of an event stream (SSE) at the ends of events.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event, in bytes. Events of the deployments stay below 8 KiB.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns only whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<Box<str>>,
    /// Number of the last event that the caller has, until the first event of a response that has
    /// to go on after it.
    resumed_after: Option<u64>,
}

/// Error for events that cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than any that an upstream is expected to send.
    TooLong,
    /// The response was to go on after an event, and begins with that one or an earlier one.
    Repeated,
}

impl EventSplitter {
    /// Creates a splitter for a response that goes on after the event `after`, if it is given.
    pub fn resumed_after(after: Option<&str>) -> Self {
        Self {
            resumed_after: after.and_then(|id| id.trim().parse().ok()),
            ..Self::default()
        }
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Drops the bytes after the last whole event: another response goes on after it.
    pub fn resume(&mut self) {
        self.take_rest();
        let last_id = self.last_id.as_deref();
        self.resumed_after = last_id.and_then(|id| id.parse().ok());
    }

    /// Adds bytes. Returns the events that are complete now, or `None` if there are none.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, EventError> {
        if self.buf.is_empty()
            && let Some(end) = last_event_end(bytes)
            && end == bytes.len()
        {
            self.record_ids(bytes)?;
            return Ok(Some(bytes.clone()));
        }
        self.buf.extend_from_slice(bytes);
        match last_event_end(&self.buf) {
            Some(end) => {
                let whole = self.buf.split_to(end).freeze();
                self.record_ids(&whole)?;
                Ok(Some(whole))
            }
            None if self.buf.len() > MAX_EVENT_BYTES => Err(EventError::TooLong),
            None => Ok(None),
        }
    }

    /// Returns whether no part of an event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the id of the last whole event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Records the last id, and checks the first one of a response that goes on with a stream.
    fn record_ids(&mut self, whole: &[u8]) -> Result<(), EventError> {
        let lines = || whole.split(|byte| *byte == b'\n');
        if let Some(after) = self.resumed_after
            && let Some(first) = lines().find_map(event_id)
        {
            if first.parse().is_ok_and(|first: u64| first <= after) {
                return Err(EventError::Repeated);
            }
            self.resumed_after = None;
        }
        if let Some(id) = lines().rev().find_map(event_id) {
            self.last_id = Some(id.into());
        }
        Ok(())
    }
}

/// Returns the id that a line contains.
fn event_id(line: &[u8]) -> Option<&str> {
    let id = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    Some(id.trim())
}

/// Returns the end of the last whole event in `bytes`, which is the end of its empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let newline = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    newline.map(|at| at + 2).max(returns.map(|at| at + 4))
}
