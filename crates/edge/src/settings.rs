//! Settings of one edge process. An adapter decodes them from the platform's settings file.

use std::net::SocketAddr;
use std::time::Duration;

pub use nutmegbay_policy::edge::quota::QuotaBounds;

/// Settings of one edge process.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the instance.
    pub node: Box<str>,
    /// Failure domain of the instance.
    pub domain: Box<str>,
    /// Address that accepts callers' connections.
    pub ingress: SocketAddr,
    /// Address that serves the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address for requests of other edge processes, if the deployment provides one.
    pub control: Option<SocketAddr>,
    /// Address for load digests (UDP), if the deployment provides one. All edge processes use the
    /// same port.
    pub exchange: Option<SocketAddr>,
    /// Control addresses of a few edge processes. They may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address that accepts usage reports, if the deployment requires reports.
    pub reports: Option<SocketAddr>,
    /// Fraction of a CPU core that the instance has, if known.
    pub cpu_share: Option<f64>,
    /// Rate of the instance's network link in megabits per second, if known.
    pub link_mbps: Option<f64>,
    /// Memory of the instance in bytes, if known.
    pub memory_bytes: Option<u64>,
    /// Whether client accounts compete for too little room, so that the room is divided by account.
    pub has_competing_accounts: bool,
    /// Bounds set by the operator.
    pub bounds: Bounds,
}

/// Bounds set by the operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum time until an accepted configuration is in force.
    pub apply: Duration,
    /// Maximum time until an upstream that is leaving gets no new requests.
    pub drain: Duration,
    /// Time after the start or a fault of a machine during which the other bounds do not apply to
    /// it.
    pub contact: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Minimum time between a hand-over of a duty and its return.
    pub lease: Duration,
    /// Retries allowed per first request of a service within `retry_window`, over all instances.
    pub retry_ratio: f64,
    /// Additional retries allowed for a service within `retry_window`, over all instances.
    pub retry_slack: u32,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time from the end of a usage window until its report is due.
    pub usage_lag: Duration,
    /// Bounds on the use of quotas of client accounts.
    pub quota: QuotaBounds,
}
