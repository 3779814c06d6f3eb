//! Refusals as `application/problem+json` (RFC 9457), extended with a verdict.

use nutmegbay_core::verdict::Verdict;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Media type of a refusal.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Body of a refusal, in the format of RFC 9457.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Machine-readable kind.
    #[serde(rename = "type")]
    pub kind: ProblemKind,
    /// Short human-readable text, the same for all problems of a kind.
    pub title: Box<str>,
    /// HTTP status code.
    pub status: u16,
    /// What happened, and what the caller can do about it.
    pub detail: Box<str>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Seconds after which the caller may retry, also sent as `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

/// Kind of a refusal.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ProblemKind {
    /// The request has no key.
    MissingKey,
    /// The key is unknown, wrong or withdrawn.
    InvalidKey,
    /// The key was withdrawn while the request was running.
    KeyWithdrawn,
    /// No route matches the request.
    UnknownRoute,
    /// The model is not configured.
    UnknownModel,
    /// The body does not parse or lacks a field.
    MalformedBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body ended early.
    IncompleteBody,
    /// The non-idempotent route needs an idempotency key.
    MissingIdempotencyKey,
    /// The idempotency key was used before with different content.
    IdempotencyKeyReused,
    /// The request would miss its deadline in the queue.
    Overloaded,
    /// No upstream can take the request.
    NoUpstream,
    /// The upstream is draining, or it is not the instance that the request names.
    Draining,
    /// The instance cannot confirm that its keys and configuration are current.
    StaleState,
    /// The platform's log is unavailable, so a non-idempotent call cannot be recorded before it
    /// runs.
    LogUnavailable,
    /// The request is quarantined because it has crashed upstreams.
    Quarantined,
    /// The connection to the upstream was lost while it ran the request.
    UpstreamLost,
    /// The upstream crashed while it ran the request, which makes the request suspect.
    UpstreamCrashed,
    /// The upstream did not answer in time.
    UpstreamTimeout,
    /// The attempt was fenced and will never run.
    Fenced,
    /// The attempt is bound to another incarnation of the sidecar.
    OtherIncarnation,
    /// The request ran, but its answer was too large to be kept for a repeat.
    AnswerNotKept,
    /// Internal error of nutmegbay.
    Internal,
}

impl ProblemKind {
    /// Returns the HTTP status code and the title.
    pub fn status_and_title(self) -> (u16, &'static str) {
        match self {
            Self::MissingKey => (401, "No key was sent"),
            Self::InvalidKey => (401, "The key is not valid"),
            Self::KeyWithdrawn => (401, "The key was withdrawn"),
            Self::UnknownRoute => (404, "No such route"),
            Self::UnknownModel => (404, "No such model"),
            Self::MalformedBody => (400, "The body is malformed"),
            Self::BodyTooLarge => (413, "The body is too large"),
            Self::IncompleteBody => (400, "The body is incomplete"),
            Self::MissingIdempotencyKey => (400, "An idempotency key is required"),
            Self::IdempotencyKeyReused => (422, "The idempotency key was reused"),
            Self::Overloaded => (429, "Too much work is queued"),
            Self::NoUpstream => (503, "No upstream is available"),
            Self::Draining => (503, "The upstream is draining"),
            Self::StaleState => (503, "The instance may be out of date"),
            Self::LogUnavailable => (503, "The platform's log is unavailable"),
            Self::Quarantined => (422, "The request is quarantined"),
            Self::UpstreamLost => (502, "The upstream was lost"),
            Self::UpstreamCrashed => (502, "The upstream crashed"),
            Self::UpstreamTimeout => (504, "The upstream did not answer in time"),
            Self::Fenced => (409, "The attempt was fenced"),
            Self::OtherIncarnation => (409, "The sidecar was restarted"),
            Self::AnswerNotKept => (410, "The answer was not kept"),
            Self::Internal => (500, "Internal error"),
        }
    }
}

impl Problem {
    /// Creates a problem with the status and title of `kind`, without a retry time.
    pub fn new(kind: ProblemKind, verdict: Verdict, detail: impl Into<Box<str>>) -> Self {
        let (status, title) = kind.status_and_title();
        Self {
            kind,
            title: title.into(),
            status,
            detail: detail.into(),
            verdict,
            retry_after_s: None,
        }
    }

    /// Sets the time in seconds after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({}): {}", self.title, self.verdict, self.detail)
    }
}

impl std::error::Error for Problem {}
