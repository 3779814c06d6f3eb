//! Wall-clock time that advances with the runtime's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Wall clock that is read once from the system and then advanced by the runtime's clock, so that
/// it also stops in tests that pause the runtime's clock. Later changes of the system's time have
/// no effect.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    start_ms: u64,
    started: Instant,
}

impl WallClock {
    /// Reads the system's time once.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start_ms: millis(since_epoch),
            started: Instant::now(),
        }
    }

    /// Returns the current time in milliseconds since the Unix epoch.
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
