//! Faults that disturb the edges, by time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Time without a fault from which the operator's bounds hold again.
const CONTACT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
enum Condition {
    Faulty,
    SoundSince(Instant),
}

impl Condition {
    fn update(&mut self, is_faulty: bool) {
        *self = match *self {
            _ if is_faulty => Self::Faulty,
            Self::Faulty => Self::SoundSince(Instant::now()),
            sound @ Self::SoundSince(_) => sound,
        };
    }

    fn is_sound_since(self, time: Instant) -> bool {
        matches!(self, Self::SoundSince(since) if since <= time)
    }
}

#[derive(Debug, Clone, Copy)]
struct EdgeCondition {
    process: Condition,
    /// The store and the link to it.
    store: Condition,
}

/// Conditions of all edges, by index. Clones share them.
#[derive(Debug, Clone)]
pub struct Contacts(Arc<Mutex<Vec<EdgeCondition>>>);

impl Contacts {
    /// Returns the conditions of `edges` edges that have just started.
    pub fn new(edges: usize) -> Self {
        let now = Condition::SoundSince(Instant::now());
        let edge = EdgeCondition {
            process: now,
            store: now,
        };
        Self(Arc::new(Mutex::new(vec![edge; edges])))
    }

    /// Records whether the process of an edge and its store are under a fault.
    pub fn update(&self, edge: usize, is_process_faulty: bool, is_store_faulty: bool) {
        let condition = &mut self.0.lock().unwrap()[edge];
        condition.process.update(is_process_faulty);
        condition.store.update(is_store_faulty);
    }

    /// Records a short fault of the store.
    pub fn disturb_store(&self) {
        for condition in self.0.lock().unwrap().iter_mut() {
            condition.store = Condition::Faulty;
        }
    }

    /// Returns whether the process of an edge was not under a fault at `time` and since.
    pub fn is_process_sound(&self, edge: usize, time: Instant) -> bool {
        self.0.lock().unwrap()[edge].process.is_sound_since(time)
    }

    /// Returns whether an edge was in touch at `time` and has been since.
    pub fn is_in_touch(&self, edge: usize, time: Instant) -> bool {
        let condition = self.0.lock().unwrap()[edge];
        let Some(since) = time.checked_sub(CONTACT) else {
            return false;
        };
        condition.process.is_sound_since(since) && condition.store.is_sound_since(since)
    }
}
