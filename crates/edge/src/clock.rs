//! Clocks of the process: a wall clock for usage windows that ignores jumps, and a monotonic clock.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use tokio::time::Instant;

/// Largest difference between two readings, in milliseconds, up to which the system's wall clock is
/// followed.
const MAX_FOLLOWED_JUMP_MS: i64 = 200;

/// Time after which a jump of the wall clock is accepted as a correction. Jumps that are faults
/// revert within some seconds.
const JUMP_ACCEPTED_AFTER: Duration = Duration::from_mins(1);

/// Wall clock in milliseconds since 1970 that smooths corrections and ignores short jumps.
#[derive(Debug)]
pub struct SmoothedWallClock {
    /// Accepted difference between the wall clock and the boot-time clock, in milliseconds.
    offset_ms: i64,
    jumped_at: Option<MonotonicTime>,
    /// Monotonic clock that keeps counting while the machine is suspended.
    boottime_ms: fn() -> i64,
    realtime_ms: fn() -> i64,
}

impl SmoothedWallClock {
    /// Uses the system's clocks.
    pub fn system() -> Self {
        Self::new(
            || clock_ms(rustix::time::ClockId::Boottime),
            || clock_ms(rustix::time::ClockId::Realtime),
        )
    }

    /// Uses the given clocks, which return milliseconds.
    pub fn new(boottime_ms: fn() -> i64, realtime_ms: fn() -> i64) -> Self {
        Self {
            offset_ms: realtime_ms() - boottime_ms(),
            jumped_at: None,
            boottime_ms,
            realtime_ms,
        }
    }

    /// Reads the clocks again: follows small corrections, and accepts a jump once it has lasted for
    /// [`JUMP_ACCEPTED_AFTER`].
    pub fn update(&mut self, now: MonotonicTime) {
        let offset_ms = (self.realtime_ms)() - (self.boottime_ms)();
        let jump_ms = offset_ms - self.offset_ms;
        if jump_ms.abs() <= MAX_FOLLOWED_JUMP_MS {
            self.jumped_at = None;
            self.offset_ms += jump_ms / 8;
            return;
        }
        let jumped_at = *self.jumped_at.get_or_insert_with(|| {
            tracing::warn!(event = "time_of_day_jumped", by_ms = jump_ms);
            now
        });
        if now.since(jumped_at) >= JUMP_ACCEPTED_AFTER {
            tracing::warn!(event = "time_of_day_believed", by_ms = jump_ms);
            self.offset_ms = offset_ms;
            self.jumped_at = None;
        }
    }

    /// Returns the estimated wall-clock time, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        u64::try_from((self.boottime_ms)() + self.offset_ms).unwrap_or(0)
    }
}

fn clock_ms(id: rustix::time::ClockId) -> i64 {
    let time = rustix::time::clock_gettime(id);
    time.tv_sec * 1_000 + time.tv_nsec / 1_000_000
}

/// Monotonic clock of this process, based on the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts counting now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.start.elapsed())
    }
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
