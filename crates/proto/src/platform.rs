//! HTTP interfaces of the platform.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /log` | [`AppendRequest`] | [`AppendResponse`], 429 over the append rate, 503 in an outage |
//! | `GET /log?from=&max=&wait_ms=` | | [`ReadResponse`] |
//! | `GET /instances` | | [`InstanceList`] |
//! | `GET /weights/{model}` | | 200, 429 over the rate |
//! | `POST /upstream-orders` | [`UpstreamOrder`] | 200 `{}` |
//! | `POST /usage-reports` | [`UsageReport`] | 200 `{}`, 409 for other figures under a known window |

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nutmegbay_core::ids::{Epoch, Offset, RecordId, WindowId};
use nutmegbay_core::record::{OrderCommand, Usage};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use strum::{Display, EnumString, IntoStaticStr};

/// Header with the name of the calling instance.
pub const INSTANCE_HEADER: &str = "x-instance";

/// Appends records in one group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in order, opaque to the platform.
    pub records: Vec<Box<RawValue>>,
}

/// Answer to [`AppendRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record; the others follow without a gap.
    pub first: Offset,
}

/// Answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Records from the requested offset, or from `oldest` if that is later.
    pub records: Vec<Entry>,
    /// Offset after the last record of the log.
    pub head: Offset,
    /// Offset of the oldest record that is still kept.
    pub oldest: Offset,
}

/// A record with its offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub offset: Offset,
    /// Record as appended.
    pub record: Box<RawValue>,
}

/// Instances as the platform sees them, with a lag.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances.
    pub instances: Vec<Instance>,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the site.
    pub name: Box<str>,
    /// What runs on it.
    pub kind: InstanceKind,
    /// Service or model it serves; empty for gateways.
    pub serves: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Address of the data path.
    pub data: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// Whether it is leaving.
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
    /// Entry for callers.
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
    /// Takes work.
    Live,
    /// About to be withdrawn: takes no new work.
    Leaving,
}

/// Order for the platform to add or remove an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Identity: a repeat has no further effect.
    pub order: RecordId,
    /// Authority under which it is given.
    pub epoch: Epoch,
    /// What is ordered.
    pub command: OrderCommand,
}

/// Usage of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Window.
    pub window: WindowId,
    /// Authority under which the window was sealed, so that every repeat is the same.
    pub epoch: Epoch,
    /// Usage by client account, in this window.
    pub accounts: BTreeMap<Box<str>, Usage>,
    /// Counts of earlier windows that came after those were sealed.
    pub late: BTreeMap<Box<str>, Usage>,
}
