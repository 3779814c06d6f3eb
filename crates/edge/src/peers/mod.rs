//! Requests between edge processes, which send each other the records that they have read from the
//! store.

mod ask;
pub mod relay;
mod serve;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use nutmegbay_core::crashes::CrashReport;
use nutmegbay_core::duty::MemberCounts;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::relay::ReadCounts;
use nutmegbay_policy::edge::stream_origins::CallerWait;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::clock::millis;
use crate::crashes;
use crate::http1::BufferedClient;
use crate::members::MemberInfo;
use crate::model::KeyedRecord;
use crate::own_delay::{DelayMonitor, Wait};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;
use crate::versions::KnownVersions;

pub use ask::ask_during_outage;
pub use serve::{ControlHandler, ReadinessHandler, listen};

/// Path that returns all store records that a process knows.
const KNOWN_RECORDS_PATH: &str = "/seen";

/// Path of requests of processes that have just started. The reply lacks the list of instances where
/// more than [`MAX_START_LIST_MEMBERS`] processes run.
const START_RECORDS_PATH: &str = "/start";

/// Maximum number of other processes with which the list of instances is sent to those that have
/// just started. Hundreds that start together would fill their links with it.
const MAX_START_LIST_MEMBERS: usize = 30;

/// Path that returns changed records as soon as the process has read the store again.
const CHANGES_PATH: &str = "/changes";

/// Path that returns the usage counts of a process.
const USAGE_PATH: &str = "/usage";

/// Path that returns the metrics.
const METRICS_PATH: &str = "/metrics";

/// Maximum wait for the response to a request that a peer answers at once.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Request for changes. It states what the requesting process already knows.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ChangesRequest {
    /// Highest known era of the store.
    #[serde(default)]
    store_era: u64,
    /// Read counts in the last reply of the receiver.
    reads: ReadCounts,
    /// Position up to which the configuration is known.
    config_next: Option<Position>,
    /// Position up to which the list of instances is known.
    instances_next: Option<Position>,
    /// Position up to which the member records are known.
    members_next: Position,
    /// Longest waits of callers.
    #[serde(default)]
    caller_waits: Vec<CallerWait>,
}

/// Store records that a process has read.
#[derive(Debug, Serialize, Deserialize)]
struct RecordsReply {
    /// Highest known era of the store.
    #[serde(default)]
    store_era: u64,
    /// Number of reads that the process itself has completed.
    reads: ReadCounts,
    /// Age of the known list of instances, in milliseconds.
    #[serde(rename = "age_ms")]
    instances_age_ms: u64,
    /// Age of the known configuration, in milliseconds.
    config_age_ms: u64,
    config: Option<WireRecord>,
    config_next: Option<Position>,
    /// Changed entries of the list of instances.
    instances: Vec<WireRecord>,
    instances_next: Option<Position>,
    /// Whether `instances` is the whole list, so that entries missing from it are removed.
    is_whole: bool,
    /// Grace period for upstreams whose entries were removed, in milliseconds. 0 for none.
    #[serde(rename = "lapse_ms")]
    expiry_grace_ms: u64,
    members: Vec<MemberInfo>,
    /// Crashed runs that the requesting process may lack.
    #[serde(default)]
    crashes: CrashReport,
    /// Software versions that may have begun streams. Their entries may have come and gone between
    /// two replies.
    #[serde(default)]
    versions: Vec<KnownVersions>,
    /// Longest waits of callers.
    #[serde(default)]
    caller_waits: Vec<CallerWait>,
}

/// Store record as sent between processes.
#[derive(Debug, Serialize, Deserialize)]
struct WireRecord {
    key: Box<str>,
    position: Position,
    value: Option<Box<str>>,
}

impl WireRecord {
    /// Copies a record. A value that is not UTF-8 becomes an empty one, which is as unusable.
    fn from_record(record: &KeyedRecord) -> Self {
        let text = |value: &Bytes| std::str::from_utf8(value).unwrap_or_default().into();
        Self {
            key: record.key.clone(),
            position: record.position,
            value: record.value.as_ref().map(text),
        }
    }

    fn into_record(self) -> KeyedRecord {
        KeyedRecord {
            position: self.position,
            key: self.key,
            value: self.value.map(|text| Bytes::from(String::from(text))),
        }
    }
}

/// Returns the records that this process has read and the requesting one does not know.
fn build_reply<D: WireCodec>(state: &EdgeState<D>, request: &ChangesRequest) -> RecordsReply {
    let known_records = state.known_records.borrow();
    let now = state.now();
    let known = request.config_next.unwrap_or_default();
    let config = known_records
        .config
        .as_ref()
        .filter(|config| config.position >= known);
    let grace_until = state.expiry_grace.borrow().usable_until(now);
    let (is_whole, instances) = known_records.instances_since(request.instances_next);
    RecordsReply {
        store_era: state.store_era(),
        reads: known_records.reads,
        instances_age_ms: age_ms(known_records.instances_at, now),
        config_age_ms: age_ms(known_records.config_at, now),
        config: config.map(WireRecord::from_record),
        config_next: known_records.config_next,
        instances: instances.map(WireRecord::from_record).collect(),
        instances_next: known_records.instances_next,
        is_whole,
        expiry_grace_ms: grace_until.map_or(0, |until| millis(until.since(now))),
        members: state
            .members
            .borrow()
            .changed_since(request.members_next)
            .collect(),
        crashes: crashes::report(state),
        versions: state.versions.borrow().report(now),
        caller_waits: state.versions.borrow().caller_waits(),
    }
}

/// Returns the records for a process that has just started.
fn build_start_reply<D: WireCodec>(state: &EdgeState<D>) -> RecordsReply {
    let mut request = ChangesRequest::default();
    let is_large = state.members.borrow().control_addresses().count() > MAX_START_LIST_MEMBERS;
    if is_large {
        request.instances_next = state.known_records.borrow().instances_next;
    }
    let reply = build_reply(state, &request);
    RecordsReply {
        instances_age_ms: if is_large {
            u64::MAX
        } else {
            reply.instances_age_ms
        },
        ..reply
    }
}

/// Returns the age of what was read at `at`, in milliseconds. What was never read is older than
/// anything that the receiver knows, not as old as this process.
fn age_ms(at: Option<MonotonicTime>, now: MonotonicTime) -> u64 {
    at.map_or(u64::MAX, |at| millis(now.since(at)))
}

/// Returns the control addresses of the other processes: known members and the seeds in the
/// settings.
pub fn known_peers<D: WireCodec>(state: &EdgeState<D>) -> Vec<SocketAddr> {
    let settings = state.settings();
    let members = state.members.borrow();
    let mut addrs: Vec<_> = members
        .control_addresses()
        .chain(settings.seeds.iter().copied())
        .filter(|addr| Some(*addr) != settings.control)
        .collect();
    addrs.sort_unstable();
    addrs.dedup();
    addrs
}

/// Reason for which a request to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PeerError {
    /// No connection, or no response in time.
    #[strum(to_string = "unreachable: {0}")]
    Unreachable(Box<str>),
    /// The peer responded with this HTTP status.
    #[strum(to_string = "status {0}")]
    Refused(u16),
    /// The request cannot be built or the response cannot be decoded.
    #[strum(to_string = "unreadable: {0}")]
    Unreadable(Box<str>),
}

/// Requests the usage counts of a process.
pub async fn request_usage(
    peer: SocketAddr,
    monitor: &DelayMonitor,
) -> Result<MemberCounts, PeerError> {
    fetch(
        &BufferedClient::new(peer, monitor),
        USAGE_PATH,
        Vec::new(),
        PEER_TIMEOUT,
    )
    .await
}

/// Sends a request to a peer and decodes its response. Waits up to `wait`, or longer while this process
/// is late.
pub async fn fetch<T: DeserializeOwned>(
    client: &BufferedClient,
    path: &str,
    body: Vec<u8>,
    wait: impl Into<Wait>,
) -> Result<T, PeerError> {
    let req = Request::post(path)
        .header(HOST, client.host())
        .body(Bytes::from(body).into())
        .map_err(|e| PeerError::Unreadable(e.to_string().into()))?;
    let response = client
        .call(req, wait)
        .await
        .map_err(|e| PeerError::Unreachable(e.to_string().into()))?;
    if response.status() != StatusCode::OK {
        return Err(PeerError::Refused(response.status().as_u16()));
    }
    serde_json::from_slice(response.body()).map_err(|e| PeerError::Unreadable(e.to_string().into()))
}

/// Returns the time that is `age_ms` milliseconds before `now`, or `None` if it is before the start
/// of this process.
fn time_before(now: MonotonicTime, age_ms: u64) -> Option<MonotonicTime> {
    let age = Duration::from_millis(age_ms);
    now.0.checked_sub(age).map(MonotonicTime)
}
