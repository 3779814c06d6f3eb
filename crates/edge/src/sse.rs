//! Cuts the bytes of an event stream at the ends of events.

use bytes::{Bytes, BytesMut};

/// Longest event that is collected, in bytes. Events of the deployments stay below 8 KiB.
const LONGEST_EVENT: usize = 256 * 1024;

/// Bytes of a stream of which only whole events are given out.
#[derive(Debug, Default)]
pub struct Events {
    buf: BytesMut,
    last_id: Option<Box<str>>,
}

/// An event is longer than any that an upstream sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

impl Events {
    /// Adds bytes and returns all events that are whole by now, none if there is no such event.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, TooLong> {
        if self.buf.is_empty()
            && let Some(end) = last_event_end(bytes)
            && end == bytes.len()
        {
            self.note_last_id(bytes);
            return Ok(Some(bytes.clone()));
        }
        self.buf.extend_from_slice(bytes);
        match last_event_end(&self.buf) {
            Some(end) => {
                let whole = self.buf.split_to(end).freeze();
                self.note_last_id(&whole);
                Ok(Some(whole))
            }
            None if self.buf.len() > LONGEST_EVENT => Err(TooLong),
            None => Ok(None),
        }
    }

    /// Bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// Identity of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn note_last_id(&mut self, whole: &[u8]) {
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

/// End of the last event in `bytes`: an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let newline = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    newline.map(|at| at + 2).max(returns.map(|at| at + 4))
}
