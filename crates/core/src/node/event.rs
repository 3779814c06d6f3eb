use std::time::Duration;

use crate::environment::{Append, MonotonicTime};
use crate::freshness::LogProgress;
use crate::ids::{Offset, RecordId, WindowId};
use crate::orders::{OrderAnswer, SendOrder};
use crate::record::{OrderCommand, Usage};
use crate::replica::Applied;
use crate::snapshot::ReplicaSnapshot;
use crate::usage::SendUsageReport;

/// Offset and JSON text of a log record.
pub type Entry = (Offset, Box<str>);

/// Input of a [`GatewayNode`](super::GatewayNode).
#[derive(Debug, Clone)]
pub enum Event {
    /// A read of the log returned.
    TailRead(TailRead),
    /// A read of the log failed.
    TailReadFailed,
    /// The log acknowledged an append.
    AppendDone {
        /// Token of the [`Append`].
        token: u64,
    },
    /// An append failed or its answer was lost.
    AppendFailed {
        /// Token of the [`Append`].
        token: u64,
        /// Whether the records may have reached the log.
        may_have_run: bool,
    },
    /// The current list of gateways. The node ignores its own name in it.
    Peers(Vec<Box<str>>),
    /// A peer or sidecar answered [`Effect::QueryEndpoints`], or reported how current it is along
    /// with another answer.
    EndpointStatus {
        /// Name of the instance.
        endpoint: Box<str>,
        /// Time at which the query was sent.
        asked: MonotonicTime,
        /// How current its copy of the log is.
        view: LogProgress,
    },
    /// The named peer or sidecar did not answer [`Effect::QueryEndpoints`] in time.
    EndpointUnresponsive(Box<str>),
    /// Records from a peer, a sidecar or an operator. They do not tell where the log ends, so they
    /// do not make the replica fresh.
    RecordsOffered(Vec<Entry>),
    /// A peer answered [`Effect::RequestPeerSnapshot`].
    PeerSnapshot {
        /// Name of the peer.
        endpoint: Box<str>,
        /// Time at which the request was sent.
        asked: MonotonicTime,
        /// How current the peer's replica is.
        view: LogProgress,
        /// State of the peer's replica.
        snapshot: ReplicaSnapshot,
    },
    /// A request was answered and its usage is to be counted.
    RequestServed {
        /// Client account of the request.
        account: Box<str>,
        /// Usage of the request.
        usage: Usage,
    },
    /// The planner decided on an order.
    OrderRequested(OrderCommand),
    /// The [`SendOrder`] of this order was answered or abandoned.
    OrderAnswered(RecordId, OrderAnswer),
    /// A [`SendUsageReport`] was answered or abandoned.
    ReportAnswered {
        /// Window of the report.
        window: WindowId,
        /// Whether the platform accepted the report.
        is_accepted: bool,
    },
    /// The clock advanced. To be given at least every 50 ms.
    Tick,
    /// A planned stop of the process begins; ends with [`Effect::ReadyToExit`].
    StopRequested,
}

/// Result of a read of the log.
#[derive(Debug, Clone)]
pub struct TailRead {
    /// Time at which the read was sent.
    pub started: MonotonicTime,
    /// Records in the order of the log.
    pub entries: Vec<Entry>,
    /// Offset after the last record of the log.
    pub head: Offset,
    /// Offset of the oldest record that the log still has.
    pub oldest: Offset,
}

/// Output of a [`GatewayNode`](super::GatewayNode).
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append a group of records to the log; answered by [`Event::AppendDone`] or
    /// [`Event::AppendFailed`].
    Append(Append),
    /// Read the log from this offset and wait up to `wait` for a record; answered by
    /// [`Event::TailRead`] or [`Event::TailReadFailed`].
    ReadTail {
        /// First offset to read.
        from: Offset,
        /// Maximum time to wait if the log has no record at `from` yet.
        wait: Duration,
    },
    /// Ask all peers and some sidecars how current their copies of the log are; answered by
    /// [`Event::EndpointStatus`] or [`Event::EndpointUnresponsive`] for each.
    QueryEndpoints,
    /// Read log records from a peer or sidecar; answered by [`Event::RecordsOffered`].
    ReadEndpoint {
        /// Name of the instance.
        endpoint: Box<str>,
        /// First offset to read.
        from: Offset,
    },
    /// Ask a peer for the state of its replica; answered by [`Event::PeerSnapshot`].
    RequestPeerSnapshot,
    /// Deliver a usage report to the platform; answered by [`Event::ReportAnswered`].
    SendUsageReport(SendUsageReport),
    /// Send an order to an engine or to the platform; answered by [`Event::OrderAnswered`].
    SendOrder(SendOrder),
    /// Replay processed the record at this offset.
    Applied(Offset, Applied),
    /// The state was replaced by a snapshot: rebuild everything that is derived from it.
    StateReplaced,
    /// End all streams that use one of these keys.
    KeysWithdrawn(Vec<Box<str>>),
    /// The accepted configuration changed.
    ConfigChanged,
    /// The freshness state chart entered another state.
    FreshnessChanged,
    /// End all streams that use a key: this process can no longer learn of a withdrawal.
    EndKeyedStreams,
    /// A snapshot in the log differs from this replica's own state as of this offset.
    SnapshotMismatch(Offset),
    /// The planned stop is complete: no lease is held and all usage counts are in the log.
    ReadyToExit,
}

impl From<Append> for Effect {
    fn from(append: Append) -> Self {
        Self::Append(append)
    }
}

impl From<SendUsageReport> for Effect {
    fn from(report: SendUsageReport) -> Self {
        Self::SendUsageReport(report)
    }
}

impl From<SendOrder> for Effect {
    fn from(order: SendOrder) -> Self {
        Self::SendOrder(order)
    }
}
