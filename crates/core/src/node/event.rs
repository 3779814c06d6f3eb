use std::time::Duration;

use crate::environment::{Append, MonotonicTime};
use crate::freshness::LogProgress;
use crate::ids::{Offset, RecordId, WindowId};
use crate::orders::{OrderAnswer, SendOrder};
use crate::record::{OrderCommand, Usage};
use crate::replica::Applied;
use crate::snapshot::Image;
use crate::usage::SendUsageReport;

/// A record of the log with its offset.
pub type Entry = (Offset, Box<str>);

/// Input of a [`GatewayNode`](super::GatewayNode).
#[derive(Debug, Clone)]
pub enum Event {
    /// A read of the log returned.
    TailRead(TailRead),
    /// A read of the log failed.
    TailFailed,
    /// An append was answered.
    AppendDone {
        /// Token of the append.
        token: u64,
    },
    /// An append failed or its answer was lost.
    AppendFailed {
        /// Token of the append.
        token: u64,
        /// Whether it may have taken effect.
        may_have_run: bool,
    },
    /// The list of all other gateways.
    Peers(Vec<Box<str>>),
    /// A peer or sidecar answered [`Effect::AskParties`], or said how current it is on the way.
    PartyView {
        /// Name of the party.
        party: Box<str>,
        /// When it was asked.
        asked: MonotonicTime,
        /// How current it is.
        view: LogProgress,
    },
    /// A peer or sidecar did not answer.
    PartySilent(Box<str>),
    /// Records from a peer, a sidecar or an operator, which say nothing about the head.
    Offered(Vec<Entry>),
    /// State of a peer, as asked for by [`Effect::AskImage`].
    PeerImage {
        /// Name of the peer.
        party: Box<str>,
        /// When it was asked.
        asked: MonotonicTime,
        /// How current it is.
        view: LogProgress,
        /// Its state.
        image: Image,
    },
    /// An answer was delivered.
    Served {
        /// Client account.
        account: Box<str>,
        /// What it used.
        usage: Usage,
    },
    /// The planner wants an order to be given.
    OrderWanted(OrderCommand),
    /// A [`SendOrder`] ended.
    OrderAnswered(RecordId, OrderAnswer),
    /// A [`SendUsageReport`] ended.
    ReportAnswered {
        /// Window.
        window: WindowId,
        /// Whether the platform took it.
        is_taken: bool,
    },
    /// Time has passed; at least every 50 ms.
    Tick,
    /// The process is to stop.
    StopRequested,
}

/// Records as read from the log.
#[derive(Debug, Clone)]
pub struct TailRead {
    /// When the read was sent.
    pub started: MonotonicTime,
    /// Records in order.
    pub entries: Vec<Entry>,
    /// Offset after the last record of the log.
    pub head: Offset,
    /// Offset of the oldest record that is still kept.
    pub oldest: Offset,
}

/// Output of a [`GatewayNode`](super::GatewayNode).
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append records to the log; answered by [`Event::AppendDone`] or [`Event::AppendFailed`].
    Append(Append),
    /// Read the log from this offset and wait up to `wait` for a record; answered by
    /// [`Event::TailRead`] or [`Event::TailFailed`].
    ReadTail {
        /// First offset.
        from: Offset,
        /// Longest wait at the head.
        wait: Duration,
    },
    /// Ask all peers and some sidecars how current they are; answered by [`Event::PartyView`] or
    /// [`Event::PartySilent`] for each.
    AskParties,
    /// Read the records from this offset from a peer or sidecar; answered by [`Event::Offered`].
    ReadParty {
        /// Name of the party.
        party: Box<str>,
        /// First offset.
        from: Offset,
    },
    /// Ask a peer for its state; answered by [`Event::PeerImage`].
    AskImage,
    /// Deliver a usage report; answered by [`Event::ReportAnswered`].
    SendUsageReport(SendUsageReport),
    /// Send an order; answered by [`Event::OrderAnswered`].
    SendOrder(SendOrder),
    /// Replay has decided on a record.
    Applied(Offset, Applied),
    /// The state was replaced: everything derived from it is to be built again.
    Reloaded,
    /// End all streams of these keys.
    KeysWithdrawn(Vec<Box<str>>),
    /// A configuration was accepted.
    ConfigChanged,
    /// The state of the freshness chart changed.
    FreshnessChanged,
    /// End all streams with a key: whether the key was withdrawn is not known any more.
    EndKeyed,
    /// A snapshot in the log differs from this replica's own state as of this offset.
    SnapshotDiffers(Offset),
    /// After [`Event::StopRequested`]: no lease is held and all counts are in the log.
    MayExit,
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
