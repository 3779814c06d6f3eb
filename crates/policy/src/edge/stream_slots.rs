//! Slots of engines for long streams.
//!
//! Load pattern: urgent streams, each of which holds a slot for seconds, begin on engines with eight
//! slots. Requests of equal urgency do not take a slot from each other, so one more stream waits
//! there until another one ends, while other engines run requests that give their slots to it at
//! once. After the start of all instances, none knows what the others send, and all of them would
//! choose the same engine.

/// Fraction of the slots that known streams may take. The others are left for streams that other
/// instances begin at the same time, and for requests that end soon.
const FILL_FRACTION: f64 = 0.75;

/// Use of an engine's slots by long streams.
#[derive(Debug, Clone, Copy)]
pub struct SlotUse {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Streams of this instance.
    pub own: u32,
    /// Streams of all other instances. `None` while they are not known.
    pub others: Option<f64>,
}

impl SlotUse {
    /// Returns whether a slot may be free as far as known. A stream is refused for lack of a slot only
    /// if none is.
    pub fn may_have_free_slot(self) -> bool {
        let known = f64::from(self.own) + self.others.unwrap_or(0.0);
        known < f64::from(self.slots.max(1))
    }

    /// Returns whether this instance should begin a stream there rather than elsewhere. `instances`
    /// is the number of instances, this one included. `position` is a number from 0 to 1 that is
    /// fixed for this instance and engine: while the streams of others are not known, it decides
    /// which instances may use a slot that is less than one for each.
    pub fn has_free_slot(self, instances: usize, position: f64) -> bool {
        let slots = (f64::from(self.slots) * FILL_FRACTION).max(1.0);
        let own = f64::from(self.own);
        match self.others {
            Some(others) => own + others < slots,
            None => {
                let share = slots / instances.max(1) as f64;
                own < (share + position).floor()
            }
        }
    }
}
