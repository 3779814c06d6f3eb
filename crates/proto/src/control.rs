//! Control interface between gateways and sidecars, JSON-RPC over HTTP.

use std::collections::BTreeMap;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use nutmegbay_core::ids::{Epoch, Fingerprint, Incarnation, Offset, RecordId};
use nutmegbay_core::record::{CrashReport, LeaseRole};
use serde::{Deserialize, Serialize};

pub use nutmegbay_core::guard::{AttemptRef, AttemptState};

use crate::engine::{CacheEvents, EngineOrder, Load, OrderState};
use crate::platform::Entry;

/// Control interface of a sidecar.
#[rpc(client, server, namespace = "sidecar", namespace_separator = ".")]
pub trait SidecarControl {
    /// Identity, load and cache of the upstream.
    #[method(name = "status")]
    async fn status(&self, query: SidecarQuery) -> RpcResult<SidecarStatus>;

    /// Gives the upstream an order; refused if the fencing number is not current.
    #[method(name = "order")]
    async fn order(&self, order: EngineOrder) -> RpcResult<OrderReply>;

    /// Asks for the outcome of an attempt and, if it never arrived, for the promise never to run it.
    #[method(name = "fence")]
    async fn fence(&self, attempt: AttemptRef) -> RpcResult<AttemptState>;

    /// Waits up to `wait_ms` for the outcome of an attempt.
    #[method(name = "outcome")]
    async fn outcome(&self, attempt: AttemptRef, wait_ms: u64) -> RpcResult<AttemptState>;

    /// Hands over recent log records, which other gateways may read from here.
    #[method(name = "relay")]
    async fn relay(&self, tail: Tail) -> RpcResult<LogStatus>;

    /// Recent log records from `from` on.
    #[method(name = "tail")]
    async fn tail(&self, from: Offset) -> RpcResult<Tail>;

    /// Refuses new work and returns what is still running.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<u32>;
}

/// Control interface of a gateway.
#[rpc(client, server, namespace = "gateway", namespace_separator = ".")]
pub trait GatewayControl {
    /// Identity, freshness and leases.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<GatewayStatus>;

    /// Hands over log records that the receiver may lack.
    #[method(name = "offer")]
    async fn offer(&self, tail: Tail) -> RpcResult<LogStatus>;

    /// Exchanges load, served work and crash reports.
    #[method(name = "gossip")]
    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip>;

    /// Log records from `from` on, as far as this gateway remembers them.
    #[method(name = "tail")]
    async fn tail(&self, from: Offset) -> RpcResult<Tail>;

    /// Whole replica state, for a peer that starts while the log is down.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> RpcResult<ReplicaImage>;

    /// Stops taking new work.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<u32>;
}

/// What a gateway wants to know of a sidecar.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct SidecarQuery {
    /// First cache event wanted.
    pub cache_from: u64,
    /// The asking gateway's view of the log.
    pub log: LogStatus,
}

/// State of a sidecar and its upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SidecarStatus {
    /// Upstream that it stands beside.
    pub upstream: Box<str>,
    /// Life of the sidecar.
    pub incarnation: Incarnation,
    /// Whether the upstream answers.
    pub healthy: bool,
    /// Whether it refuses new work.
    pub draining: bool,
    /// Load of the upstream.
    pub load: Load,
    /// Cache events since the number asked for.
    pub cache: CacheEvents,
    /// Newest view of the log among the gateways that asked.
    pub log: LogStatus,
    /// Crashes of the upstream that the sidecar remembers.
    pub crashes: Vec<CrashReport>,
}

/// How current a process is with respect to the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// Offset after the last record applied.
    pub next: Offset,
    /// Milliseconds since the start of the last read that reached the head, none if never.
    pub fresh_ms: Option<u64>,
}

/// Consecutive log records.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Tail {
    /// Records in order.
    pub entries: Vec<Entry>,
    /// How current the sender is.
    pub log: LogStatus,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was taken.
    pub accepted: bool,
    /// Why not, or what happened.
    pub note: Box<str>,
    /// State of the engine's orders.
    pub state: OrderState,
}

/// State of a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Instance.
    pub instance: Box<str>,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// View of the log.
    pub log: LogStatus,
    /// State of the freshness chart.
    pub freshness: Box<str>,
    /// Offset of the configuration in force, none before the first.
    pub config: Option<Offset>,
    /// Offset of an accepted configuration that this build cannot apply.
    pub config_rejected: Option<Offset>,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// Leases that it holds.
    pub leases: BTreeMap<LeaseRole, Epoch>,
    /// Record schema version that the build understands.
    pub schema: u16,
}

/// Exchange between gateways.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// Sender.
    pub instance: Box<str>,
    /// Its view of the log.
    pub log: LogStatus,
    /// Served work by client account in the last second, in milliseconds of engine time.
    pub served: BTreeMap<Box<str>, u64>,
    /// Work that the sender has dispatched and that upstreams may not report yet, by upstream.
    pub dispatched: BTreeMap<Box<str>, u64>,
    /// Crash reports that the receiver may lack.
    pub crashes: Vec<CrashReport>,
    /// Requests that the sender runs alone because they are suspect.
    pub exclusive: Vec<Fingerprint>,
}

/// Whole state of a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaImage {
    /// The state holds the effect of all records below this offset.
    pub as_of: Offset,
    /// Identity of the image, for logs.
    pub id: RecordId,
    /// Serialised state.
    pub text: Box<str>,
    /// How current the sender is.
    pub log: LogStatus,
}
