//! Records that the system keeps in the platform's log.
//!
//! Replay is the only judge of a record: every replica reads the same order and accepts or
//! rejects the same records. A record that claims something names in `prev` the offset of the
//! record it follows and is rejected if another one came between.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::{CallKey, Epoch, Fingerprint, Incarnation, Offset, RecordId, WindowId};

/// Version of the record format written by this build.
pub const SCHEMA: u16 = 1;

/// One record with its author.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Identity: a second record with the same one is dropped.
    pub id: RecordId,
    /// Operator or instance that wrote it.
    pub author: Box<str>,
    /// Wall-clock time of writing in milliseconds since 1970, for the audit trail only.
    pub at_ms: u64,
    /// Format version of `body`.
    pub schema: u16,
    /// Content.
    pub body: Body,
}

/// Content of a [`Record`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Body {
    /// Takes a lease.
    LeaseClaim(LeaseClaim),
    /// Extends a lease that the author holds.
    LeaseRenew(LeaseChange),
    /// Gives a lease back on a planned stop.
    LeaseRelease(LeaseChange),
    /// Replaces the base configuration or an overlay.
    ConfigPublish(ConfigPublish),
    /// Creates a key for a client account.
    KeyGrant(KeyGrant),
    /// Withdraws a key for good.
    KeyWithdraw(KeyWithdraw),
    /// Opens an attempt of a non-idempotent call.
    AttemptOpen(AttemptOpen),
    /// Records that a sidecar promised never to run an attempt.
    AttemptFence(AttemptFence),
    /// Records how an attempt ended.
    AttemptOutcome(AttemptOutcome),
    /// Announces an order before it is sent.
    OrderIntent(OrderIntent),
    /// Records how an order ended.
    OrderDone(OrderDone),
    /// Cumulative usage counts of one gateway incarnation.
    UsageCounts(UsageCounts),
    /// Fixes the figures of a usage window.
    WindowSeal(WindowSeal),
    /// Records that the platform took the report of a window.
    WindowReported(WindowReported),
    /// Names the requests that were running when an upstream crashed.
    CrashReport(CrashReport),
    /// Records that a suspect request finished without a crash, or that an operator cleared it.
    QuarantineClear(QuarantineClear),
    /// Takes or gives back the right to run one suspect request alone.
    ExclusiveRun(ExclusiveRun),
    /// Asks an instance to drain.
    DrainRequest(DrainRequest),
    /// Fixes the offset as of which the next snapshot is written.
    SnapshotMark(SnapshotMark),
    /// One part of a snapshot.
    SnapshotPart(SnapshotPart),
}

/// What a lease gives authority over.
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
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Last accepted lease record of this role that the claimant saw, if any.
    pub prev: Option<Offset>,
    /// Lease length in milliseconds.
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
    /// What is replaced.
    pub scope: ConfigScope,
    /// Last accepted configuration record of any scope, if any.
    pub prev: Option<Offset>,
    /// Full text: JSON with comments.
    pub text: Box<str>,
}

/// Part of the configuration that a publish replaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigScope {
    /// Base for all sites.
    Base,
    /// Overlay of the named site.
    Overlay(Box<str>),
}

/// Content of [`Body::KeyGrant`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyGrant {
    /// Public part of the key.
    pub key: Box<str>,
    /// Client account that the key acts for.
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
    /// Record that closed the previous attempt, none for the first.
    pub prev: Option<Offset>,
    /// Hash of method, path and body: a reused idempotency key with other content is refused.
    pub content: Fingerprint,
    /// Upstream that is to run it.
    pub upstream: Box<str>,
    /// Life of the sidecar that is to run it; another life never does.
    pub sidecar: Incarnation,
    /// Gateway that may dispatch it.
    pub gateway: Box<str>,
    /// Life of that gateway.
    pub gateway_incarnation: Incarnation,
}

/// Content of [`Body::AttemptFence`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptFence {
    /// Call that is fenced.
    pub call: CallKey,
    /// Attempt that will never run.
    pub number: u32,
    /// Life of the sidecar that promised it, or of the gateway that gave up its right to dispatch.
    pub by: Incarnation,
}

/// Content of [`Body::AttemptOutcome`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptOutcome {
    /// Call that ended.
    pub call: CallKey,
    /// Attempt that ended it.
    pub number: u32,
    /// Answer of the upstream, or none where the sidecar cannot know it.
    pub answer: Option<Answer>,
}

/// Stored answer of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Option<Box<str>>,
    /// Body as text, or none if it was too large to keep or not text.
    pub body: Option<Box<str>>,
}

impl Answer {
    /// Bytes of the body.
    pub fn size(&self) -> usize {
        self.body.as_ref().map_or(0, |body| body.len())
    }
}

/// Content of [`Body::OrderIntent`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Identity of the order: a repeat under it has no further effect.
    pub order: RecordId,
    /// Authority under which it is given.
    pub epoch: Epoch,
    /// What is ordered.
    pub command: OrderCommand,
}

/// Order to an engine or to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderCommand {
    /// Changes the role of an engine.
    SetRole {
        /// Engine that changes.
        upstream: Box<str>,
        /// New role.
        role: EngineRole,
    },
    /// Loads a model version.
    LoadModel {
        /// Engine that loads it.
        upstream: Box<str>,
        /// Model name.
        model: Box<str>,
        /// Version.
        version: Box<str>,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Engine that loads it.
        upstream: Box<str>,
        /// Adapter name.
        adapter: Box<str>,
    },
    /// Orders a new upstream from the platform.
    AddUpstream {
        /// Failure domain in which it is to run.
        failure_domain: Box<str>,
        /// Model or service that it is for.
        serves: Box<str>,
    },
    /// Gives an upstream back to the platform.
    RemoveUpstream {
        /// Upstream that is given back.
        upstream: Box<str>,
    },
}

/// Share of the work that an engine takes.
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
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only: the cache is handed over afterwards.
    Prefill,
    /// Decode only.
    Decode,
}

impl OrderCommand {
    /// Engine or service that the order is for, none if it adds one.
    pub fn upstream(&self) -> Option<&str> {
        match self {
            Self::SetRole { upstream, .. }
            | Self::LoadModel { upstream, .. }
            | Self::LoadAdapter { upstream, .. }
            | Self::RemoveUpstream { upstream } => Some(upstream),
            Self::AddUpstream { .. } => None,
        }
    }

    /// Whether both may not be outstanding at once: they are for the same upstream, or both add one
    /// for the same service in the same failure domain.
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
    /// Order that ended.
    pub order: RecordId,
    /// Authority under which it was last sent: a former holder cannot end an order that its
    /// successor has sent again.
    pub epoch: Epoch,
    /// Whether it took effect.
    pub applied: bool,
    /// Detail for the audit trail.
    pub note: Box<str>,
}

/// Content of [`Body::UsageCounts`]. Counts are cumulative, so that a lost record is made good by
/// the next and a repeated one changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Life of the gateway that counted.
    pub gateway: Incarnation,
    /// Sequence number within that life.
    pub seq: u64,
    /// Totals by window, then by client account. A window that is left out although a later one is
    /// not has its final total in an earlier accepted record.
    pub windows: BTreeMap<WindowId, BTreeMap<Box<str>, Usage>>,
}

/// Usage of one client account.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Calls answered.
    pub calls: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens delivered.
    pub completion_tokens: u64,
}

impl Usage {
    /// Sum, at most the largest number.
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

    /// Difference, none if a field of `other` is larger.
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
    /// Window whose figures are fixed by the log below this record.
    pub window: WindowId,
    /// Authority under which it is sealed.
    pub epoch: Epoch,
}

/// Content of [`Body::WindowReported`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowReported {
    /// Window whose report was taken.
    pub window: WindowId,
}

/// Content of [`Body::CrashReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Upstream that crashed.
    pub upstream: Box<str>,
    /// Identity of the crash, equal in every report of it.
    pub crash: Incarnation,
    /// Requests that were running.
    pub running: Vec<Fingerprint>,
}

/// Content of [`Body::QuarantineClear`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineClear {
    /// Request that is cleared.
    pub fingerprint: Fingerprint,
}

/// Content of [`Body::ExclusiveRun`]. The lock also ends when the request is cleared or crashes an
/// upstream again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExclusiveRun {
    /// Suspect request.
    pub fingerprint: Fingerprint,
    /// Life of the gateway that runs it.
    pub gateway: Incarnation,
    /// Last accepted record that took the lock, if any; not checked when it is given back.
    pub prev: Option<Offset>,
    /// Time after which another gateway may take the lock, in milliseconds.
    pub ttl_ms: u64,
    /// Whether the lock is taken or given back.
    pub taken: bool,
}

/// Content of [`Body::DrainRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Instance that is to drain.
    pub instance: Box<str>,
}

/// Content of [`Body::SnapshotMark`]. Every replica hashes its state right after applying this
/// record and later compares the digest of the parts with it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Authority under which the snapshot is written.
    pub epoch: Epoch,
}

/// Content of [`Body::SnapshotPart`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The snapshot holds the effect of all records below this offset.
    pub as_of: Offset,
    /// Authority under which it is written.
    pub epoch: Epoch,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Hash of the whole text.
    pub digest: Fingerprint,
    /// This part of the text.
    pub text: Box<str>,
}
