//! Upstreams in the instance list, with the last report of each and the open requests to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Incarnation;
use nutmegbay_proto::control::SidecarStatus;
use nutmegbay_proto::engine::Load;
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceList, InstanceState};

/// One upstream and its sidecar.
#[derive(Debug)]
pub struct Upstream {
    /// Name in the instance list.
    pub name: Box<str>,
    /// Whether it is an engine or a service.
    pub kind: InstanceKind,
    /// Model or service that it serves.
    pub serves: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Address of the sidecar's data path.
    pub data: SocketAddr,
    /// Address of the sidecar's control interface.
    pub control: SocketAddr,
    /// Number of requests of this gateway that it is running.
    open_requests: AtomicU32,
    /// Whether the platform lists it as leaving.
    is_leaving: AtomicBool,
    /// Whether its sidecar refuses new work.
    is_draining: AtomicBool,
    /// Whether the last call to it failed or its sidecar reported it as unhealthy.
    is_failing: AtomicBool,
    last_report: Mutex<Option<SidecarReport>>,
}

/// Status report of the sidecar of an upstream.
#[derive(Debug, Clone)]
pub struct SidecarReport {
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Load of the upstream.
    pub load: Load,
    /// Time at which the load was measured.
    pub measured_at: MonotonicTime,
    /// Sequence number of the next cache event to request.
    pub cache_next: u64,
}

/// Counts one request as open at its upstream until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    /// Upstream that runs the request.
    pub upstream: Arc<Upstream>,
}

impl Upstream {
    fn new(instance: &Instance) -> Self {
        Self {
            name: instance.name.clone(),
            kind: instance.kind,
            serves: instance.serves.clone(),
            failure_domain: instance.failure_domain.clone(),
            data: instance.data,
            control: instance.control,
            open_requests: AtomicU32::new(0),
            is_leaving: AtomicBool::new(instance.state == InstanceState::Leaving),
            is_draining: AtomicBool::new(false),
            is_failing: AtomicBool::new(false),
            last_report: Mutex::new(None),
        }
    }

    fn is_same(&self, instance: &Instance) -> bool {
        self.name == instance.name
            && self.kind == instance.kind
            && self.serves == instance.serves
            && self.data == instance.data
            && self.control == instance.control
    }

    /// Whether it may receive new work: it is neither leaving nor draining.
    pub fn accepts_work(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed) && !self.is_draining.load(Ordering::Relaxed)
    }

    /// Number of requests of this gateway that it is running.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Whether the last call to it failed or its sidecar reported it as unhealthy.
    pub fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Relaxed)
    }

    /// Records whether its sidecar refuses new work.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Incarnation of its sidecar; `None` before the first report.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.last_report().map(|report| report.incarnation)
    }

    /// Last report of its sidecar; `None` before the first.
    pub fn last_report(&self) -> Option<SidecarReport> {
        self.lock().clone()
    }

    /// Sequence number of the next cache event to request from its sidecar.
    pub fn cache_next(&self) -> u64 {
        self.lock().as_ref().map_or(0, |r| r.cache_next)
    }

    /// Records a report of its sidecar that was requested at `requested_at`.
    pub fn record_report(&self, status: &SidecarStatus, requested_at: MonotonicTime) {
        let age = Duration::from_millis(status.load.age_ms);
        *self.lock() = Some(SidecarReport {
            incarnation: status.incarnation,
            load: status.load.clone(),
            measured_at: MonotonicTime(requested_at.0.saturating_sub(age)),
            cache_next: status.cache.next,
        });
        self.set_draining(status.draining);
        self.set_failing(!status.healthy);
    }

    fn lock(&self) -> MutexGuard<'_, Option<SidecarReport>> {
        self.last_report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether calls to it fail.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }
}

impl OpenRequestGuard {
    /// Counts a request that goes to `upstream`.
    pub fn new(upstream: Arc<Upstream>) -> Self {
        upstream.open_requests.fetch_add(1, Ordering::Relaxed);
        Self { upstream }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.upstream.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Builds the list of upstreams from the instance list, reusing the entries of `old` that still
/// match their instance.
pub fn merge(old: &[Arc<Upstream>], list: &InstanceList) -> Arc<[Arc<Upstream>]> {
    list.instances
        .iter()
        .filter(|instance| instance.kind != InstanceKind::Gateway)
        .map(|instance| {
            let Some(known) = old.iter().find(|u| u.is_same(instance)) else {
                return Arc::new(Upstream::new(instance));
            };
            let is_leaving = instance.state == InstanceState::Leaving;
            known.is_leaving.store(is_leaving, Ordering::Relaxed);
            Arc::clone(known)
        })
        .collect()
}
