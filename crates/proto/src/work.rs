//! Paths, headers and types of the data path between gateways and sidecars.

use nutmegbay_core::guard::AttemptRef;
use nutmegbay_core::ids::{Fingerprint, RequestId};
use serde::{Deserialize, Serialize};

/// Path of model work at the sidecar. The request is a JSON [`Work`], the answer has one frame per
/// line.
pub const WORK_PATH: &str = "/work";

/// Prefix of the path of calls to a plain service at the sidecar, followed by the service's path.
pub const CALL_PATH: &str = "/call";

/// Header with the JSON [`CallHead`] of a call to a plain service.
pub const CALL_HEADER: &str = "x-nutmegbay-call";

/// Header of an answer with the identity of its request.
pub const REQUEST_HEADER: &str = "x-nutmegbay-request";

/// Header with the sidecar's [`crate::engine::Load`] as JSON, sent with each answer.
pub const LOAD_HEADER: &str = "x-nutmegbay-load";

/// Header with the verdict of a sidecar's refusal. The sidecar removes it from the answers of
/// services, so an answer that has it comes from the sidecar.
pub const VERDICT_HEADER: &str = "x-nutmegbay-verdict";

/// Header with the client account of a call, for the plain service.
pub const ACCOUNT_HEADER: &str = "x-nutmegbay-account";

/// Model work for an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Identity of the request.
    pub id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Client account on whose behalf the work runs.
    pub account: Box<str>,
    /// Name of the model.
    pub model: Box<str>,
    /// Whole prompt text.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate, including `delivered`.
    pub max_tokens: u32,
    /// Priority; a larger value runs first.
    pub priority: u8,
    /// Tokens that the caller already has. Generation continues after them.
    #[serde(default)]
    pub delivered: Vec<Box<str>>,
    /// Hash of the content of the work, equal for repeats with new identities.
    pub fingerprint: Fingerprint,
    /// Whether the work must run while the upstream runs nothing else.
    #[serde(default)]
    pub exclusive: bool,
    /// Milliseconds after receipt at which the answer is no longer needed.
    pub deadline_ms: u64,
}

/// Metadata of a call to a plain service, sent in [`CALL_HEADER`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identity of the request.
    pub id: RequestId,
    /// Client account on whose behalf the call runs, `None` on routes that need no key.
    pub account: Option<Box<str>>,
    /// Attempt of a non-idempotent call, `None` for an idempotent call.
    #[serde(rename = "once")]
    pub attempt: Option<NonIdempotentAttempt>,
    /// Milliseconds after receipt at which the answer is no longer needed.
    pub deadline_ms: u64,
}

/// Identity of an attempt of a non-idempotent call.
pub type NonIdempotentAttempt = AttemptRef;
