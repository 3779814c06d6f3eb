//! Wall-clock time that follows the runtime's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Wall-clock time in milliseconds since 1970: read once from the system, then advanced by the
/// runtime's clock, so that tests which pause the runtime pause it too.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    start_ms: u64,
    started: Instant,
}

impl WallClock {
    /// Reads the system's clock.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start_ms: millis(since_epoch),
            started: Instant::now(),
        }
    }

    /// Current time in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.start_ms.saturating_add(millis(self.started.elapsed()))
    }
}

impl Default for WallClock {
    fn default() -> Self {
        Self::new()
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
