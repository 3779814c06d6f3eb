//! Time that request bodies take on the instance's own network link.
//!
//! Load pattern: the links of instances differ by a factor of twenty, and prompts have tens of
//! kilobytes. On a narrow link, the second send of a split request takes longer than the prefill
//! time that it saves, and the sends of a burst queue behind each other.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Bytes that an instance has handed to its link and that are not sent yet, estimated from the
/// link's rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkQueue {
    /// Bits per millisecond, or `None` if the rate is not known.
    bits_per_ms: Option<f64>,
    queued_bits: f64,
    queued_at: MonotonicTime,
}

impl LinkQueue {
    /// Creates the queue of an idle link of `mbps` megabits per second.
    pub fn new(mbps: Option<f64>) -> Self {
        Self {
            bits_per_ms: mbps.filter(|mbps| *mbps > 0.0).map(|mbps| mbps * 1e3),
            ..Self::default()
        }
    }

    /// Records that `bytes` were handed to the link.
    pub fn enqueue(&mut self, now: MonotonicTime, bytes: usize) {
        self.queued_bits = self.queued_bits(now) + bits(bytes);
        self.queued_at = now;
    }

    /// Returns the milliseconds until all queued bytes are sent, or 0 if the rate is not known.
    pub fn queue_ms(&self, now: MonotonicTime) -> f64 {
        self.bits_per_ms
            .map_or(0.0, |rate| self.queued_bits(now) / rate)
    }

    /// Returns the milliseconds that `bytes` take on the idle link, or 0 if the rate is not known.
    pub fn send_ms(&self, bytes: usize) -> f64 {
        self.bits_per_ms.map_or(0.0, |rate| bits(bytes) / rate)
    }

    fn queued_bits(&self, now: MonotonicTime) -> f64 {
        let since: Duration = now.since(self.queued_at);
        let sent = self.bits_per_ms.unwrap_or_default() * since.as_secs_f64() * 1e3;
        (self.queued_bits - sent).max(0.0)
    }
}

fn bits(bytes: usize) -> f64 {
    bytes as f64 * 8.0
}
