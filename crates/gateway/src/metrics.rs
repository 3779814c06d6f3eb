//! Counters and timers, sent to a statsd server over UDP if one is configured.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::{CountedExt, StatsdClient, Timed};
use nutmegbay_telemetry::metrics;

/// Prefix of every metric name.
const PREFIX: &str = "nutmegbay.gateway";

/// Counters and timers of a gateway.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that are sent to `statsd`, or discarded if it is `None`. Fails if the UDP
    /// socket cannot be created.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        Ok(Self {
            client: Arc::new(metrics::client(PREFIX, statsd)?),
        })
    }

    /// Counts a frame that was dropped because it repeats a token or belongs to another attempt.
    pub fn count_rejected_frame(&self) {
        self.count("frame_rejected");
    }

    /// Increments the counter `name` by one.
    pub fn count(&self, name: &str) {
        // A metric that cannot be sent must not fail the request.
        let _ = self.client.incr(name);
    }

    /// Records `duration` in the timer `name`.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
