//! Upstreams that this gateway knows, with the work it has dispatched to them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Incarnation;
use nutmegbay_proto::control::SidecarStatus;
use nutmegbay_proto::engine::Load;
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceList, InstanceState};

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Name in the instance list.
    pub name: Box<str>,
    /// Kind.
    pub kind: InstanceKind,
    /// Model or service that it serves.
    pub serves: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Address of the sidecar's data path.
    pub data: SocketAddr,
    /// Address of the sidecar's control interface.
    pub control: SocketAddr,
    /// Requests of this gateway that are running there.
    open: AtomicU32,
    /// The platform lists it as leaving.
    leaving: AtomicBool,
    /// Its sidecar refuses new work.
    draining: AtomicBool,
    /// Its sidecar did not answer lately.
    failing: AtomicBool,
    status: Mutex<Option<Reported>>,
}

/// What the sidecar of an upstream has reported last.
#[derive(Debug, Clone)]
pub struct Reported {
    /// Life of the sidecar.
    pub incarnation: Incarnation,
    /// Load of the upstream.
    pub load: Load,
    /// When the load was taken.
    pub taken: MonotonicTime,
    /// First cache event that is wanted next.
    pub cache_next: u64,
}

/// Counts one request at an upstream while it is open.
#[derive(Debug)]
pub struct Dispatch {
    /// Upstream that runs it.
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
            open: AtomicU32::new(0),
            leaving: AtomicBool::new(instance.state == InstanceState::Leaving),
            draining: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            status: Mutex::new(None),
        }
    }

    fn is_same(&self, instance: &Instance) -> bool {
        self.name == instance.name
            && self.kind == instance.kind
            && self.serves == instance.serves
            && self.data == instance.data
            && self.control == instance.control
    }

    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && !self.draining.load(Ordering::Relaxed)
    }

    /// Requests of this gateway that are running there.
    pub fn open_count(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether its last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed)
    }

    /// Records whether its sidecar refuses new work.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Life of its sidecar, as far as it is known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.reported().map(|reported| reported.incarnation)
    }

    /// Last report of its sidecar.
    pub fn reported(&self) -> Option<Reported> {
        self.lock().clone()
    }

    /// First cache event that is wanted from its sidecar.
    pub fn cache_next(&self) -> u64 {
        self.lock().as_ref().map_or(0, |r| r.cache_next)
    }

    /// Takes a report of its sidecar that was asked for at `asked`.
    pub fn report(&self, status: &SidecarStatus, asked: MonotonicTime) {
        let age = Duration::from_millis(status.load.age_ms);
        *self.lock() = Some(Reported {
            incarnation: status.incarnation,
            load: status.load.clone(),
            taken: MonotonicTime(asked.0.saturating_sub(age)),
            cache_next: status.cache.next,
        });
        self.set_draining(status.draining);
        self.set_failing(!status.healthy);
    }

    fn lock(&self) -> MutexGuard<'_, Option<Reported>> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether its sidecar answers.
    pub fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::Relaxed);
    }
}

impl Dispatch {
    /// Counts a request that goes to `upstream`.
    pub fn new(upstream: Arc<Upstream>) -> Self {
        upstream.open.fetch_add(1, Ordering::Relaxed);
        Self { upstream }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.upstream.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Builds the list of upstreams from the platform's, keeping what is known of those already there.
pub fn merge(old: &[Arc<Upstream>], list: &InstanceList) -> Arc<[Arc<Upstream>]> {
    list.instances
        .iter()
        .filter(|instance| instance.kind != InstanceKind::Gateway)
        .map(|instance| {
            let Some(known) = old.iter().find(|u| u.is_same(instance)) else {
                return Arc::new(Upstream::new(instance));
            };
            let is_leaving = instance.state == InstanceState::Leaving;
            known.leaving.store(is_leaving, Ordering::Relaxed);
            Arc::clone(known)
        })
        .collect()
}
