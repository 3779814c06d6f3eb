//! Types of the platform's HTTP interfaces.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /log` | [`AppendRequest`] | [`AppendResponse`], 429 over the append rate limit, 503 during an outage |
//! | `GET /log?from=&max=&wait_ms=` | | [`ReadResponse`] |
//! | `GET /instances` | | [`InstanceList`] |
//! | `GET /weights/{model}` | | 200, 429 over the rate limit |
//! | `POST /upstream-orders` | [`UpstreamOrder`] | 200 `{}` |
//! | `POST /usage-reports` | [`UsageReport`] | 200 `{}`, 409 if the window was reported with different usage |

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nutmegbay_core::ids::{Epoch, Offset, RecordId, WindowId};
use nutmegbay_core::record::{OrderCommand, Usage};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use strum::{Display, EnumString, IntoStaticStr};

/// Header with the name of the calling instance.
pub const INSTANCE_HEADER: &str = "x-instance";

/// Request to append records as one group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in order; the platform does not interpret them.
    pub records: Vec<Box<RawValue>>,
}

/// Answer to [`AppendRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record. The following records have consecutive offsets.
    pub first: Offset,
}

/// Answer to a read of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Records from the requested offset, or from `oldest` if that is later.
    pub records: Vec<LogEntry>,
    /// Offset after the last record of the log.
    pub head: Offset,
    /// Offset of the oldest record that the log still holds.
    pub oldest: Offset,
}

/// Log record with its offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset in the log.
    pub offset: Offset,
    /// Record exactly as it was appended.
    pub record: Box<RawValue>,
}

/// Instances as the platform lists them. The list lags behind the actual state.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Listed instances.
    pub instances: Vec<Instance>,
}

/// Entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique within the site.
    pub name: Box<str>,
    /// Kind of process on the instance.
    pub kind: InstanceKind,
    /// Name of the service or model that it serves, empty for gateways.
    pub serves: Box<str>,
    /// Failure domain of the instance.
    pub failure_domain: Box<str>,
    /// Address of the data path.
    pub data: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// Whether the instance takes new work.
    pub state: InstanceState,
}

/// Kind of an [`Instance`].
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceKind {
    /// Gateway, to which callers connect.
    Gateway,
    /// Model engine with its sidecar.
    Engine,
    /// Plain service with its sidecar.
    Service,
}

/// State of an [`Instance`].
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// The instance takes work.
    Live,
    /// The instance is about to be withdrawn and takes no new work.
    Leaving,
}

/// Order for the platform to add or remove an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Identity of the order; a repeat has no further effect.
    pub order: RecordId,
    /// Epoch of the lease under which the order is given.
    pub epoch: Epoch,
    /// Change that is ordered.
    pub command: OrderCommand,
}

/// Usage of all client accounts in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Window that is reported.
    pub window: WindowId,
    /// Epoch of the lease under which the window was sealed. Every repeat of the report carries the
    /// same epoch.
    pub epoch: Epoch,
    /// Usage in this window, by client account.
    pub accounts: BTreeMap<Box<str>, Usage>,
    /// Usage of earlier windows that arrived after those were sealed, by client account.
    pub late: BTreeMap<Box<str>, Usage>,
}
