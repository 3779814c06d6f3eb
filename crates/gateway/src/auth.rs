//! Finds out for which client account a request comes.

use http::HeaderMap;
use nutmegbay_proto::problem::{Problem, ProblemKind};

use crate::data::headers::key_token;
use crate::data::refuse::not_run;
use crate::gateway::Gateway;
use crate::state::revoke::Ended;

/// A caller whose key is good.
pub struct Identity {
    /// Client account.
    pub account: Box<str>,
    /// Resolves when the key stops being good.
    pub ended: Ended,
}

/// Checks the key of a request and registers the request under it.
pub fn identify(gateway: &Gateway, headers: &HeaderMap) -> Result<Identity, Problem> {
    let token = key_token(headers).ok_or_else(|| {
        let detail = "send the key as `Authorization: Bearer` or `X-Api-Key`";
        not_run(ProblemKind::MissingKey, detail)
    })?;
    let (key, _) = check(gateway, token)?;
    let ended = gateway.open_keys.register(&key);
    // A withdrawal between check and registration would not have ended this request.
    let (_, account) = check(gateway, token)?;
    Ok(Identity { account, ended })
}

fn check(gateway: &Gateway, token: &str) -> Result<(Box<str>, Box<str>), Problem> {
    let view = gateway.view();
    view.confirm_current()?;
    view.keys.check(token).ok_or_else(|| {
        let detail = "the key is unknown, wrong or withdrawn; ask the operators for a new one";
        not_run(ProblemKind::InvalidKey, detail)
    })
}
