//! State shared by all handlers of one sidecar.

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

use crate::crashes::Crashes;
use crate::gate::Gate;
use crate::log_view::LogView;
use crate::monitor::Monitor;
use crate::orders::OrderDesk;
use crate::refuse::Refusal;
use crate::requests::Requests;
use crate::settings::Settings;
use crate::upstream::Upstream;

/// State shared by all handlers.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) upstream: Upstream,
    pub(crate) readiness: Readiness,
    metrics: StatsdClient,
    pub(crate) requests: Requests,
    pub(crate) gate: Arc<Gate>,
    pub(crate) crashes: Crashes,
    pub(crate) monitor: Monitor,
    pub(crate) orders: OrderDesk,
    pub(crate) log: Mutex<LogView>,
    /// Woken whenever an attempt ends.
    pub(crate) attempt_ended: Notify,
    guard: Mutex<AttemptTable>,
    draining: AtomicBool,
    in_flight: watch::Sender<u32>,
}

impl Shared {
    pub(crate) fn new(settings: Settings) -> std::io::Result<Self> {
        let incarnation = Incarnation(random());
        Ok(Self {
            incarnation,
            upstream: Upstream::new(&settings),
            readiness: Readiness::new(),
            requests: Requests::default(),
            gate: Arc::default(),
            crashes: Crashes::new(settings.instance.clone()),
            monitor: Monitor::new(),
            orders: OrderDesk::default(),
            log: Mutex::new(LogView::new()),
            attempt_ended: Notify::new(),
            guard: Mutex::new(AttemptTable::new(incarnation, TableLimits::default())),
            draining: AtomicBool::new(false),
            in_flight: watch::Sender::new(0),
            metrics: metrics::client("nutmegbay.sidecar", settings.statsd)?,
            settings,
        })
    }

    /// Counts one event. Metrics that cannot be sent are dropped.
    pub(crate) fn count_metric(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    /// Reports how many requests are in flight.
    pub(crate) fn gauge_in_flight(&self) {
        let _ = self.metrics.gauge("in_flight", u64::from(self.in_flight()));
    }

    /// Tables of attempts. The lock is held for table operations only, never across I/O.
    pub(crate) fn guard(&self) -> MutexGuard<'_, AttemptTable> {
        lock(&self.guard)
    }

    pub(crate) fn log(&self) -> MutexGuard<'_, LogView> {
        lock(&self.log)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Refuses new work from now on and returns what is still running.
    pub(crate) fn drain(&self) -> u32 {
        self.readiness.set(false);
        self.draining.store(true, Ordering::SeqCst);
        self.in_flight()
    }

    /// Requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        *self.in_flight.borrow()
    }

    /// Returns when nothing is in flight.
    pub(crate) async fn idle(&self) {
        let mut rx = self.in_flight.subscribe();
        // The sender is a field of `self`, so the channel stays open while this waits.
        let _ = rx.wait_for(|count| *count == 0).await;
    }

    /// Registers one request, or refuses it while draining.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<InFlight, Refusal> {
        // The count goes up before the flag is read, so that `drain` followed by `idle` never
        // misses a request that read the flag as false.
        let entered = self.count();
        if self.is_draining() {
            return Err(self.draining_refusal());
        }
        Ok(entered)
    }

    /// Registers a request that is allowed in even while draining.
    pub(crate) fn count(self: &Arc<Self>) -> InFlight {
        self.in_flight.send_modify(|count| *count += 1);
        InFlight(Arc::clone(self))
    }

    pub(crate) fn draining_refusal(&self) -> Refusal {
        let instance = &self.settings.instance;
        let detail = format!("upstream `{instance}` is draining; use another one");
        Refusal::not_run(ProblemKind::Draining, detail)
    }

    /// Current load for the header of an answer.
    pub(crate) fn load_header(&self) -> Option<HeaderValue> {
        let load = serde_json::to_string(&self.monitor.load(self.in_flight())).ok()?;
        HeaderValue::from_str(&load).ok()
    }
}

/// One request in flight; it ends when this is dropped.
pub(crate) struct InFlight(pub(crate) Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|count| *count -= 1);
    }
}

/// Locks a mutex whose holders never leave its content half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
