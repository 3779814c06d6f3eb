use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::{Epoch, Offset, RecordId};
use crate::record::{OrderCommand, OrderDone, OrderIntent};

/// Maximum number of finished orders, which are kept for operators and to reject a repeated intent.
const MAX_FINISHED: usize = 256;

/// Orders to engines and to the platform. At most one is outstanding for each target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    outstanding: Vec<OutstandingOrder>,
    finished: VecDeque<Finished>,
}

/// Order that was announced and has not ended. It may have been sent or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingOrder {
    /// Identity of the order. Repeats of the send carry the same one.
    pub order: RecordId,
    /// Offset of the record that announced it.
    pub intent: Offset,
    /// Fencing number under which it was announced. It is sent under that of the current lease
    /// holder.
    pub epoch: Epoch,
    /// Change that is ordered.
    pub command: OrderCommand,
}

/// Order that ended, whether it took effect or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Identity of the order.
    pub order: RecordId,
    /// Change that was ordered.
    pub command: OrderCommand,
    /// Offset of the record that ended it.
    pub done: Offset,
    /// Whether it took effect.
    pub applied: bool,
    /// Detail for the audit trail.
    pub note: Box<str>,
}

impl Orders {
    /// Orders that the current holder of the planner lease has to finish, oldest first.
    pub fn outstanding(&self) -> &[OutstandingOrder] {
        &self.outstanding
    }

    /// Outstanding order for an upstream, if there is one.
    pub fn outstanding_for(&self, upstream: &str) -> Option<&OutstandingOrder> {
        self.outstanding
            .iter()
            .find(|order| order.command.upstream() == Some(upstream))
    }

    /// Recently finished orders, oldest first.
    pub fn finished(&self) -> impl DoubleEndedIterator<Item = &Finished> {
        self.finished.iter()
    }

    pub(super) fn add_intent(
        &mut self,
        offset: Offset,
        intent: &OrderIntent,
        allow_conflict: bool,
    ) -> Result<(), RejectReason> {
        let is_known = self.outstanding.iter().any(|o| o.order == intent.order)
            || self.finished.iter().any(|o| o.order == intent.order);
        if is_known {
            return Err(RejectReason::Exists);
        }
        let conflicts = |o: &OutstandingOrder| o.command.conflicts_with(&intent.command);
        if self.outstanding.iter().any(conflicts) && !allow_conflict {
            return Err(RejectReason::OrderOutstanding);
        }
        self.outstanding.push(OutstandingOrder {
            order: intent.order,
            intent: offset,
            epoch: intent.epoch,
            command: intent.command.clone(),
        });
        Ok(())
    }

    pub(super) fn finish(&mut self, offset: Offset, done: &OrderDone) -> Result<(), RejectReason> {
        let index = self
            .outstanding
            .iter()
            .position(|o| o.order == done.order)
            .ok_or(RejectReason::Unknown)?;
        let order = self.outstanding.remove(index);
        if self.finished.len() == MAX_FINISHED {
            self.finished.pop_front();
        }
        self.finished.push_back(Finished {
            order: order.order,
            command: order.command,
            done: offset,
            applied: done.applied,
            note: done.note.clone(),
        });
        Ok(())
    }
}
