//! Crashes of the upstream and the requests that were running then.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Mutex;

use nutmegbay_core::ids::{Fingerprint, Incarnation};
use nutmegbay_core::record::CrashReport;
use rand::random;
use tokio::sync::watch;

use crate::state::lock;

/// Crashes that are remembered for gateways that ask later.
const CRASHES_KEPT: usize = 32;

/// Running requests and past crashes.
pub(crate) struct Crashes {
    upstream: Box<str>,
    inner: Mutex<Inner>,
    /// Lives of the upstream that are known to be over: work that started in an earlier life ends.
    dead_below: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    /// Number of the upstream's life, as far as the sidecar can tell lives apart.
    life: u64,
    next_run: u64,
    running: HashMap<u64, (u64, Fingerprint)>,
    reports: VecDeque<CrashReport>,
    /// Crash that ended each of the recent lives.
    crash_of: HashMap<u64, Incarnation>,
}

/// One running request.
#[derive(Debug)]
pub(crate) struct Run {
    id: u64,
    life: u64,
    dead_below: watch::Receiver<u64>,
}

impl Crashes {
    pub(crate) fn new(upstream: Box<str>) -> Self {
        Self {
            upstream,
            inner: Mutex::default(),
            dead_below: watch::Sender::new(0),
        }
    }

    /// Registers a request that is sent to the upstream now.
    pub(crate) fn start(&self, fingerprint: Fingerprint) -> Run {
        let mut inner = lock(&self.inner);
        let run = inner.next_run;
        inner.next_run += 1;
        let life = inner.life;
        inner.running.insert(run, (life, fingerprint));
        Run {
            id: run,
            life,
            dead_below: self.dead_below.subscribe(),
        }
    }

    /// Removes a request that ended.
    pub(crate) fn end(&self, run: &Run) {
        lock(&self.inner).running.remove(&run.id);
    }

    /// Reports that the upstream's connection died under a request. All requests of one life belong
    /// to one crash; the first of them makes the report.
    pub(crate) fn lost(&self, run: &Run) -> Incarnation {
        let mut inner = lock(&self.inner);
        if let Some(crash) = inner.crash_of.get(&run.life) {
            return *crash;
        }
        self.report(&mut inner, run.life)
    }

    /// Reports that the health check failed, and ends the work that runs. Without work in flight
    /// nobody is suspect and there is nothing to report.
    pub(crate) fn unhealthy(&self) {
        let mut inner = lock(&self.inner);
        let life = inner.life;
        if inner.running.values().any(|(running, _)| *running == life) {
            self.report(&mut inner, life);
        }
        self.dead_below.send_replace(inner.life);
    }

    /// Crashes that are remembered, oldest first.
    pub(crate) fn reports(&self) -> Vec<CrashReport> {
        lock(&self.inner).reports.iter().cloned().collect()
    }

    fn report(&self, inner: &mut Inner, life: u64) -> Incarnation {
        let crash = Incarnation(random());
        let running: BTreeSet<Fingerprint> = inner
            .running
            .values()
            .filter(|(running, _)| *running == life)
            .map(|(_, fingerprint)| *fingerprint)
            .collect();
        tracing::warn!(event = "upstream_crashed", %crash, running = running.len());
        if inner.reports.len() == CRASHES_KEPT {
            inner.reports.pop_front();
        }
        inner.reports.push_back(CrashReport {
            upstream: self.upstream.clone(),
            crash,
            running: running.into_iter().collect(),
        });
        inner.crash_of.insert(life, crash);
        let oldest = life.saturating_sub(CRASHES_KEPT as u64);
        inner.crash_of.retain(|life, _| *life >= oldest);
        inner.life = inner.life.max(life + 1);
        crash
    }
}

impl Run {
    /// Returns when the life of the upstream in which the request started is known to be over.
    pub(crate) async fn upstream_died(&mut self) {
        let life = self.life;
        if self.dead_below.wait_for(|dead| *dead > life).await.is_err() {
            // The sidecar is stopping; the work ends by itself.
            std::future::pending::<()>().await;
        }
    }
}
