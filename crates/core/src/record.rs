//! Records that the system keeps in the platform's log.
//!
//! Replay alone decides about a record: every replica reads the same order and accepts or rejects
//! the same records. A record that depends on earlier state, such as a lease claim, names in `prev`
//! the offset of the record that it follows, and is rejected if another one came in between.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::{CallKey, Epoch, Fingerprint, Incarnation, Offset, RecordId, WindowId};

/// Version of the record format written by this build.
pub const SCHEMA: u16 = 1;

/// One entry of the log: content, author and identity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Identity: replay drops a second record with the same one.
    pub id: RecordId,
    /// Operator or instance that wrote it.
    pub author: Box<str>,
    /// Wall-clock time of writing in milliseconds since 1970. Used for the audit trail only.
    pub at_ms: u64,
    /// Format version of `body`; see [`SCHEMA`].
    pub schema: u16,
    /// Kind of the record and its fields.
    pub body: Body,
}

/// Kinds of [`Record`] with their fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Body {
    /// Claims a lease.
    LeaseClaim(LeaseClaim),
    /// Extends a lease that the author holds.
    LeaseRenew(LeaseChange),
    /// Releases a lease on a planned stop.
    LeaseRelease(LeaseChange),
    /// Replaces the base configuration or an overlay.
    ConfigPublish(ConfigPublish),
    /// Creates a key for a client account.
    KeyGrant(KeyGrant),
    /// Withdraws a key permanently.
    KeyWithdraw(KeyWithdraw),
    /// Opens an attempt of a non-idempotent call.
    AttemptOpen(AttemptOpen),
    /// Records that an attempt never runs: its sidecar promised so, or its gateway gave up the
    /// right to dispatch it.
    AttemptFence(AttemptFence),
    /// Records how an attempt ended.
    AttemptOutcome(AttemptOutcome),
    /// Announces an order to an engine or to the platform before it is sent.
    OrderIntent(OrderIntent),
    /// Records how an order ended.
    OrderDone(OrderDone),
    /// Cumulative usage counts of one gateway incarnation.
    UsageCounts(UsageCounts),
    /// Seals a usage window: its usage no longer changes.
    WindowSeal(WindowSeal),
    /// Records that the platform accepted the report of a window.
    WindowReported(WindowReported),
    /// Names the requests that were running when an upstream crashed.
    CrashReport(CrashReport),
    /// Records that a suspect request finished without a crash, or that an operator cleared it.
    QuarantineClear(QuarantineClear),
    /// Takes or releases the lock for running one suspect request alone.
    ExclusiveRun(ExclusiveRun),
    /// Asks an instance to drain.
    DrainRequest(DrainRequest),
    /// Marks the offset as of which the next snapshot is written.
    SnapshotMark(SnapshotMark),
    /// One part of a snapshot.
    SnapshotPart(SnapshotPart),
}

/// Leases of the system, by the work that only their holder may do.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseRole {
    /// Plans engine roles and orders upstreams.
    Planner,
    /// Seals and reports usage windows.
    Reporter,
    /// Writes snapshots.
    Snapshot,
}

/// Content of [`Body::LeaseClaim`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// Lease that is claimed.
    pub role: LeaseRole,
    /// Instance that claims it.
    pub holder: Box<str>,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Last accepted lease record of this role that the claimant has read, if any.
    pub prev: Option<Offset>,
    /// Length of the lease in milliseconds.
    pub ttl_ms: u64,
}

/// Content of [`Body::LeaseRenew`] and [`Body::LeaseRelease`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseChange {
    /// Lease that is changed.
    pub role: LeaseRole,
    /// Fencing number of the claim under which the author holds it.
    pub epoch: Epoch,
    /// Last accepted lease record of this role.
    pub prev: Offset,
}

/// Content of [`Body::ConfigPublish`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigPublish {
    /// Part of the configuration that is replaced.
    pub scope: ConfigScope,
    /// Last accepted configuration record of any scope, if any.
    pub prev: Option<Offset>,
    /// Full text of that part: JSON with comments.
    pub text: Box<str>,
}

/// Part of the configuration that a publish replaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigScope {
    /// Base configuration of all sites.
    Base,
    /// Overlay of the named site, applied over the base.
    Overlay(Box<str>),
}

/// Content of [`Body::KeyGrant`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyGrant {
    /// Public part of the key.
    pub key: Box<str>,
    /// Client account to which the key belongs.
    pub account: Box<str>,
    /// SHA-256 of the secret part, in hexadecimal.
    pub secret_sha256: Box<str>,
}

/// Content of [`Body::KeyWithdraw`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyWithdraw {
    /// Public part of the key.
    pub key: Box<str>,
}

/// Content of [`Body::AttemptOpen`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptOpen {
    /// Call that is attempted.
    pub call: CallKey,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Record that closed the previous attempt, `None` for the first attempt.
    pub prev: Option<Offset>,
    /// Hash of method, path and body: an idempotency key that is reused with other content is
    /// refused.
    pub content: Fingerprint,
    /// Upstream on which the attempt is to run.
    pub upstream: Box<str>,
    /// Incarnation of the sidecar that is to run it. Another incarnation never runs it.
    pub sidecar: Incarnation,
    /// Gateway that may dispatch it.
    pub gateway: Box<str>,
    /// Incarnation of that gateway.
    pub gateway_incarnation: Incarnation,
}

/// Content of [`Body::AttemptFence`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptFence {
    /// Call that is fenced.
    pub call: CallKey,
    /// Number of the attempt, which never runs.
    pub number: u32,
    /// Incarnation of the sidecar that promised this, or of the gateway that gave up the right to
    /// dispatch the attempt.
    pub by: Incarnation,
}

/// Content of [`Body::AttemptOutcome`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptOutcome {
    /// Call that ended.
    pub call: CallKey,
    /// Number of the attempt that ended it.
    pub number: u32,
    /// Answer of the upstream, `None` if it is unknown whether the attempt ran.
    pub answer: Option<Answer>,
}

/// Stored answer of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type, if the upstream named one.
    pub content_type: Option<Box<str>>,
    /// Body, `None` if it was too large to be stored, was evicted later, or is not text.
    pub body: Option<Box<str>>,
}

impl Answer {
    /// Size of the stored body in bytes.
    pub fn size(&self) -> usize {
        self.body.as_ref().map_or(0, |body| body.len())
    }
}

/// Content of [`Body::OrderIntent`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Identity of the order: a repeat under the same identity has no further effect.
    pub order: RecordId,
    /// Fencing number of the planner lease under which it is announced.
    pub epoch: Epoch,
    /// Change that is ordered.
    pub command: OrderCommand,
}

/// Change that the planner orders from an engine or from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderCommand {
    /// Changes the role of an engine.
    SetRole {
        /// Engine that changes its role.
        upstream: Box<str>,
        /// Role from then on.
        role: EngineRole,
    },
    /// Loads a version of a model.
    LoadModel {
        /// Engine that loads it.
        upstream: Box<str>,
        /// Name of the model.
        model: Box<str>,
        /// Version of the model.
        version: Box<str>,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Engine that loads it.
        upstream: Box<str>,
        /// Name of the adapter.
        adapter: Box<str>,
    },
    /// Requests a new upstream from the platform.
    AddUpstream {
        /// Failure domain in which it is to run.
        failure_domain: Box<str>,
        /// Model or service that it is to serve.
        serves: Box<str>,
    },
    /// Returns an upstream to the platform.
    RemoveUpstream {
        /// Upstream that is returned.
        upstream: Box<str>,
    },
}

/// Phases of inference that an engine runs.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Runs prefill and decode.
    #[default]
    Mixed,
    /// Runs prefill only; the KV cache is handed over to another engine afterwards.
    Prefill,
    /// Runs decode only.
    Decode,
}

impl OrderCommand {
    /// Upstream that the order is for, `None` for an order that adds one.
    pub fn upstream(&self) -> Option<&str> {
        match self {
            Self::SetRole { upstream, .. }
            | Self::LoadModel { upstream, .. }
            | Self::LoadAdapter { upstream, .. }
            | Self::RemoveUpstream { upstream } => Some(upstream),
            Self::AddUpstream { .. } => None,
        }
    }

    /// Whether the two orders must not be outstanding at the same time: they are for the same
    /// upstream, or both add one for the same service in the same failure domain.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        match (self.upstream(), other.upstream()) {
            (Some(a), Some(b)) => a == b,
            (None, None) => self == other,
            _ => false,
        }
    }
}

impl fmt::Display for OrderCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SetRole { upstream, role } => write!(f, "set role of {upstream} to {role}"),
            Self::LoadModel {
                upstream,
                model,
                version,
            } => write!(f, "load {model} {version} on {upstream}"),
            Self::LoadAdapter { upstream, adapter } => {
                write!(f, "load adapter {adapter} on {upstream}")
            }
            Self::AddUpstream {
                failure_domain,
                serves,
            } => write!(f, "add upstream for {serves} in {failure_domain}"),
            Self::RemoveUpstream { upstream } => write!(f, "remove {upstream}"),
        }
    }
}

/// Content of [`Body::OrderDone`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderDone {
    /// Identity of the order that ended.
    pub order: RecordId,
    /// Fencing number under which it was last sent: a former lease holder cannot end an order that
    /// its successor has sent again.
    pub epoch: Epoch,
    /// Whether it took effect.
    pub applied: bool,
    /// Detail for the audit trail, as the engine or the platform answered it.
    pub note: Box<str>,
}

/// Content of [`Body::UsageCounts`]. Counts are cumulative: the next record includes those of a
/// lost one, and a repeated record changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Incarnation of the gateway that counted.
    pub gateway: Incarnation,
    /// Sequence number of the record within that incarnation, from 1.
    pub seq: u64,
    /// Totals by window, then by client account. If a window is missing while a later one is
    /// present, an earlier accepted record has the final totals of that window.
    pub windows: BTreeMap<WindowId, BTreeMap<Box<str>, Usage>>,
}

/// Usage of one client account.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of calls that were answered.
    pub calls: u64,
    /// Number of prompt tokens of these calls.
    pub prompt_tokens: u64,
    /// Number of generated tokens that were delivered.
    pub completion_tokens: u64,
}

impl Usage {
    /// Adds field by field; a sum that overflows becomes [`u64::MAX`].
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            calls: self.calls.saturating_add(other.calls),
            prompt_tokens: self.prompt_tokens.saturating_add(other.prompt_tokens),
            completion_tokens: self
                .completion_tokens
                .saturating_add(other.completion_tokens),
        }
    }

    /// Subtracts field by field. Returns `None` if a field of `other` is larger.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        Some(Self {
            calls: self.calls.checked_sub(other.calls)?,
            prompt_tokens: self.prompt_tokens.checked_sub(other.prompt_tokens)?,
            completion_tokens: self
                .completion_tokens
                .checked_sub(other.completion_tokens)?,
        })
    }
}

/// Content of [`Body::WindowSeal`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowSeal {
    /// Window that is sealed. Its usage results from the log below this record.
    pub window: WindowId,
    /// Fencing number of the reporter lease under which it is sealed.
    pub epoch: Epoch,
}

/// Content of [`Body::WindowReported`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowReported {
    /// Window whose report the platform accepted.
    pub window: WindowId,
}

/// Content of [`Body::CrashReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Upstream that crashed.
    pub upstream: Box<str>,
    /// Identity of the crash, the same in every report of it.
    pub crash: Incarnation,
    /// Fingerprints of the requests that were running on the upstream.
    pub running: Vec<Fingerprint>,
}

/// Content of [`Body::QuarantineClear`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineClear {
    /// Fingerprint of the request that is cleared.
    pub fingerprint: Fingerprint,
}

/// Content of [`Body::ExclusiveRun`]. The lock also ends when the request is cleared or crashes an
/// upstream again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExclusiveRun {
    /// Fingerprint of the suspect request.
    pub fingerprint: Fingerprint,
    /// Incarnation of the gateway that runs it.
    pub gateway: Incarnation,
    /// Last accepted record that took the lock, if any. Not checked when the lock is released.
    pub prev: Option<Offset>,
    /// Time after which another gateway may take the lock, in milliseconds.
    pub ttl_ms: u64,
    /// Whether the lock is taken (`true`) or released (`false`).
    pub taken: bool,
}

/// Content of [`Body::DrainRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Instance that is to drain.
    pub instance: Box<str>,
}

/// Content of [`Body::SnapshotMark`]. Every replica hashes its state right after it applied this
/// record, and later compares the hash with the digest that the parts carry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Fencing number of the snapshot lease under which the snapshot is written.
    pub epoch: Epoch,
}

/// Content of [`Body::SnapshotPart`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The snapshot contains the effect of all records below this offset.
    pub as_of: Offset,
    /// Fencing number of the snapshot lease under which it is written.
    pub epoch: Epoch,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// Hash of the text of all parts together.
    pub digest: Fingerprint,
    /// Text of this part.
    pub text: Box<str>,
}
