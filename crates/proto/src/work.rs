//! Data path between gateway and sidecar.

use nutmegbay_core::guard::AttemptRef;
use nutmegbay_core::ids::{Fingerprint, RequestId};
use serde::{Deserialize, Serialize};

/// Path of model work at the sidecar: JSON [`Work`] in, frames out, one a line.
pub const WORK_PATH: &str = "/work";

/// Path prefix of calls to a plain service at the sidecar; the rest is the service's own path.
pub const CALL_PATH: &str = "/call";

/// Header with the JSON [`CallHead`] of a call to a plain service.
pub const CALL_HEADER: &str = "x-nutmegbay-call";

/// Header that repeats the request's identity on the answer.
pub const REQUEST_HEADER: &str = "x-nutmegbay-request";

/// Header with the sidecar's [`crate::engine::Load`] as JSON, sent with each answer.
pub const LOAD_HEADER: &str = "x-nutmegbay-load";

/// Header with the verdict of a sidecar's own refusal. It is removed from the answers of services, so
/// that an answer with it comes from the sidecar.
pub const VERDICT_HEADER: &str = "x-nutmegbay-verdict";

/// Header that names the client account to a plain service.
pub const ACCOUNT_HEADER: &str = "x-nutmegbay-account";

/// Model work for one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Request.
    pub id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Client account that it runs for.
    pub account: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// Whole prompt text.
    pub prompt: Box<str>,
    /// Most tokens to generate, counted over the whole answer.
    pub max_tokens: u32,
    /// Priority, larger runs first.
    pub priority: u8,
    /// Tokens that the caller already has; generation goes on behind them.
    #[serde(default)]
    pub delivered: Vec<Box<str>>,
    /// Hash of the work, equal for repeats under new identities.
    pub fingerprint: Fingerprint,
    /// Run it with nothing else on the upstream.
    #[serde(default)]
    pub exclusive: bool,
    /// Milliseconds from now after which the answer has no use.
    pub deadline_ms: u64,
}

/// Head of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Request.
    pub id: RequestId,
    /// Client account that it runs for; none on open routes.
    pub account: Option<Box<str>>,
    /// Identity as a non-idempotent call; none for idempotent ones.
    pub once: Option<Once>,
    /// Milliseconds from now after which the answer has no use.
    pub deadline_ms: u64,
}

/// Identity of one attempt of a non-idempotent call.
pub type Once = AttemptRef;
