//! Counters and timers, sent to a statsd server over UDP if one is configured.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::{CountedExt, StatsdClient, Timed};
use nutmegbay_telemetry::metrics;

/// Prefix of all metrics.
const PREFIX: &str = "nutmegbay.gateway";

/// Counters and timers of a gateway.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that go to `statsd`, or nowhere.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        Ok(Self {
            client: Arc::new(metrics::client(PREFIX, statsd)?),
        })
    }

    /// Counts a frame that did not belong where it came.
    pub fn frame_rejected(&self) {
        self.count("frame_rejected");
    }

    /// Counts an event.
    pub fn count(&self, name: &str) {
        // A metric that cannot be sent must not disturb a request.
        let _ = self.client.incr(name);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, took: Duration) {
        let _ = self.client.time(name, took);
    }
}
