//! Settings of one edge process, as an adapter decodes them from the platform's file.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the instance.
    pub node: Box<str>,
    /// Failure domain of the instance.
    pub domain: Box<str>,
    /// Address for callers.
    pub ingress: SocketAddr,
    /// Address at which the platform asks for readiness.
    pub readiness: SocketAddr,
    /// Address for other edge processes; none where the deployment gives none.
    pub control: Option<SocketAddr>,
    /// Address for datagrams of other edge processes, which use the same port; none where the
    /// deployment gives none.
    pub exchange: Option<SocketAddr>,
    /// Control addresses of a few edge processes, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where usage reports go; none where the deployment asks for none.
    pub reports: Option<SocketAddr>,
    /// Share of a core that the instance has; none where it is not known.
    pub cpu_share: Option<f64>,
    /// Rate of the instance's link, in megabits a second; none where it is not known.
    pub link_mbps: Option<f64>,
    /// Bounds that the operator sets.
    pub bounds: Bounds,
}

/// Bounds that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// An accepted configuration is in force within this.
    pub apply: Duration,
    /// A leaving upstream gets no new work later than this.
    pub drain: Duration,
    /// Time after a start or a fault of a machine within which the bounds do not hold for it.
    pub contact: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Least time between a hand-over of a duty and one back.
    pub lease: Duration,
    /// Retries per first request of a service, in a window, over all instances.
    pub retry_ratio: f64,
    /// Retries of a service beyond that, in a window, over all instances.
    pub retry_slack: u32,
    /// Length of that window.
    pub retry_window: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// When the report of a window is due, from its end.
    pub usage_lag: Duration,
}
