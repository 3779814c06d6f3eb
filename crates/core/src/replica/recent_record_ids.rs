use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::RecordId;

/// Number of identities that are kept. At 1,000 records/s they cover 16 s, longer than any append
/// is waited for. Later repeats are rejected by `prev` offsets, sequence numbers and order
/// identities.
const MAX_IDS: usize = 16_384;

/// Identities of the most recent records, so that a repeated append has no effect.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "VecDeque<RecordId>", into = "VecDeque<RecordId>")]
pub struct RecentRecordIds {
    order: VecDeque<RecordId>,
    set: HashSet<RecordId>,
}

impl RecentRecordIds {
    /// Whether the identity is one of those that are kept.
    pub fn contains(&self, id: RecordId) -> bool {
        self.set.contains(&id)
    }

    /// Adds an identity and returns whether it is new. Drops the oldest beyond the maximum number.
    pub(super) fn insert(&mut self, id: RecordId) -> bool {
        if !self.set.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_IDS {
            let oldest = self.order.pop_front();
            oldest.map(|id| self.set.remove(&id));
        }
        true
    }
}

impl PartialEq for RecentRecordIds {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl From<VecDeque<RecordId>> for RecentRecordIds {
    fn from(order: VecDeque<RecordId>) -> Self {
        let set = order.iter().copied().collect();
        Self { order, set }
    }
}

impl From<RecentRecordIds> for VecDeque<RecordId> {
    fn from(ids: RecentRecordIds) -> Self {
        ids.order
    }
}
