//! Authentication: maps the key of a request to a client account.

use http::HeaderMap;
use nutmegbay_core::replica::VerifiedKey;
use nutmegbay_proto::problem::{Problem, ProblemKind};

use crate::data::headers::{has_several_keys, key_token};
use crate::data::refuse::not_run;
use crate::gateway::Gateway;
use crate::state::keyed_streams::RevocationSignal;

/// Caller with a valid key.
pub struct Identity {
    /// Verified key and the client account that owns it.
    pub key: VerifiedKey,
    /// Resolves when the key is withdrawn or can no longer be confirmed as valid.
    pub revocation: RevocationSignal,
}

/// Checks the key of a request and registers the request under that key, so that a withdrawal ends
/// it.
///
/// Fails if the key is missing, ambiguous, unknown, wrong or withdrawn, or if the state of this
/// instance may be out of date.
pub fn authenticate(gateway: &Gateway, headers: &HeaderMap) -> Result<Identity, Problem> {
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
    let key = view.keys.check(token).map_err(|_| invalid_key())?;
    let revocation = gateway.keyed_streams.register(&key.key);
    // A withdrawal between the first check and the registration does not reach this request, so
    // the key is checked again.
    let view = gateway.view();
    gateway.check_freshness()?;
    if !view.keys.is_live(&key.key) {
        return Err(invalid_key());
    }
    Ok(Identity { key, revocation })
}

fn invalid_key() -> Problem {
    let detail = "the key is unknown, wrong or withdrawn; ask the operators for a new one";
    not_run(ProblemKind::InvalidKey, detail)
}
