//! Datagrams about quotas, on the exchange address.

use nutmegbay_policy::edge::quota::{Ask, Grant};
use serde::{Deserialize, Serialize};

/// First byte of a datagram about quotas. Load digests begin with a smaller one, so an instance of a
/// version without quotas ignores these datagrams.
const FIRST_BYTE: u8 = 0x80;

/// Lowest first byte that no load digest begins with.
const MIN_FIRST_BYTE: u8 = 0x80;

/// Datagram about quotas. Accounts are identified by the hashes of their names.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Message {
    /// Asks an owner for tokens.
    Ask {
        account: u64,
        id: u64,
        tokens: f64,
        keep: f64,
        is_partial: bool,
        refused: f64,
    },
    /// Answers an ask.
    Grant {
        account: u64,
        id: u64,
        tokens: f64,
        is_owner: bool,
        left: f64,
        retry_s: f64,
    },
    /// Gives back the tokens of a grant.
    Return { account: u64, id: u64 },
}

impl Message {
    pub fn ask(account: u64, ask: Ask) -> Self {
        Self::Ask {
            account,
            id: ask.id,
            tokens: ask.tokens,
            keep: ask.keep,
            is_partial: ask.is_partial,
            refused: ask.refused,
        }
    }

    pub fn grant(account: u64, id: u64, grant: Grant) -> Self {
        Self::Grant {
            account,
            id,
            tokens: grant.tokens,
            is_owner: grant.is_owner,
            left: grant.left,
            retry_s: grant.retry_s,
        }
    }

    /// Returns whether a datagram is about quotas.
    pub fn is_in(datagram: &[u8]) -> bool {
        datagram
            .first()
            .is_some_and(|first| *first >= MIN_FIRST_BYTE)
    }

    /// Decodes a datagram about quotas. `None` if it is malformed or of a later version.
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let (first, rest) = datagram.split_first()?;
        (*first == FIRST_BYTE).then(|| postcard::from_bytes(rest).ok())?
    }

    pub fn encode(self) -> Vec<u8> {
        postcard::to_extend(&self, vec![FIRST_BYTE]).unwrap_or_else(|error| {
            tracing::error!(event = "quota_message_not_encoded", %error);
            Vec::new()
        })
    }
}
