//! Edge processes tell each other what they have read of the store.

mod ask;
pub mod relay;
mod serve;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use nutmegbay_core::duty::MemberCounts;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::relay::ReadCounts;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::clock::millis;
use crate::http1::Caller;
use crate::members::Sighting;
use crate::model::KeyedRecord;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

pub use ask::ask;
pub use serve::{ControlFace, ReadinessFace, listen};

/// Path at which a process tells all that it has read.
const SEEN_PATH: &str = "/seen";

/// Path at which a process tells what changes, as soon as it has read on.
const CHANGES_PATH: &str = "/changes";

/// Path at which a process hears of requests that crash upstreams.
pub const CRASHES_PATH: &str = "/crashes";

/// Path at which a process tells its usage counts.
const USAGE_PATH: &str = "/usage";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Longest wait for a peer that answers at once.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// What the asking process knows already.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ChangesAsk {
    /// Reads of the asked process that it has heard of.
    reads: ReadCounts,
    /// Position up to which it knows the configuration.
    config_next: Option<u64>,
    /// Position up to which it knows the list of instances.
    instances_next: Option<u64>,
    /// Position up to which it knows the other processes.
    members_next: u64,
}

/// What a process has read of the store.
#[derive(Debug, Serialize, Deserialize)]
struct Reply {
    reads: ReadCounts,
    /// Age of its last read of the list of instances, in milliseconds.
    age_ms: u64,
    /// Age of what it knows of the configuration, in milliseconds.
    config_age_ms: u64,
    config: Option<WireRecord>,
    config_next: Option<u64>,
    /// Entries that have changed.
    instances: Vec<WireRecord>,
    instances_next: Option<u64>,
    /// Whether the entries are the whole list, so that others are gone.
    is_whole: bool,
    /// Time for which an upstream whose entry was removed is still used, in milliseconds.
    lapse_ms: u64,
    members: Vec<Sighting>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRecord {
    key: Box<str>,
    offset: u64,
    value: Option<Box<str>>,
}

impl WireRecord {
    /// Copies a record whose value is text; others name nothing to use.
    fn of(record: &KeyedRecord) -> Option<Self> {
        let value = match &record.value {
            Some(value) => Some(std::str::from_utf8(value).ok()?.into()),
            None => None,
        };
        Some(Self {
            key: record.key.clone(),
            offset: record.offset,
            value,
        })
    }

    fn into_record(self) -> KeyedRecord {
        KeyedRecord {
            offset: self.offset,
            key: self.key,
            value: self.value.map(|text| Bytes::from(String::from(text))),
        }
    }
}

/// What this process has read beyond what the asking one knows.
fn reply<D: WireCodec>(state: &EdgeState<D>, ask: &ChangesAsk) -> Reply {
    let known_records = state.known_records.borrow();
    let now = state.now();
    let known = ask.config_next.unwrap_or(0);
    let config = known_records
        .config
        .as_ref()
        .filter(|config| config.offset >= known);
    let lapsing_until = state.expiry_grace.borrow().usable_until(now);
    let (is_whole, instances) = known_records.instances_since(ask.instances_next);
    Reply {
        reads: known_records.reads,
        age_ms: millis(known_records.instances_age(now)),
        config_age_ms: millis(known_records.config_age(now)),
        config: config.and_then(WireRecord::of),
        config_next: known_records.config_next,
        instances: instances.filter_map(WireRecord::of).collect(),
        instances_next: known_records.instances_next,
        is_whole,
        lapse_ms: lapsing_until.map_or(0, |until| millis(until.since(now))),
        members: state.members.borrow().since(ask.members_next).collect(),
    }
}

/// Control addresses of the other processes, as far as they are known.
pub fn known_peers<D: WireCodec>(state: &EdgeState<D>) -> Vec<SocketAddr> {
    let settings = state.settings();
    let members = state.members.borrow();
    let mut addrs: Vec<_> = members
        .addresses()
        .chain(settings.seeds.iter().copied())
        .filter(|addr| Some(*addr) != settings.control)
        .collect();
    addrs.sort_unstable();
    addrs.dedup();
    addrs
}

/// Why a peer's answer is missing.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PeerError {
    /// No connection, or no answer in time.
    #[strum(to_string = "unreachable: {0}")]
    Unreachable(Box<str>),
    /// It cannot answer at present.
    #[strum(to_string = "status {0}")]
    Refused(u16),
    /// Its answer cannot be read.
    #[strum(to_string = "unreadable: {0}")]
    Unreadable(Box<str>),
}

/// Asks a process for its usage counts.
pub async fn ask_usage(peer: SocketAddr) -> Result<MemberCounts, PeerError> {
    fetch(&Caller::new(peer), USAGE_PATH, Vec::new(), PEER_TIMEOUT).await
}

/// Asks a peer and waits up to `limit` for its answer.
async fn fetch<T: DeserializeOwned>(
    caller: &Caller,
    path: &str,
    body: Vec<u8>,
    limit: Duration,
) -> Result<T, PeerError> {
    let req = Request::post(path)
        .header(HOST, caller.host())
        .body(Bytes::from(body).into())
        .map_err(|e| PeerError::Unreadable(e.to_string().into()))?;
    let (status, body) = caller
        .call(req, limit)
        .await
        .map_err(|e| PeerError::Unreachable(e.to_string().into()))?;
    if status != StatusCode::OK {
        return Err(PeerError::Refused(status.as_u16()));
    }
    serde_json::from_slice(&body).map_err(|e| PeerError::Unreadable(e.to_string().into()))
}

/// Time that lies `age` before `now`.
fn before(now: MonotonicTime, age: Duration) -> MonotonicTime {
    MonotonicTime(now.0.saturating_sub(age))
}
