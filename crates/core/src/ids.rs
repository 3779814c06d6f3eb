//! Identifiers of records, requests, calls, processes and usage windows. All are `Copy`.

use std::fmt;
use std::str::FromStr;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_128;

/// Position of a record in the platform's log.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Position of the record after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing number: the offset of the accepted claim of a lease. A later claim has a higher one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl From<Offset> for Epoch {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of a usage window: wall-clock time divided by the window length.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct WindowId(pub u64);

impl<'de> Deserialize<'de> for WindowId {
    // JSON map keys are strings, and serde does not convert them back to numbers inside an
    // internally tagged enum such as `record::Body`.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WindowVisitor).map(Self)
    }
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Defines a 128-bit identifier that is displayed and serialized as 32 hexadecimal digits.
macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                parse_hex(text).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(HexVisitor).map(Self)
            }
        }
    };
}

hex_id! {
    /// Identity of one request, repeated in every piece of its answer.
    RequestId
}

hex_id! {
    /// Identity of one log record. Replay drops a second record with the same identity.
    RecordId
}

hex_id! {
    /// Identity of one run of a process, drawn at random at each start.
    Incarnation
}

hex_id! {
    /// Hash of the content of a request. Repeats of a request under new identities have the same.
    Fingerprint
}

hex_id! {
    /// Hash of client account, route and idempotency key of a non-idempotent call.
    CallKey
}

impl Fingerprint {
    /// Hashes client account, model and prompt.
    pub fn of(account: &str, model: &str, prompt: &str) -> Self {
        Self(hash_parts(&[account, model, prompt]))
    }
}

impl CallKey {
    /// Hashes client account, route and idempotency key.
    pub fn of(account: &str, route: &str, idempotency_key: &str) -> Self {
        Self(hash_parts(&[account, route, idempotency_key]))
    }
}

/// Hashes each part after its length, so that different lists never give the same hash input.
fn hash_parts(parts: &[&str]) -> u128 {
    let mut buf = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
    for part in parts {
        buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
        buf.extend_from_slice(part.as_bytes());
    }
    xxh3_128(&buf)
}

/// Error of parsing an identifier: the text is not made of exactly 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidId;

impl fmt::Display for InvalidId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 32 hexadecimal digits")
    }
}

impl std::error::Error for InvalidId {}

fn parse_hex(text: &str) -> Result<u128, InvalidId> {
    let is_hex = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex {
        return Err(InvalidId);
    }
    u128::from_str_radix(text, 16).map_err(|_| InvalidId)
}

struct HexVisitor;

impl Visitor<'_> for HexVisitor {
    type Value = u128;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("32 hexadecimal digits")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u128, E> {
        parse_hex(text).map_err(E::custom)
    }
}

struct WindowVisitor;

impl Visitor<'_> for WindowVisitor {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a window number")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        Ok(number)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u64, E> {
        text.parse().map_err(E::custom)
    }
}
