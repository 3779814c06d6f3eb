//! Faults that disturb the edges, by time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Time without a fault from which the operator's bounds hold again.
const CONTACT: Duration = Duration::from_secs(3);

/// Times since the start at which something was under a fault, with some time around each.
#[derive(Debug, Default, Clone)]
struct FaultTimes {
    past: Vec<(Duration, Duration)>,
    /// Start of the current fault.
    since: Option<Duration>,
    /// Time of the last update.
    updated: Duration,
}

impl FaultTimes {
    /// Records a condition that may have begun right after the last update.
    fn update(&mut self, is_faulty: bool, now: Duration) {
        match self.since {
            None if is_faulty => self.since = Some(self.updated),
            Some(since) if !is_faulty => {
                self.past.push((since, now));
                self.since = None;
            }
            _ => {}
        }
        self.updated = now;
    }

    fn overlap(&self, from: Duration, to: Duration) -> bool {
        let is_past = self.past.iter().any(|(a, b)| *a <= to && from <= *b);
        is_past || self.since.is_some_and(|since| since <= to)
    }
}

#[derive(Debug, Default, Clone)]
struct EdgeFaults {
    process: FaultTimes,
    /// Of the store and the link to it.
    store: FaultTimes,
}

/// Faults of all edges, by index. Clones share them.
#[derive(Debug, Clone)]
pub struct Contacts {
    start: Instant,
    edges: Arc<Mutex<Vec<EdgeFaults>>>,
}

impl Contacts {
    /// Returns the record of `edges` edges that have just started.
    pub fn new(edges: usize) -> Self {
        Self {
            start: Instant::now(),
            edges: Arc::new(Mutex::new(vec![EdgeFaults::default(); edges])),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records whether the process of an edge and its store are under a fault.
    pub fn update(&self, edge: usize, is_process_faulty: bool, is_store_faulty: bool) {
        let now = self.now();
        let faults = &mut self.edges.lock().unwrap()[edge];
        faults.process.update(is_process_faulty, now);
        faults.store.update(is_store_faulty, now);
    }

    /// Records a short fault of the store, which ends with the next update.
    pub fn disturb_store(&self) {
        let now = self.now();
        for faults in self.edges.lock().unwrap().iter_mut() {
            faults.store.update(true, now);
        }
    }

    /// Returns whether the process of an edge was under no fault in this time.
    pub fn is_process_sound(&self, edge: usize, from: Duration, to: Duration) -> bool {
        !self.edges.lock().unwrap()[edge].process.overlap(from, to)
    }

    /// Returns whether an edge was in touch all this time.
    pub fn is_in_touch(&self, edge: usize, from: Duration, to: Duration) -> bool {
        let faults = &self.edges.lock().unwrap()[edge];
        from.checked_sub(CONTACT).is_some_and(|from| {
            !faults.process.overlap(from, to) && !faults.store.overlap(from, to)
        })
    }
}
