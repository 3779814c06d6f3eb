//! Deterministic replay of the log into the state that all processes share.
//!
//! Every replica that applies the same records has the same state and has accepted and rejected
//! the same records. Nothing here depends on a clock, a random number or the order of a hash map.
//!
//! ```
//! use nutmegbay_core::ids::{Offset, RecordId};
//! use nutmegbay_core::record::{Body, ConfigPublish, ConfigScope, Record, SCHEMA};
//! use nutmegbay_core::replica::{Applied, RejectReason, Replica};
//!
//! let publish = |id, prev| {
//!     let body = Body::ConfigPublish(ConfigPublish {
//!         scope: ConfigScope::Base,
//!         prev,
//!         text: "{}".into(),
//!     });
//!     let record = Record { id: RecordId(id), author: "ann".into(), at_ms: 0, schema: SCHEMA, body };
//!     serde_json::to_string(&record).unwrap()
//! };
//! let mut replica = Replica::new();
//! assert!(replica.apply(Offset(0), &publish(1, None)).is_accepted());
//!
//! // If two operators publish over the same version, every replica rejects the second record.
//! let second = replica.apply(Offset(1), &publish(2, None));
//! assert_eq!(second.reason(), Some(RejectReason::Overtaken));
//!
//! // Every replica skips a record that does not parse.
//! assert!(matches!(replica.apply(Offset(2), "{"), Applied::Unreadable(_)));
//! assert_eq!(replica.next(), Offset(3));
//! ```

mod attempts;
mod audit;
mod config;
mod drains;
mod keys;
mod leases;
mod orders;
mod quarantine;
mod recent_record_ids;
mod snapshots;
mod usage;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::ids::{Epoch, Offset, RecordId};
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, LeaseRole, Record, SCHEMA};

pub use attempts::{AttemptPhase, Attempts, CallState};
pub use audit::{AuditEntry, AuditTrail};
pub use config::{Config, PublishedText};
pub use drains::DrainRequests;
pub use keys::{KeyError, KeyState, Keys, VerifiedKey};
pub use leases::{LeaseState, Leases};
pub use orders::{Finished, Orders, OutstandingOrder};
pub use quarantine::{ExclusiveLock, Quarantine, Suspect};
pub use recent_record_ids::RecentRecordIds;
pub use snapshots::SnapshotProgress;
pub use usage::{SealedUsage, UsageLedger, WindowUsage};

/// State that results from the log below [`Replica::next`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    next: Offset,
    unreadable: u64,
    #[serde(rename = "newer", default)]
    first_newer_schema: Option<Offset>,
    #[serde(rename = "seen")]
    recent_record_ids: RecentRecordIds,
    leases: Leases,
    config: Config,
    keys: Keys,
    usage: UsageLedger,
    orders: Orders,
    attempts: Attempts,
    quarantine: Quarantine,
    drains: DrainRequests,
    snapshots: SnapshotProgress,
    audit: AuditTrail,
    #[serde(skip)]
    mutations: Mutations,
}

impl Replica {
    /// State before the first record of the log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Applies the JSON text of the record at `offset`. Has no effect unless `offset` is
    /// [`Self::next`].
    pub fn apply(&mut self, offset: Offset, raw_json: &str) -> Applied {
        if offset < self.next {
            return Applied::Stale;
        }
        if offset > self.next || offset.0 == u64::MAX {
            return Applied::Gap;
        }
        self.next = offset.next();
        let record: Record = match serde_json::from_str(raw_json) {
            Ok(record) => record,
            Err(e) => return self.skip(offset, raw_json, e.to_string().into()),
        };
        if record.schema != SCHEMA {
            let reason = format!("schema version {} is not known", record.schema);
            return self.skip(offset, raw_json, reason.into());
        }
        if !self.recent_record_ids.insert(record.id) {
            return Applied::Duplicate(record.id);
        }
        let verdict = self.dispatch(offset, &record);
        self.audit.add(offset, &record, verdict.err());
        match verdict {
            Ok(()) => Applied::Accepted(Box::new(record)),
            Err(reason) => Applied::Rejected(Box::new(record), reason),
        }
    }

    fn skip(&mut self, offset: Offset, raw_json: &str, reason: Box<str>) -> Applied {
        self.unreadable += 1;
        let header = serde_json::from_str::<RecordHeader>(raw_json);
        if self.first_newer_schema.is_none() && header.is_ok_and(|header| header.schema > SCHEMA) {
            self.first_newer_schema = Some(offset);
        }
        Applied::Unreadable(reason)
    }

    fn dispatch(&mut self, offset: Offset, record: &Record) -> Result<(), RejectReason> {
        let author = &*record.author;
        match &record.body {
            Body::LeaseClaim(claim) => {
                let ignore_prev = self.mutations.has(Mutation::ClaimWithoutPrev);
                self.leases.claim(offset, claim, ignore_prev)
            }
            Body::LeaseRenew(change) => self.leases.renew(offset, author, change),
            Body::LeaseRelease(change) => self.leases.release(offset, author, change),
            Body::ConfigPublish(publish) => {
                let ignore_prev = self.mutations.has(Mutation::PublishWithoutPrev);
                self.config.publish(offset, publish, ignore_prev)
            }
            Body::KeyGrant(grant) => self.keys.grant(offset, grant),
            Body::KeyWithdraw(withdraw) => self.keys.withdraw(offset, withdraw),
            Body::OrderIntent(intent) => {
                self.require_epoch(LeaseRole::Planner, intent.epoch)?;
                let allow_conflict = self.mutations.has(Mutation::IntentWithoutCheck);
                self.orders.add_intent(offset, intent, allow_conflict)
            }
            Body::OrderDone(done) => {
                self.require_epoch(LeaseRole::Planner, done.epoch)?;
                self.orders.finish(offset, done)
            }
            Body::UsageCounts(counts) => {
                let recount_totals = self.mutations.has(Mutation::RecountOnRepeat);
                self.usage.add_counts(offset, counts, recount_totals)
            }
            Body::WindowSeal(seal) => {
                self.require_epoch(LeaseRole::Reporter, seal.epoch)?;
                self.usage.seal(offset, seal)
            }
            Body::WindowReported(reported) => self.usage.mark_reported(offset, reported),
            Body::DrainRequest(drain) => {
                self.drains.request(offset, drain);
                Ok(())
            }
            Body::SnapshotMark(mark) => {
                self.require_epoch(LeaseRole::Snapshot, mark.epoch)?;
                self.snapshots.mark(offset, mark);
                Ok(())
            }
            Body::SnapshotPart(part) => {
                self.require_epoch(LeaseRole::Snapshot, part.epoch)?;
                self.snapshots.add_part(part)
            }
            Body::AttemptOpen(open) => {
                let ignore_prev = self.mutations.has(Mutation::OpenWithoutPrev);
                self.attempts.open(offset, open, ignore_prev)
            }
            Body::AttemptFence(fence) => self.attempts.fence(offset, fence),
            Body::AttemptOutcome(outcome) => self.attempts.add_outcome(outcome),
            Body::CrashReport(report) => self.quarantine.add_crash(offset, report),
            Body::QuarantineClear(clear) => self.quarantine.clear(clear),
            Body::ExclusiveRun(run) => {
                let ignore_prev = self.mutations.has(Mutation::LockWithoutPrev);
                self.quarantine.change_lock(offset, run, ignore_prev)
            }
        }
    }

    /// Rejects a record unless `epoch` is the current fencing number of the lease at its place in
    /// the log.
    fn require_epoch(&self, role: LeaseRole, epoch: Epoch) -> Result<(), RejectReason> {
        let is_current = self.leases.current(role) == Some(epoch);
        let is_accepted = is_current || self.mutations.has(Mutation::AnyEpoch);
        is_accepted.then_some(()).ok_or(RejectReason::OldEpoch)
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset of the first record with a newer schema version, if there is one. A newer build may
    /// have accepted it, so this state may differ from that of newer builds from there on.
    pub fn first_newer_schema(&self) -> Option<Offset> {
        self.first_newer_schema
    }

    /// Number of records that were skipped because they did not parse or have another schema
    /// version.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Whether a record with this identity was read, as far back as [`RecentRecordIds`] reaches.
    pub fn contains_record(&self, id: RecordId) -> bool {
        self.recent_record_ids.contains(id)
    }

    /// Last accepted state of each lease.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Last accepted base configuration and overlays.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Keys of client accounts.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Usage windows and their state.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Outstanding and recently finished orders to engines and the platform.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Non-idempotent calls with their latest attempt.
    pub fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    /// Requests that are suspected to crash upstreams.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Instances that were asked to drain.
    pub fn drains(&self) -> &DrainRequests {
        &self.drains
    }

    /// Progress of the snapshot in the log.
    pub fn snapshots(&self) -> &SnapshotProgress {
        &self.snapshots
    }

    /// Recent changes with their authors and whether they were accepted.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }
}

/// Result of [`Replica::apply`].
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The record was valid and changed the state.
    Accepted(Box<Record>),
    /// The record was well-formed but not valid at its place in the log.
    Rejected(Box<Record>, RejectReason),
    /// An earlier record has the same identity; this one was dropped.
    Duplicate(RecordId),
    /// The record was skipped, with the reason why it cannot be read.
    Unreadable(Box<str>),
    /// The offset was applied before; nothing changed.
    Stale,
    /// Records before this offset are missing; nothing changed.
    Gap,
}

impl Applied {
    /// Whether the record was accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted(_))
    }

    /// Reason of a rejection, `None` for every other result.
    pub fn reason(&self) -> Option<RejectReason> {
        match self {
            Self::Rejected(_, reason) => Some(*reason),
            _ => None,
        }
    }
}

/// Reason why replay rejects a record.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The record is based on an outdated state: another record came in between.
    Overtaken,
    /// The record carries a fencing number that is not current.
    OldEpoch,
    /// The author does not hold the lease, lock or attempt that the record changes.
    NotHolder,
    /// The key or account name is not valid.
    InvalidName,
    /// The digest of the secret is not SHA-256 in hexadecimal.
    InvalidDigest,
    /// The key, order, crash or report is already recorded.
    Exists,
    /// The record refers to something that does not exist in the state.
    Unknown,
    /// The key was withdrawn before.
    Withdrawn,
    /// A conflicting order is outstanding.
    OrderOutstanding,
    /// An accepted record of the same gateway incarnation has this sequence number or a higher one.
    OldSequence,
    /// A cumulative count is lower than in an earlier record.
    CountDecreased,
    /// The window is sealed.
    WindowSealed,
    /// An earlier window has counts and is not sealed.
    EarlierWindowOpen,
    /// The window is not sealed.
    WindowOpen,
    /// The idempotency key was used before for a call with other content.
    OtherContent,
}

/// Fields of a record that every schema version has.
#[derive(Deserialize)]
struct RecordHeader {
    schema: u16,
}
