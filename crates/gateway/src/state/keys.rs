//! Keys of client accounts.

use std::collections::BTreeMap;
use std::fmt::Write;

use nutmegbay_core::record::{KeyGrant, KeyWithdraw};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Granted keys.
#[derive(Debug, Default, Clone)]
pub struct Keys {
    keys: BTreeMap<Box<str>, Key>,
}

#[derive(Debug, Clone)]
struct Key {
    account: Box<str>,
    digest: Box<str>,
    is_withdrawn: bool,
}

impl Keys {
    /// Applies a grant; a key is granted once.
    pub fn grant(&mut self, grant: &KeyGrant) {
        self.keys.entry(grant.key.clone()).or_insert_with(|| Key {
            account: grant.account.clone(),
            digest: grant.secret_sha256.clone(),
            is_withdrawn: false,
        });
    }

    /// Applies a withdrawal, which is final.
    pub fn withdraw(&mut self, withdraw: &KeyWithdraw) {
        if let Some(key) = self.keys.get_mut(&withdraw.key) {
            key.is_withdrawn = true;
        }
    }

    /// Key and client account of a good token.
    pub fn check(&self, token: &str) -> Option<(Box<str>, Box<str>)> {
        let (id, secret) = token.strip_prefix("nb_")?.rsplit_once('_')?;
        let key = self.keys.get(id)?;
        let digest = hex(&Sha256::digest(secret.as_bytes()));
        let is_equal: bool = digest.as_bytes().ct_eq(key.digest.as_bytes()).into();
        (is_equal && !key.is_withdrawn).then(|| (id.into(), key.account.clone()))
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, b| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{b:02x}");
        text
    })
}
