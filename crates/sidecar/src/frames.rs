//! Validation of the frames of one answer.

use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::{Frame, FrameBody};

/// Validates the frames of one answer against its request, attempt and position.
pub(crate) struct FrameValidator {
    id: RequestId,
    attempt: u32,
    /// Sequence number of the next frame.
    next_seq: u32,
}

/// Whether the answer continues after a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    Continues,
    Ended,
}

/// Error of a frame that cannot be part of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FrameError {
    Syntax(Box<str>),
    OtherRequest(RequestId),
    OtherAttempt(u32),
    Sequence { got: u32, expected: u32 },
}

impl FrameValidator {
    /// Creates a validator whose first frame has sequence number `first_seq`.
    pub(crate) fn new(id: RequestId, attempt: u32, first_seq: u32) -> Self {
        Self {
            id,
            attempt,
            next_seq: first_seq,
        }
    }

    /// Creates a frame of the sidecar at the current position.
    pub(crate) fn create_frame(&self, body: FrameBody) -> Frame {
        Frame {
            id: self.id,
            attempt: self.attempt,
            seq: self.next_seq,
            body,
        }
    }

    /// Parses and validates one line from the engine.
    pub(crate) fn validate_line(&mut self, line: &[u8]) -> Result<AnswerProgress, FrameError> {
        let frame: Frame =
            serde_json::from_slice(line).map_err(|e| FrameError::Syntax(e.to_string().into()))?;
        if frame.id != self.id {
            return Err(FrameError::OtherRequest(frame.id));
        }
        if frame.attempt != self.attempt {
            return Err(FrameError::OtherAttempt(frame.attempt));
        }
        if frame.seq != self.next_seq {
            return Err(FrameError::Sequence {
                got: frame.seq,
                expected: self.next_seq,
            });
        }
        Ok(match frame.body {
            FrameBody::Token(_) => {
                self.next_seq += 1;
                AnswerProgress::Continues
            }
            FrameBody::KeepAlive => AnswerProgress::Continues,
            FrameBody::End(_) | FrameBody::Failed(_) => AnswerProgress::Ended,
        })
    }
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Syntax(e) => write!(f, "a frame does not parse: {e}"),
            Self::OtherRequest(id) => write!(f, "a frame belongs to request {id}"),
            Self::OtherAttempt(attempt) => write!(f, "a frame belongs to attempt {attempt}"),
            Self::Sequence { got, expected } => {
                write!(f, "a frame has sequence number {got}, expected {expected}")
            }
        }
    }
}
