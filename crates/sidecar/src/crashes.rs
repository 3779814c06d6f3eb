//! Crashes of the upstream, with the requests that were running at the time.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Mutex;

use nutmegbay_core::ids::{Fingerprint, Incarnation};
use nutmegbay_core::record::CrashReport;
use rand::random;
use tokio::sync::watch;

use crate::state::lock;

/// Maximum number of crash reports that are kept for gateways to read.
const MAX_CRASH_REPORTS: usize = 32;

/// Tracks the requests that the upstream runs and reports its crashes.
pub(crate) struct CrashTracker {
    upstream: Box<str>,
    inner: Mutex<Inner>,
    /// Lowest incarnation whose work may continue. It is raised when a health check fails, which ends
    /// the work of earlier incarnations.
    ended_below: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    /// Number of the upstream's current incarnation. It increases with each crash that the sidecar
    /// detects.
    incarnation: u64,
    next_run: u64,
    /// Incarnation and fingerprint of each running request, by run.
    running: HashMap<u64, (u64, Fingerprint)>,
    reports: VecDeque<CrashReport>,
    /// Identity of the crash that ended each of the recent incarnations.
    crash_ids: HashMap<u64, Incarnation>,
}

/// Request that the upstream is running.
#[derive(Debug)]
pub(crate) struct TrackedRun {
    id: u64,
    incarnation: u64,
    ended_below: watch::Receiver<u64>,
}

impl CrashTracker {
    pub(crate) fn new(upstream: Box<str>) -> Self {
        Self {
            upstream,
            inner: Mutex::default(),
            ended_below: watch::Sender::new(0),
        }
    }

    /// Registers a request that is about to be sent to the upstream.
    pub(crate) fn start_run(&self, fingerprint: Fingerprint) -> TrackedRun {
        let mut inner = lock(&self.inner);
        let id = inner.next_run;
        inner.next_run += 1;
        let incarnation = inner.incarnation;
        inner.running.insert(id, (incarnation, fingerprint));
        TrackedRun {
            id,
            incarnation,
            ended_below: self.ended_below.subscribe(),
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn end_run(&self, run: &TrackedRun) {
        lock(&self.inner).running.remove(&run.id);
    }

    /// Records that the upstream's connection failed during a request and returns the identity of
    /// the crash. All requests of one incarnation belong to the same crash, which is reported once.
    pub(crate) fn record_lost_connection(&self, run: &TrackedRun) -> Incarnation {
        let mut inner = lock(&self.inner);
        if let Some(crash) = inner.crash_ids.get(&run.incarnation) {
            return *crash;
        }
        self.record_crash(&mut inner, run.incarnation)
    }

    /// Records that the health check failed, and ends the work of all earlier incarnations. Without
    /// work in flight no request is suspect, so no crash is reported.
    pub(crate) fn record_failed_health_check(&self) {
        let mut inner = lock(&self.inner);
        let incarnation = inner.incarnation;
        if inner
            .running
            .values()
            .any(|(started_in, _)| *started_in == incarnation)
        {
            self.record_crash(&mut inner, incarnation);
        }
        self.ended_below.send_replace(inner.incarnation);
    }

    /// Returns the crash reports that are kept, oldest first.
    pub(crate) fn reports(&self) -> Vec<CrashReport> {
        lock(&self.inner).reports.iter().cloned().collect()
    }

    /// Records the crash that ended `incarnation`, with all requests that it was running.
    fn record_crash(&self, inner: &mut Inner, incarnation: u64) -> Incarnation {
        let crash = Incarnation(random());
        let running: BTreeSet<Fingerprint> = inner
            .running
            .values()
            .filter(|(started_in, _)| *started_in == incarnation)
            .map(|(_, fingerprint)| *fingerprint)
            .collect();
        tracing::warn!(event = "upstream_crashed", %crash, running = running.len());
        if inner.reports.len() == MAX_CRASH_REPORTS {
            inner.reports.pop_front();
        }
        inner.reports.push_back(CrashReport {
            upstream: self.upstream.clone(),
            crash,
            running: running.into_iter().collect(),
        });
        inner.crash_ids.insert(incarnation, crash);
        let oldest = incarnation.saturating_sub(MAX_CRASH_REPORTS as u64);
        inner
            .crash_ids
            .retain(|incarnation, _| *incarnation >= oldest);
        inner.incarnation = inner.incarnation.max(incarnation + 1);
        crash
    }
}

impl TrackedRun {
    /// Returns when a failed health check shows that the upstream's incarnation in which the request
    /// started has ended.
    pub(crate) async fn wait_upstream_failed(&mut self) {
        let incarnation = self.incarnation;
        if self
            .ended_below
            .wait_for(|ended_below| *ended_below > incarnation)
            .await
            .is_err()
        {
            // The sidecar is shutting down, which ends the work.
            std::future::pending::<()>().await;
        }
    }
}
