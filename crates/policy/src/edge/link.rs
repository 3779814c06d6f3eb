//! Time that a body takes on the instance's own link.
//!
//! Load pattern: instances whose links differ by a factor of twenty, and prompts of tens of
//! kilobytes. On a narrow link the second send of a split request takes longer than the read that
//! it saves, and the sends of a burst queue behind each other.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// What an instance has handed to its link and not yet sent, by the link's rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkLoad {
    /// Bits in a millisecond; none where the rate is not known.
    bits_per_ms: Option<f64>,
    queued_bits: f64,
    queued_at: MonotonicTime,
}

impl LinkLoad {
    /// An idle link of `mbps` megabits a second.
    pub fn new(mbps: Option<f64>) -> Self {
        Self {
            bits_per_ms: mbps.filter(|mbps| *mbps > 0.0).map(|mbps| mbps * 1e3),
            ..Self::default()
        }
    }

    /// Notes that `bytes` were handed to the link.
    pub fn sent(&mut self, now: MonotonicTime, bytes: usize) {
        self.queued_bits = self.queued_bits(now) + bits(bytes);
        self.queued_at = now;
    }

    /// Milliseconds until what was handed to the link before is sent.
    pub fn queue_ms(&self, now: MonotonicTime) -> f64 {
        self.bits_per_ms
            .map_or(0.0, |rate| self.queued_bits(now) / rate)
    }

    /// Milliseconds that `bytes` take on the idle link.
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
