//! Deterministic replay of the log into state.
//!
//! Every replica that applies the same records has the same state and has accepted and rejected
//! the same records. Nothing here depends on a clock, a random number or the order of a hash map.
//!
//! ```
//! use nutmegbay_core::ids::{Offset, RecordId};
//! use nutmegbay_core::record::{Body, ConfigPublish, ConfigScope, Record, SCHEMA};
//! use nutmegbay_core::replica::{Applied, Reason, Replica};
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
//! // The second of two operators that publish over the same version is refused by every replica.
//! let second = replica.apply(Offset(1), &publish(2, None));
//! assert_eq!(second.reason(), Some(Reason::Overtaken));
//!
//! // A record that does not parse is skipped, as it is on every other replica.
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
mod seen;
mod snapshots;
mod usage;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::ids::{Epoch, Offset, RecordId};
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, LeaseRole, Record, SCHEMA};

pub use attempts::{Attempts, CallState, Phase};
pub use audit::{Audit, AuditEntry};
pub use config::{Config, Published};
pub use drains::Drains;
pub use keys::{KeyFault, KeyRef, KeyState, Keys};
pub use leases::{LeaseState, Leases};
pub use orders::{Finished, Orders, Outstanding};
pub use quarantine::{ExclusiveLock, Quarantine, Suspect};
pub use seen::Seen;
pub use snapshots::Snapshots;
pub use usage::{Figures, Sealed, UsageLedger};

/// State that results from the log below [`Replica::next`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    next: Offset,
    unreadable: u64,
    #[serde(default)]
    newer: Option<Offset>,
    seen: Seen,
    leases: Leases,
    config: Config,
    keys: Keys,
    usage: UsageLedger,
    orders: Orders,
    attempts: Attempts,
    quarantine: Quarantine,
    drains: Drains,
    snapshots: Snapshots,
    audit: Audit,
    #[serde(skip)]
    mutations: Mutations,
}

impl Replica {
    /// State before the first record of the log.
    pub fn new() -> Self {
        Self::default()
    }

    /// A replica with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Applies the record at `offset`, which must be [`Self::next`] to have an effect.
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
            let why = format!("schema version {} is not known", record.schema);
            return self.skip(offset, raw_json, why.into());
        }
        if !self.seen.insert(record.id) {
            return Applied::Duplicate(record.id);
        }
        let verdict = self.dispatch(offset, &record);
        self.audit.note(offset, &record, verdict.err());
        match verdict {
            Ok(()) => Applied::Accepted(Box::new(record)),
            Err(reason) => Applied::Rejected(Box::new(record), reason),
        }
    }

    fn skip(&mut self, offset: Offset, raw_json: &str, why: Box<str>) -> Applied {
        self.unreadable += 1;
        let head = serde_json::from_str::<Head>(raw_json);
        if self.newer.is_none() && head.is_ok_and(|head| head.schema > SCHEMA) {
            self.newer = Some(offset);
        }
        Applied::Unreadable(why)
    }

    fn dispatch(&mut self, offset: Offset, record: &Record) -> Result<(), Reason> {
        let author = &*record.author;
        match &record.body {
            Body::LeaseClaim(claim) => {
                let any_prev = self.mutations.has(Mutation::ClaimWithoutPrev);
                self.leases.claim(offset, claim, any_prev)
            }
            Body::LeaseRenew(change) => self.leases.renew(offset, author, change),
            Body::LeaseRelease(change) => self.leases.release(offset, author, change),
            Body::ConfigPublish(publish) => {
                let any_prev = self.mutations.has(Mutation::PublishWithoutPrev);
                self.config.publish(offset, publish, any_prev)
            }
            Body::KeyGrant(grant) => self.keys.grant(offset, grant),
            Body::KeyWithdraw(withdraw) => self.keys.withdraw(offset, withdraw),
            Body::OrderIntent(intent) => {
                self.require(LeaseRole::Planner, intent.epoch)?;
                let unchecked = self.mutations.has(Mutation::IntentWithoutCheck);
                self.orders.intend(offset, intent, unchecked)
            }
            Body::OrderDone(done) => {
                self.require(LeaseRole::Planner, done.epoch)?;
                self.orders.done(offset, done)
            }
            Body::UsageCounts(counts) => {
                let recount = self.mutations.has(Mutation::RecountOnRepeat);
                self.usage.count(offset, counts, recount)
            }
            Body::WindowSeal(seal) => {
                self.require(LeaseRole::Reporter, seal.epoch)?;
                self.usage.seal(offset, seal)
            }
            Body::WindowReported(reported) => self.usage.reported(offset, reported),
            Body::DrainRequest(drain) => {
                self.drains.request(offset, drain);
                Ok(())
            }
            Body::SnapshotMark(mark) => {
                self.require(LeaseRole::Snapshot, mark.epoch)?;
                self.snapshots.mark(offset, mark);
                Ok(())
            }
            Body::SnapshotPart(part) => {
                self.require(LeaseRole::Snapshot, part.epoch)?;
                self.snapshots.part(part)
            }
            Body::AttemptOpen(open) => {
                let any_prev = self.mutations.has(Mutation::OpenWithoutPrev);
                self.attempts.open(offset, open, any_prev)
            }
            Body::AttemptFence(fence) => self.attempts.fence(offset, fence),
            Body::AttemptOutcome(outcome) => self.attempts.outcome(outcome),
            Body::CrashReport(report) => self.quarantine.crash(offset, report),
            Body::QuarantineClear(clear) => self.quarantine.clear(clear),
            Body::ExclusiveRun(run) => {
                let any_prev = self.mutations.has(Mutation::LockWithoutPrev);
                self.quarantine.exclusive(offset, run, any_prev)
            }
        }
    }

    /// Accepts a record only under the fencing number that is current at its place in the log.
    fn require(&self, role: LeaseRole, epoch: Epoch) -> Result<(), Reason> {
        let is_current = self.leases.current(role) == Some(epoch);
        let is_accepted = is_current || self.mutations.has(Mutation::AnyEpoch);
        is_accepted.then_some(()).ok_or(Reason::OldEpoch)
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// First record of a newer schema. A newer build may have accepted it, so this state may differ
    /// from that of newer builds from here on.
    pub fn newer(&self) -> Option<Offset> {
        self.newer
    }

    /// Number of records that were skipped because they did not parse.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Whether the record with this identity was read, as far back as identities are kept.
    pub fn has_seen(&self, id: RecordId) -> bool {
        self.seen.contains(id)
    }

    /// Leases by role.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Keys of client accounts.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Usage counts, seals and reports.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Orders to engines and the platform.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Non-idempotent calls.
    pub fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    /// Requests that were running when upstreams crashed.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Instances that were asked to drain.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Snapshots in the log.
    pub fn snapshots(&self) -> &Snapshots {
        &self.snapshots
    }

    /// Recent changes with author and verdict.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }
}

/// What replay did with a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// It changed the state.
    Accepted(Box<Record>),
    /// It was well-formed but not valid at its place in the log.
    Rejected(Box<Record>, Reason),
    /// A record with this identity came before.
    Duplicate(RecordId),
    /// It does not parse, for the given reason, and was skipped.
    Unreadable(Box<str>),
    /// It was applied before; nothing changed.
    Stale,
    /// Records before it are missing; nothing changed.
    Gap,
}

impl Applied {
    /// Whether the record changed the state.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted(_))
    }

    /// Why the record was rejected, if it was.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Rejected(_, reason) => Some(*reason),
            _ => None,
        }
    }
}

/// Why replay rejected a record.
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
pub enum Reason {
    /// Another record came between this one and the one that it names in `prev`.
    Overtaken,
    /// It was written under a fencing number that is not current.
    OldEpoch,
    /// The author does not hold the lease.
    NotHolder,
    /// The name is not valid.
    InvalidName,
    /// The digest is not SHA-256 in hexadecimal.
    InvalidDigest,
    /// It was granted, given or taken before.
    Exists,
    /// It refers to something that replay does not know.
    Unknown,
    /// The key was withdrawn before.
    Withdrawn,
    /// The engine has an order whose end is not known yet.
    OrderOutstanding,
    /// A newer record of the same counter came before.
    OldSequence,
    /// A cumulative count is lower than before.
    CountDecreased,
    /// The window is sealed.
    WindowSealed,
    /// An earlier window has counts and is not sealed.
    EarlierWindowOpen,
    /// The window is not sealed.
    WindowOpen,
    /// The idempotency key was used before with other content.
    OtherContent,
}

/// The part of a record that every schema has.
#[derive(Deserialize)]
struct Head {
    schema: u16,
}
