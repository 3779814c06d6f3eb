use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::RecordId;

/// Identities that are remembered. At 1,000 records/s this covers 16 s, longer than an append is
/// waited for; past that, `prev` chains, sequence numbers and order identities reject a repeat.
const KEPT: usize = 16_384;

/// Identities of recent records, so that a repeated append has no effect.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "VecDeque<RecordId>", into = "VecDeque<RecordId>")]
pub struct Seen {
    order: VecDeque<RecordId>,
    set: HashSet<RecordId>,
}

impl Seen {
    /// Whether the identity is among those remembered.
    pub fn contains(&self, id: RecordId) -> bool {
        self.set.contains(&id)
    }

    /// Remembers an identity and returns whether it is new.
    pub(super) fn insert(&mut self, id: RecordId) -> bool {
        if !self.set.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > KEPT {
            let oldest = self.order.pop_front();
            oldest.map(|id| self.set.remove(&id));
        }
        true
    }
}

impl PartialEq for Seen {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl From<VecDeque<RecordId>> for Seen {
    fn from(order: VecDeque<RecordId>) -> Self {
        let set = order.iter().copied().collect();
        Self { order, set }
    }
}

impl From<Seen> for VecDeque<RecordId> {
    fn from(seen: Seen) -> Self {
        seen.order
    }
}
