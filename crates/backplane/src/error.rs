//! Failed calls to the platform.

use std::fmt;

use nutmegbay_core::verdict::Verdict;
use strum::{Display, IntoStaticStr};

/// A failed call, with what is known about its effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// Why it failed.
    pub cause: Cause,
    /// Call that failed, as method and path.
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

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No connection came about: the call was not sent.
    Connect,
    /// No complete answer came in time.
    Timeout,
    /// The connection ended before a complete answer.
    Cut,
    /// 429: over the platform's rate limit.
    RateLimited,
    /// 503: the platform refused the call.
    Unavailable,
    /// 409: the call contradicts an earlier one, which stays in force.
    Conflict,
    /// 404: unknown.
    NotFound,
    /// Another 4xx status.
    Refused,
    /// Any other status.
    Status,
    /// The request could not be written as JSON or as a URI.
    Request,
    /// The answer does not parse.
    Answer,
}

impl Cause {
    /// What the cause alone tells about the effect of a call.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Connect
            | Self::RateLimited
            | Self::Unavailable
            | Self::Conflict
            | Self::NotFound
            | Self::Refused
            | Self::Request => Verdict::NotRun,
            Self::Timeout | Self::Cut | Self::Status => Verdict::MayHaveRun,
            Self::Answer => Verdict::Ran,
        }
    }
}
