//! Finds out for which client account a request comes.

use http::HeaderMap;
use nutmegbay_core::replica::VerifiedKey;
use nutmegbay_proto::problem::{Problem, ProblemKind};

use crate::data::headers::{has_several_keys, key_token};
use crate::data::refuse::not_run;
use crate::gateway::Gateway;
use crate::state::keyed_streams::RevocationSignal;

/// A caller whose key is good.
pub struct Identity {
    /// Key and client account.
    pub key: VerifiedKey,
    /// Resolves when the key stops being good.
    pub ended: RevocationSignal,
}

/// Checks the key of a request and registers the request under it.
pub fn identify(gateway: &Gateway, headers: &HeaderMap) -> Result<Identity, Problem> {
    if has_several_keys(headers) {
        let detail = "send one key, in one `Authorization` or `X-Api-Key` header";
        return Err(not_run(ProblemKind::InvalidKey, detail));
    }
    let token = key_token(headers).ok_or_else(|| {
        let detail = "send the key as `Authorization: Bearer` or `X-Api-Key`";
        not_run(ProblemKind::MissingKey, detail)
    })?;
    let view = gateway.view();
    gateway.check_freshness()?;
    let key = view.keys.check(token).map_err(|_| invalid())?;
    let ended = gateway.keyed_streams.register(&key.key);
    // A withdrawal between check and registration would not have ended this request.
    let view = gateway.view();
    gateway.check_freshness()?;
    if !view.keys.is_live(&key.key) {
        return Err(invalid());
    }
    Ok(Identity { key, ended })
}

fn invalid() -> Problem {
    let detail = "the key is unknown, wrong or withdrawn; ask the operators for a new one";
    not_run(ProblemKind::InvalidKey, detail)
}
