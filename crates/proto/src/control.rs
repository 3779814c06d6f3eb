//! Control interfaces of sidecars and gateways: JSON-RPC over HTTP.

use std::collections::BTreeMap;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use nutmegbay_core::crashes;
use nutmegbay_core::ids::{Epoch, Fingerprint, Incarnation, Offset, RecordId};
use nutmegbay_core::record::{CrashReport, LeaseRole};
use serde::{Deserialize, Serialize};

pub use nutmegbay_core::guard::{AttemptRef, AttemptState};

use crate::engine::{CacheEvents, EngineOrder, Load, OrderState};
use crate::platform::LogEntry;

/// Control interface of a sidecar.
#[rpc(client, server, namespace = "sidecar", namespace_separator = ".")]
pub trait SidecarControl {
    /// Returns identity, load, cache events and crashes of the upstream.
    #[method(name = "status")]
    async fn status(&self, query: SidecarQuery) -> RpcResult<SidecarStatus>;

    /// Forwards an order to the upstream. It is refused if its fencing number is not current.
    #[method(name = "order")]
    async fn order(&self, order: EngineOrder) -> RpcResult<OrderReply>;

    /// Returns the state of an attempt. An attempt that has not arrived is fenced, so that it never
    /// runs.
    #[method(name = "fence")]
    async fn fence(&self, attempt: AttemptRef) -> RpcResult<AttemptState>;

    /// Waits up to `wait_ms` milliseconds for the outcome of an attempt and returns its state.
    #[method(name = "outcome")]
    async fn outcome(&self, attempt: AttemptRef, wait_ms: u64) -> RpcResult<AttemptState>;

    /// Receives recent log records, which other gateways can read from this sidecar. Returns the
    /// end of the records that it holds.
    #[method(name = "relay")]
    async fn relay(&self, tail: LogTail) -> RpcResult<LogStatus>;

    /// Returns recent log records from `from` on, or none if the record at `from` is not held.
    #[method(name = "tail")]
    async fn tail(&self, from: Offset) -> RpcResult<LogTail>;

    /// Refuses new work from now on and returns the number of requests still in flight.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<u32>;
}

/// Control interface of a gateway.
#[rpc(client, server, namespace = "gateway", namespace_separator = ".")]
pub trait GatewayControl {
    /// Returns identity, freshness and leases of the gateway.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<GatewayStatus>;

    /// Receives log records that this gateway may lack and returns its view of the log.
    #[method(name = "offer")]
    async fn offer(&self, tail: LogTail) -> RpcResult<LogStatus>;

    /// Exchanges served work, dispatched work and crash reports.
    #[method(name = "gossip")]
    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip>;

    /// Returns recent log records from `from` on, as far as this gateway holds them.
    #[method(name = "tail")]
    async fn tail(&self, from: Offset) -> RpcResult<LogTail>;

    /// Returns the whole replica state, for a peer that starts while the log is unavailable.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> RpcResult<SnapshotMessage>;

    /// Refuses new work from now on and returns the number of requests still in flight.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<u32>;
}

/// Status request of a gateway to a sidecar.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct SidecarQuery {
    /// Sequence number of the first cache event to return.
    pub cache_from: u64,
    /// The requesting gateway's view of the log.
    pub log: LogStatus,
}

/// State of a sidecar and its upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SidecarStatus {
    /// Name of the sidecar's upstream.
    pub upstream: Box<str>,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Whether the upstream passes its health checks.
    pub healthy: bool,
    /// Whether the sidecar refuses new work.
    pub draining: bool,
    /// Load of the upstream, including work that waits at the sidecar.
    pub load: Load,
    /// Cache events from the requested sequence number on.
    pub cache: CacheEvents,
    /// Newest view of the log that gateways have reported to the sidecar.
    pub log: LogStatus,
    /// Recent crashes of the upstream, oldest first.
    pub crashes: Vec<CrashReport>,
}

/// View of the log in a process and its age.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// Offset after the last record applied.
    pub next: Offset,
    /// Milliseconds since the start of the last read that reached the head, `None` if there was no
    /// such read.
    pub fresh_ms: Option<u64>,
}

/// Consecutive log records.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct LogTail {
    /// Records in log order.
    pub entries: Vec<LogEntry>,
    /// View of the log of the sender.
    pub log: LogStatus,
}

/// Answer of the sidecar to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the engine accepted the order, now or before.
    pub accepted: bool,
    /// Why the order was refused, or how it was accepted.
    pub note: Box<str>,
    /// State of the engine with respect to orders.
    pub state: OrderState,
}

/// State of a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: Box<str>,
    /// View of the log of the gateway.
    pub log: LogStatus,
    /// Name of the current state in the freshness state chart.
    pub freshness: Box<str>,
    /// Offset of the configuration in force, `None` before the first one.
    pub config: Option<Offset>,
    /// Offset of a configuration that replay accepted but this build cannot apply.
    pub config_rejected: Option<Offset>,
    /// Whether the gateway takes new work.
    pub ready: bool,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Leases that the gateway holds, with their epochs.
    pub leases: BTreeMap<LeaseRole, Epoch>,
    /// Record schema version that this build understands.
    pub schema: u16,
}

/// Message that two gateways exchange in each direction.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// Name of the sender.
    pub instance: Box<str>,
    /// The sender's view of the log.
    pub log: LogStatus,
    /// Work served in the last second in milliseconds of engine time, by client account.
    pub served: BTreeMap<Box<str>, u64>,
    /// Work that the sender has dispatched and that the upstream's load may not include yet, by
    /// upstream.
    pub dispatched: BTreeMap<Box<str>, u64>,
    /// Crash reports that the receiver may lack.
    pub crashes: Vec<CrashReport>,
    /// Fingerprints of the suspect requests that the sender runs exclusively.
    pub exclusive: Vec<Fingerprint>,
    /// Runs that broke with crashes, by the content of their prompts, and answers that clear some
    /// of it. Gateways of former versions do not send it.
    #[serde(default)]
    pub crashed_runs: crashes::CrashReport,
}

/// Snapshot of a replica's whole state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SnapshotMessage {
    /// Offset after the last record whose effect the state includes.
    pub as_of: Offset,
    /// Identity of the snapshot, for log lines.
    pub id: RecordId,
    /// Serialized state.
    pub text: Box<str>,
    /// View of the log of the sender.
    pub log: LogStatus,
}
