use crate::ids::{Epoch, Offset};
use crate::record::{Body, LeaseRole, Record};

/// Maximum number of lease records that are kept while it is unknown which of them replay accepted.
/// The holder renews every second, so the second renewal in a row decides it.
const MAX_UNDECIDED: usize = 64;

/// Decides whether the fencing number of an order is current.
///
/// A sidecar has no replica. It reads a contiguous range of the log and derives from its lease
/// records which one replay accepted last. A process names in `prev` only a record that its own
/// replica has accepted. So a record whose `prev` is in the range proves that the named record was
/// accepted, and from there on the range can be replayed exactly.
#[derive(Debug, Default)]
pub struct OrderFencing {
    highest: Epoch,
    head_at_start: Option<Offset>,
    next: Option<Offset>,
    lease: ObservedLease,
}

/// Why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefused {
    /// The fencing number of the order is below the highest one that was accepted or in force.
    Old {
        /// Lowest fencing number that may be accepted.
        lowest: Epoch,
    },
    /// The sidecar does not know yet who holds the planner lease.
    NotConfirmed,
}

impl std::fmt::Display for OrderRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Old { lowest } => write!(f, "the fencing number is below {lowest}"),
            Self::NotConfirmed => f.write_str(
                "the sidecar has not determined since its start which planner lease is in force",
            ),
        }
    }
}

impl std::error::Error for OrderRefused {}

#[derive(Debug)]
enum ObservedLease {
    /// No record is known to be accepted. Contains the records read so far.
    Undecided(Vec<(Offset, LeaseRecord)>),
    /// The last accepted record is known. `None` if there was none since the start of the log.
    Known(Option<CurrentLease>),
}

#[derive(Debug, Clone)]
struct CurrentLease {
    last: Offset,
    epoch: Epoch,
    holder: Box<str>,
    released: bool,
}

#[derive(Debug, Clone)]
struct LeaseRecord {
    author: Box<str>,
    prev: Option<Offset>,
    kind: LeaseRecordKind,
}

#[derive(Debug, Clone)]
enum LeaseRecordKind {
    Claim { holder: Box<str> },
    Renew(Epoch),
    Release(Epoch),
}

impl Default for ObservedLease {
    fn default() -> Self {
        Self::Undecided(Vec::new())
    }
}

impl OrderFencing {
    /// Creates a state that has read nothing and refuses every order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the offset after the last record, from a read that began after the start of this
    /// process. Only the first call has an effect.
    pub fn set_head(&mut self, head: Offset) {
        self.head_at_start.get_or_insert(head);
    }

    /// Returns the offset of the next record to read, `None` before the first.
    pub fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Processes the record at `offset`, `None` if it does not parse. Records that were read before
    /// are ignored. After a gap the lease is undetermined again.
    pub fn observe(&mut self, offset: Offset, record: Option<&Record>) {
        match self.next {
            Some(next) if offset < next => return,
            Some(next) if offset == next => {}
            // No lease record precedes the first offset of the log, so the state is known.
            _ if offset == Offset(0) => self.lease = ObservedLease::Known(None),
            _ => self.lease = ObservedLease::default(),
        }
        self.next = Some(offset.next());
        if let Some(change) = record.and_then(lease_record) {
            self.lease.apply(offset, change);
            self.raise_highest();
        }
    }

    /// Handles that no record is missing between the last one read and `head`.
    pub fn reached(&mut self, head: Offset) {
        if self.next.is_none() && head == Offset(0) {
            self.next = Some(head);
            self.lease = ObservedLease::Known(None);
        }
    }

    /// Returns whether orders can be checked: the log was read up to the head at the start, and the
    /// last accepted lease record, or that there is none, is known.
    pub fn is_confirmed(&self) -> bool {
        let reached_head = match (self.next, self.head_at_start) {
            (Some(next), Some(head)) => next >= head,
            _ => false,
        };
        reached_head && matches!(self.lease, ObservedLease::Known(_))
    }

    /// Returns the highest fencing number that was accepted or found in force.
    pub fn highest(&self) -> Epoch {
        self.highest
    }

    /// Accepts or refuses an order under `epoch`. The number of an accepted order becomes the
    /// highest.
    pub fn check(&mut self, epoch: Epoch) -> Result<(), OrderRefused> {
        if epoch < self.highest {
            return Err(OrderRefused::Old {
                lowest: self.highest,
            });
        }
        if !self.is_confirmed() {
            return Err(OrderRefused::NotConfirmed);
        }
        self.highest = epoch;
        Ok(())
    }

    /// An accepted claim refuses all earlier fencing numbers. A release refuses the released number
    /// too.
    fn raise_highest(&mut self) {
        if let ObservedLease::Known(Some(held)) = &self.lease {
            let lowest = if held.released {
                Epoch(held.last.0)
            } else {
                held.epoch
            };
            self.highest = self.highest.max(lowest);
        }
    }
}

impl ObservedLease {
    fn apply(&mut self, offset: Offset, change: LeaseRecord) {
        match self {
            Self::Known(held) => replay(held, offset, change),
            Self::Undecided(records) => {
                records.push((offset, change));
                if let Some(held) = replay_from_accepted(records) {
                    *self = Self::Known(Some(held));
                } else if records.len() > MAX_UNDECIDED {
                    records.remove(0);
                }
            }
        }
    }
}

/// Finds a record that the newest record names as accepted, and replays from there.
fn replay_from_accepted(records: &[(Offset, LeaseRecord)]) -> Option<CurrentLease> {
    let prev = records.last()?.1.prev?;
    let place = records.iter().position(|(offset, _)| *offset == prev)?;
    let (offset, change) = &records[place];
    let (epoch, holder, released) = match &change.kind {
        LeaseRecordKind::Claim { holder } => (Epoch::from(*offset), holder, false),
        LeaseRecordKind::Renew(epoch) => (*epoch, &change.author, false),
        LeaseRecordKind::Release(epoch) => (*epoch, &change.author, true),
    };
    let mut held = Some(CurrentLease {
        last: *offset,
        epoch,
        holder: holder.clone(),
        released,
    });
    for (offset, change) in &records[place + 1..] {
        replay(&mut held, *offset, change.clone());
    }
    held
}

/// Applies the same rules as the lease state of the replica.
fn replay(held: &mut Option<CurrentLease>, offset: Offset, change: LeaseRecord) {
    if change.prev != held.as_ref().map(|held| held.last) {
        return;
    }
    match (change.kind, held) {
        (LeaseRecordKind::Claim { holder }, held) => {
            *held = Some(CurrentLease {
                last: offset,
                epoch: offset.into(),
                holder,
                released: false,
            });
        }
        (LeaseRecordKind::Renew(epoch), Some(held)) if held.is_held(epoch, &change.author) => {
            held.last = offset;
        }
        (LeaseRecordKind::Release(epoch), Some(held)) if held.is_held(epoch, &change.author) => {
            held.last = offset;
            held.released = true;
        }
        _ => {}
    }
}

impl CurrentLease {
    fn is_held(&self, epoch: Epoch, author: &str) -> bool {
        !self.released && self.epoch == epoch && &*self.holder == author
    }
}

fn lease_record(record: &Record) -> Option<LeaseRecord> {
    let author = record.author.clone();
    let (prev, kind) = match &record.body {
        Body::LeaseClaim(claim) if claim.role == LeaseRole::Planner => {
            let holder = claim.holder.clone();
            (claim.prev, LeaseRecordKind::Claim { holder })
        }
        Body::LeaseRenew(change) if change.role == LeaseRole::Planner => {
            (Some(change.prev), LeaseRecordKind::Renew(change.epoch))
        }
        Body::LeaseRelease(change) if change.role == LeaseRole::Planner => {
            (Some(change.prev), LeaseRecordKind::Release(change.epoch))
        }
        _ => return None,
    };
    Some(LeaseRecord { author, prev, kind })
}
