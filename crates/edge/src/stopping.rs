//! Requests during a planned stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::planned_stop::{RecentDurations, can_finish};
use tokio_util::sync::CancellationToken;

use crate::model::{RequestKind, Route};

/// Maximum number of routes whose durations are kept. Beyond it, which takes routes that have been
/// dropped, all are forgotten.
const MAX_ROUTES: usize = 4_096;

/// Cause of a request that a planned stop refuses or ends.
pub const STOPPING: &str = "stopping";

/// Planned stop of this process, and what decides on requests that come during it.
#[derive(Debug, Default)]
pub struct PlannedStop {
    /// Time at which requests in flight are given up. `None` before the stop.
    ends_at: Cell<Option<MonotonicTime>>,
    /// Cancelled at that time.
    pub ended: CancellationToken,
    /// Number of callers' connections.
    pub connections: Rc<Cell<usize>>,
    /// Durations of recent requests, by route.
    durations: RefCell<HashMap<Box<str>, RecentDurations>>,
}

impl PlannedStop {
    /// Begins the stop. Requests that are in flight at `ends_at` are given up.
    pub fn begin(&self, ends_at: MonotonicTime) {
        self.ends_at.set(Some(ends_at));
    }

    /// Records the time from the arrival of a request on `route` to the end of its response.
    pub fn record_duration(&self, route: &str, took: Duration, now: MonotonicTime) {
        let mut durations = self.durations.borrow_mut();
        if let Some(known) = durations.get_mut(route) {
            return known.record(took, now);
        }
        if durations.len() >= MAX_ROUTES {
            durations.clear();
        }
        durations.entry(route.into()).or_default().record(took, now);
    }

    /// Returns whether a request on `route` with the deadline `deadline_at` can be finished before
    /// the process exits.
    pub fn can_finish(
        &self,
        route: &Route,
        deadline_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let Some(ends_at) = self.ends_at.get() else {
            return true;
        };
        let durations = self.durations.borrow();
        let known = durations.get(&route.name);
        let usual = known
            .and_then(|known| known.usual(route.is_repeatable()))
            // The objective of a stream is the time to its first event.
            .or_else(|| (route.kind != RequestKind::Streaming).then_some(route.objective));
        can_finish(usual, deadline_at.since(now), ends_at.since(now))
    }
}
