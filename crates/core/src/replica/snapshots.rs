use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::{Epoch, Fingerprint, Offset};
use crate::record::{SnapshotMark, SnapshotPart};

/// Progress of the snapshot that is being written to the log, and the last complete one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    mark: Option<MarkedSnapshot>,
    complete: Option<Offset>,
}

/// Snapshot that was marked and whose parts are accepted in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct MarkedSnapshot {
    as_of: Offset,
    epoch: Epoch,
    /// Digest and number of parts, as named by the first part; `None` until that is accepted.
    content: Option<(Fingerprint, u32)>,
    next_part: u32,
}

impl SnapshotProgress {
    /// Offset as of which the last complete snapshot was taken.
    pub fn complete(&self) -> Option<Offset> {
        self.complete
    }

    /// Index of the next part that is accepted. After the last part, the number of parts.
    pub fn expected_part(&self) -> u32 {
        self.mark.as_ref().map_or(0, |mark| mark.next_part)
    }

    pub(super) fn mark(&mut self, offset: Offset, mark: &SnapshotMark) {
        self.mark = Some(MarkedSnapshot {
            as_of: offset.next(),
            epoch: mark.epoch,
            content: None,
            next_part: 0,
        });
    }

    pub(super) fn add_part(&mut self, part: &SnapshotPart) -> Result<(), RejectReason> {
        let mark = self.mark.as_mut().ok_or(RejectReason::Unknown)?;
        if mark.as_of != part.as_of || mark.epoch != part.epoch {
            return Err(RejectReason::Unknown);
        }
        let content = (part.digest, part.parts);
        if mark.next_part != part.part || *mark.content.get_or_insert(content) != content {
            return Err(RejectReason::Overtaken);
        }
        mark.next_part += 1;
        if mark.next_part == part.parts {
            self.complete = Some(part.as_of);
        }
        Ok(())
    }
}
