//! State that all handlers of a sidecar share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::http::HeaderValue;
use cadence::{CountedExt, Gauged, StatsdClient};
use nutmegbay_core::guard::{AttemptTable, TableLimits};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_proto::problem::ProblemKind;
use nutmegbay_telemetry::admin::Readiness;
use nutmegbay_telemetry::metrics;
use rand::random;
use tokio::sync::{Notify, watch};

use crate::crashes::CrashTracker;
use crate::log_view::LogView;
use crate::monitor::UpstreamMonitor;
use crate::orders::CompletedOrders;
use crate::refusal::Refusal;
use crate::requests::RequestRegistry;
use crate::run_scheduler::RunScheduler;
use crate::settings::Settings;
use crate::upstream::UpstreamClient;

/// State that all request handlers and background tasks share.
pub(crate) struct SharedState {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) upstream: UpstreamClient,
    pub(crate) readiness: Readiness,
    metrics: StatsdClient,
    pub(crate) requests: RequestRegistry,
    pub(crate) run_scheduler: Arc<RunScheduler>,
    pub(crate) crashes: CrashTracker,
    pub(crate) monitor: UpstreamMonitor,
    pub(crate) completed_orders: CompletedOrders,
    pub(crate) log: Mutex<LogView>,
    /// Notified whenever an attempt ends.
    pub(crate) attempt_ended: Notify,
    attempts: Mutex<AttemptTable>,
    draining: AtomicBool,
    in_flight: watch::Sender<u32>,
}

impl SharedState {
    pub(crate) fn new(settings: Settings) -> std::io::Result<Self> {
        let incarnation = Incarnation(random());
        Ok(Self {
            incarnation,
            upstream: UpstreamClient::new(&settings),
            readiness: Readiness::new(),
            requests: RequestRegistry::default(),
            run_scheduler: Arc::default(),
            crashes: CrashTracker::new(settings.instance.clone()),
            monitor: UpstreamMonitor::new(),
            completed_orders: CompletedOrders::default(),
            log: Mutex::new(LogView::new()),
            attempt_ended: Notify::new(),
            attempts: Mutex::new(AttemptTable::new(incarnation, TableLimits::default())),
            draining: AtomicBool::new(false),
            in_flight: watch::Sender::new(0),
            metrics: metrics::client("nutmegbay.sidecar", settings.statsd)?,
            settings,
        })
    }

    /// Increments the counter `name` by one. Metrics that cannot be sent are dropped.
    pub(crate) fn increment_metric(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    /// Sends the number of requests in flight as a gauge.
    pub(crate) fn gauge_in_flight(&self) {
        let _ = self.metrics.gauge("in_flight", u64::from(self.in_flight()));
    }

    /// Locks the table of attempts. Callers hold the lock for table operations only, never across
    /// I/O.
    pub(crate) fn attempts(&self) -> MutexGuard<'_, AttemptTable> {
        lock(&self.attempts)
    }

    /// Locks the view of the log. Callers never hold the lock across I/O.
    pub(crate) fn log(&self) -> MutexGuard<'_, LogView> {
        lock(&self.log)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Refuses new work from now on and returns the number of requests still in flight.
    pub(crate) fn drain(&self) -> u32 {
        self.readiness.set(false);
        self.draining.store(true, Ordering::SeqCst);
        self.in_flight()
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        *self.in_flight.borrow()
    }

    /// Returns when no request is in flight.
    pub(crate) async fn wait_idle(&self) {
        let mut rx = self.in_flight.subscribe();
        // The sender is a field of `self`, so the channel cannot close during the wait.
        let _ = rx.wait_for(|count| *count == 0).await;
    }

    /// Counts a request as in flight, or refuses it while draining.
    pub(crate) fn admit_request(self: &Arc<Self>) -> Result<InFlightGuard, Refusal> {
        // The count is incremented before the flag is read, so that `drain` followed by `wait_idle`
        // never misses a request that read the flag as false.
        let in_flight = self.track_request();
        if self.is_draining() {
            return Err(self.draining_refusal());
        }
        Ok(in_flight)
    }

    /// Counts a request as in flight, even while draining.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.send_modify(|count| *count += 1);
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the refusal of a request that arrives while draining.
    pub(crate) fn draining_refusal(&self) -> Refusal {
        let instance = &self.settings.instance;
        let detail = format!("upstream `{instance}` is draining; use another one");
        Refusal::not_run(ProblemKind::Draining, detail)
    }

    /// Returns the current load as the value of an answer's load header.
    pub(crate) fn load_header(&self) -> Option<HeaderValue> {
        let load = serde_json::to_string(&self.monitor.load(self.in_flight())).ok()?;
        HeaderValue::from_str(&load).ok()
    }
}

/// Guard of a request in flight. Dropping it decrements the count.
pub(crate) struct InFlightGuard(pub(crate) Arc<SharedState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|count| *count -= 1);
    }
}

/// Locks `mutex` and ignores poisoning: no holder leaves the data inconsistent when it panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
