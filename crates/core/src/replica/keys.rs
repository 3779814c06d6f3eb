use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, IntoStaticStr};
use subtle::ConstantTimeEq;

use super::RejectReason;
use crate::ids::Offset;
use crate::record::{KeyGrant, KeyWithdraw};

/// Prefix of every token. The whole form is `nb_<key id>_<secret>`.
const TOKEN_PREFIX: &str = "nb_";

/// Keys of client accounts. Withdrawn keys are kept, so that a key id is never granted again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    keys: BTreeMap<Arc<str>, KeyState>,
}

/// State of one key, from its grant on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// Client account to which the key belongs.
    pub account: Arc<str>,
    /// SHA-256 of the secret, in lower-case hexadecimal.
    pub secret_sha256: Box<str>,
    /// Offset of the record that granted it.
    pub granted: Offset,
    /// Offset of the record that withdrew it, `None` while the key is valid.
    pub withdrawn: Option<Offset>,
}

/// Key and client account of a valid token.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VerifiedKey {
    /// Public part of the key.
    pub key: Arc<str>,
    /// Client account to which the key belongs.
    pub account: Arc<str>,
}

/// Reason why a token is not valid. Callers receive the same error for each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum KeyError {
    /// The token does not have the form `nb_<key id>_<secret>`.
    Malformed,
    /// No key with this id was granted.
    Unknown,
    /// The secret does not match the key.
    WrongSecret,
    /// The key was withdrawn.
    Withdrawn,
}

impl std::error::Error for KeyError {}

impl Keys {
    /// Checks a token and returns its key and client account.
    pub fn check(&self, token: &str) -> Result<VerifiedKey, KeyError> {
        let (id, secret) = token
            .strip_prefix(TOKEN_PREFIX)
            .and_then(|rest| rest.split_once('_'))
            .filter(|(id, secret)| !id.is_empty() && !secret.is_empty())
            .ok_or(KeyError::Malformed)?;
        let digest = to_hex(&Sha256::digest(secret));
        let entry = self.keys.get_key_value(id);
        // An unknown key is compared all the same, so that the duration does not reveal whether a
        // key exists.
        let expected = entry.map_or(&*digest, |(_, key)| &*key.secret_sha256);
        let matches = bool::from(digest.as_bytes().ct_eq(expected.as_bytes()));
        let (key, state) = entry.ok_or(KeyError::Unknown)?;
        if !matches {
            return Err(KeyError::WrongSecret);
        }
        if state.withdrawn.is_some() {
            return Err(KeyError::Withdrawn);
        }
        Ok(VerifiedKey {
            key: key.clone(),
            account: state.account.clone(),
        })
    }

    /// Whether the key was granted and not withdrawn.
    pub fn is_live(&self, key: &str) -> bool {
        self.get(key).is_some_and(|key| key.withdrawn.is_none())
    }

    /// State of a key, withdrawn or not.
    pub fn get(&self, key: &str) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// All keys that were ever granted, including withdrawn ones.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &KeyState)> {
        self.keys.iter().map(|(key, state)| (&**key, state))
    }

    pub(super) fn grant(&mut self, offset: Offset, grant: &KeyGrant) -> Result<(), RejectReason> {
        if !is_key_id(&grant.key) || grant.account.is_empty() {
            return Err(RejectReason::InvalidName);
        }
        if !is_sha256(&grant.secret_sha256) {
            return Err(RejectReason::InvalidDigest);
        }
        if self.keys.contains_key(&*grant.key) {
            return Err(RejectReason::Exists);
        }
        let state = KeyState {
            account: (*grant.account).into(),
            secret_sha256: grant.secret_sha256.to_ascii_lowercase().into(),
            granted: offset,
            withdrawn: None,
        };
        self.keys.insert((*grant.key).into(), state);
        Ok(())
    }

    pub(super) fn withdraw(
        &mut self,
        offset: Offset,
        withdraw: &KeyWithdraw,
    ) -> Result<(), RejectReason> {
        let key = self
            .keys
            .get_mut(&*withdraw.key)
            .ok_or(RejectReason::Unknown)?;
        if key.withdrawn.is_some() {
            return Err(RejectReason::Withdrawn);
        }
        key.withdrawn = Some(offset);
        Ok(())
    }
}

/// Whether `id` can be part of a token. An underscore is not allowed, since it separates the id
/// from the secret.
fn is_key_id(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |value: u8| char::from(DIGITS[usize::from(value)]);
    bytes
        .iter()
        .flat_map(|b| [digit(b >> 4), digit(b & 15)])
        .collect()
}
