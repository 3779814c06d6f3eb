//! Checks on the frames of one answer.

use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::{Frame, FrameBody};

/// Position in one answer.
pub(crate) struct Check {
    id: RequestId,
    attempt: u32,
    next: u32,
}

/// Whether the answer goes on behind a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Checked {
    More,
    Last,
}

/// A frame that cannot be part of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fault {
    Syntax(Box<str>),
    OtherRequest(RequestId),
    OtherAttempt(u32),
    Sequence { got: u32, expected: u32 },
}

impl Check {
    pub(crate) fn new(id: RequestId, attempt: u32, first: u32) -> Self {
        Self {
            id,
            attempt,
            next: first,
        }
    }

    /// A frame of the sidecar's own at the current position.
    pub(crate) fn frame(&self, body: FrameBody) -> Frame {
        Frame {
            id: self.id,
            attempt: self.attempt,
            seq: self.next,
            body,
        }
    }

    /// Checks one line from the engine.
    pub(crate) fn line(&mut self, line: &[u8]) -> Result<Checked, Fault> {
        let frame: Frame =
            serde_json::from_slice(line).map_err(|e| Fault::Syntax(e.to_string().into()))?;
        if frame.id != self.id {
            return Err(Fault::OtherRequest(frame.id));
        }
        if frame.attempt != self.attempt {
            return Err(Fault::OtherAttempt(frame.attempt));
        }
        if frame.seq != self.next {
            return Err(Fault::Sequence {
                got: frame.seq,
                expected: self.next,
            });
        }
        Ok(match frame.body {
            FrameBody::Token(_) => {
                self.next += 1;
                Checked::More
            }
            FrameBody::KeepAlive => Checked::More,
            FrameBody::End(_) | FrameBody::Failed(_) => Checked::Last,
        })
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Syntax(e) => write!(f, "a frame does not parse: {e}"),
            Self::OtherRequest(id) => write!(f, "a frame belongs to request {id}"),
            Self::OtherAttempt(attempt) => write!(f, "a frame belongs to attempt {attempt}"),
            Self::Sequence { got, expected } => {
                write!(
                    f,
                    "a frame has sequence number {got} in place of {expected}"
                )
            }
        }
    }
}
