use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::{Epoch, Offset, RecordId};
use crate::record::{OrderCommand, OrderDone, OrderIntent};

/// Finished orders that are kept for the operators and to reject a repeated intent.
const FINISHED_KEPT: usize = 256;

/// Orders to engines and to the platform. At most one is outstanding for each target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    outstanding: Vec<Outstanding>,
    finished: VecDeque<Finished>,
}

/// Order that may or may not have been sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Identity, kept by every repeat.
    pub order: RecordId,
    /// Record that announced it.
    pub intent: Offset,
    /// Authority under which it was announced; it is sent under that of the current holder.
    pub epoch: Epoch,
    /// What is ordered.
    pub command: OrderCommand,
}

/// Order whose end is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Identity.
    pub order: RecordId,
    /// What was ordered.
    pub command: OrderCommand,
    /// Record that ended it.
    pub done: Offset,
    /// Whether it took effect.
    pub applied: bool,
    /// Detail.
    pub note: Box<str>,
}

impl Orders {
    /// Orders that the current holder of the planner lease has to finish, oldest first.
    pub fn outstanding(&self) -> &[Outstanding] {
        &self.outstanding
    }

    /// Outstanding order of an engine.
    pub fn outstanding_for(&self, upstream: &str) -> Option<&Outstanding> {
        self.outstanding
            .iter()
            .find(|order| order.command.upstream() == Some(upstream))
    }

    /// Recently finished orders, oldest first.
    pub fn finished(&self) -> impl DoubleEndedIterator<Item = &Finished> {
        self.finished.iter()
    }

    pub(super) fn intend(
        &mut self,
        offset: Offset,
        intent: &OrderIntent,
        unchecked: bool,
    ) -> Result<(), Reason> {
        let is_known = self.outstanding.iter().any(|o| o.order == intent.order)
            || self.finished.iter().any(|o| o.order == intent.order);
        if is_known {
            return Err(Reason::Exists);
        }
        let conflicts = |o: &Outstanding| o.command.conflicts_with(&intent.command);
        if self.outstanding.iter().any(conflicts) && !unchecked {
            return Err(Reason::OrderOutstanding);
        }
        self.outstanding.push(Outstanding {
            order: intent.order,
            intent: offset,
            epoch: intent.epoch,
            command: intent.command.clone(),
        });
        Ok(())
    }

    pub(super) fn done(&mut self, offset: Offset, done: &OrderDone) -> Result<(), Reason> {
        let index = self
            .outstanding
            .iter()
            .position(|o| o.order == done.order)
            .ok_or(Reason::Unknown)?;
        let order = self.outstanding.remove(index);
        if self.finished.len() == FINISHED_KEPT {
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
