//! Errors of calls to the platform.

use std::fmt;

use nutmegbay_core::verdict::Verdict;
use strum::{Display, IntoStaticStr};

/// Error of a call to the platform, with a verdict on whether the call took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// Why it failed.
    pub cause: Cause,
    /// Method and path of the call.
    pub call: Box<str>,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            verdict,
            cause,
            call,
        } = self;
        write!(f, "{call} failed ({verdict}): {cause}")
    }
}

impl std::error::Error for PlatformError {}

/// Cause of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The connection could not be established, so the call was not sent.
    Connect,
    /// No complete answer arrived in time.
    Timeout,
    /// The connection was lost before the answer was complete.
    #[strum(serialize = "cut")]
    ConnectionLost,
    /// 429: the call exceeds the platform's rate limit.
    RateLimited,
    /// 503: the platform is unavailable and has refused the call.
    Unavailable,
    /// 409: the call contradicts an earlier one, which remains in effect.
    Conflict,
    /// 404: the requested item does not exist.
    NotFound,
    /// Any other 4xx status.
    Refused,
    /// Any other status that is not a success.
    #[strum(serialize = "status")]
    UnexpectedStatus,
    /// The request could not be encoded as JSON or as a URI, so it was not sent.
    #[strum(serialize = "request")]
    InvalidRequest,
    /// The platform accepted the call, but its answer does not parse.
    #[strum(serialize = "answer")]
    MalformedAnswer,
}

impl Cause {
    /// Returns the verdict that follows from the cause alone.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Connect
            | Self::RateLimited
            | Self::Unavailable
            | Self::Conflict
            | Self::NotFound
            | Self::Refused
            | Self::InvalidRequest => Verdict::NotRun,
            Self::Timeout | Self::ConnectionLost | Self::UnexpectedStatus => Verdict::MayHaveRun,
            Self::MalformedAnswer => Verdict::Ran,
        }
    }
}
