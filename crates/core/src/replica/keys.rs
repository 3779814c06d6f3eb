use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, IntoStaticStr};
use subtle::ConstantTimeEq;

use super::Reason;
use crate::ids::Offset;
use crate::record::{KeyGrant, KeyWithdraw};

/// Start of every token: `nb_<key id>_<secret>`.
const TOKEN_PREFIX: &str = "nb_";

/// Keys of client accounts. A withdrawn key stays known, so that its identity is never reused.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    keys: BTreeMap<Arc<str>, KeyState>,
}

/// One key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// Client account that it acts for.
    pub account: Arc<str>,
    /// SHA-256 of the secret, in lower-case hexadecimal.
    pub secret_sha256: Box<str>,
    /// Record that granted it.
    pub granted: Offset,
    /// Record that withdrew it.
    pub withdrawn: Option<Offset>,
}

/// A key that was checked, and its client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyRef {
    /// Public part of the key.
    pub key: Arc<str>,
    /// Client account that it acts for.
    pub account: Arc<str>,
}

/// Why a token is refused. Callers are told the same for all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum KeyFault {
    /// It does not have the form `nb_<key id>_<secret>`.
    Malformed,
    /// No such key was granted.
    Unknown,
    /// The secret is not that of the key.
    WrongSecret,
    /// The key was withdrawn.
    Withdrawn,
}

impl std::error::Error for KeyFault {}

impl Keys {
    /// Checks a token and returns its key and client account.
    pub fn check(&self, token: &str) -> Result<KeyRef, KeyFault> {
        let (id, secret) = token
            .strip_prefix(TOKEN_PREFIX)
            .and_then(|rest| rest.split_once('_'))
            .filter(|(id, secret)| !id.is_empty() && !secret.is_empty())
            .ok_or(KeyFault::Malformed)?;
        let digest = to_hex(&Sha256::digest(secret));
        let entry = self.keys.get_key_value(id);
        // An unknown key takes the same comparison, so that the time taken does not reveal it.
        let expected = entry.map_or(&*digest, |(_, key)| &*key.secret_sha256);
        let matches = bool::from(digest.as_bytes().ct_eq(expected.as_bytes()));
        let (key, state) = entry.ok_or(KeyFault::Unknown)?;
        if !matches {
            return Err(KeyFault::WrongSecret);
        }
        if state.withdrawn.is_some() {
            return Err(KeyFault::Withdrawn);
        }
        Ok(KeyRef {
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

    /// All keys that were ever granted.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &KeyState)> {
        self.keys.iter().map(|(key, state)| (&**key, state))
    }

    pub(super) fn grant(&mut self, offset: Offset, grant: &KeyGrant) -> Result<(), Reason> {
        if !is_key_id(&grant.key) || grant.account.is_empty() {
            return Err(Reason::InvalidName);
        }
        if !is_sha256(&grant.secret_sha256) {
            return Err(Reason::InvalidDigest);
        }
        if self.keys.contains_key(&*grant.key) {
            return Err(Reason::Exists);
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
    ) -> Result<(), Reason> {
        let key = self.keys.get_mut(&*withdraw.key).ok_or(Reason::Unknown)?;
        if key.withdrawn.is_some() {
            return Err(Reason::Withdrawn);
        }
        key.withdrawn = Some(offset);
        Ok(())
    }
}

/// Whether `id` can stand in a token: no underscore, which separates it from the secret.
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
