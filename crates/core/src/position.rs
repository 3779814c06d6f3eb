//! Positions in a topic of a store that may be restored from a copy.

use serde::{Deserialize, Serialize};

/// Position of a record in a topic: its offset, and the era of the store in which it was read.
///
/// A store that is restored from a copy begins a new era and assigns the offsets after the copy
/// again, so an offset identifies a record only within its era. All positions of an era are after
/// those of earlier eras.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Offset within the topic.
    pub offset: u64,
}

impl Position {
    /// Creates the position of `offset` in `era`.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position after this one, or this one if it is the last.
    #[must_use]
    pub fn next(self) -> Self {
        Self::new(self.era, self.offset.saturating_add(1))
    }
}

impl From<(u64, u64)> for Position {
    fn from((era, offset): (u64, u64)) -> Self {
        Self::new(era, offset)
    }
}

impl From<Position> for (u64, u64) {
    fn from(position: Position) -> Self {
        (position.era, position.offset)
    }
}
