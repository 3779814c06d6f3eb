use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::{Epoch, Fingerprint, Offset};
use crate::record::{SnapshotMark, SnapshotPart};

/// Progress of the snapshot that is being written to the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshots {
    mark: Option<Mark>,
    complete: Option<Offset>,
}

/// Snapshot of which parts may follow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Mark {
    as_of: Offset,
    epoch: Epoch,
    /// Digest and number of parts, known from the first part on.
    content: Option<(Fingerprint, u32)>,
    next_part: u32,
}

impl Snapshots {
    /// Offset as of which the last complete snapshot was written.
    pub fn complete(&self) -> Option<Offset> {
        self.complete
    }

    /// Number of the part that may follow; after the last one, the number of parts.
    pub fn expected_part(&self) -> u32 {
        self.mark.as_ref().map_or(0, |mark| mark.next_part)
    }

    pub(super) fn mark(&mut self, offset: Offset, mark: &SnapshotMark) {
        self.mark = Some(Mark {
            as_of: offset.next(),
            epoch: mark.epoch,
            content: None,
            next_part: 0,
        });
    }

    pub(super) fn part(&mut self, part: &SnapshotPart) -> Result<(), Reason> {
        let mark = self.mark.as_mut().ok_or(Reason::Unknown)?;
        if mark.as_of != part.as_of || mark.epoch != part.epoch {
            return Err(Reason::Unknown);
        }
        let content = (part.digest, part.parts);
        if mark.next_part != part.part || *mark.content.get_or_insert(content) != content {
            return Err(Reason::Overtaken);
        }
        mark.next_part += 1;
        if mark.next_part == part.parts {
            self.complete = Some(part.as_of);
        }
        Ok(())
    }
}
