//! True time for usage windows, estimated from the time of day and steady clocks.

use std::time::Duration;

use nutmegbay_core::world::Moment;
use tokio::time::Instant;

/// Difference between two readings up to which the time of day is followed.
const MAX_FOLLOWED_JUMP_MS: i64 = 200;

/// Time after which a jump of the time of day is taken for a correction. Jumps that are faults go
/// back within some seconds.
const JUMP_ACCEPTED_AFTER: Duration = Duration::from_mins(1);

/// Milliseconds since 1970 that do not jump with the time of day.
#[derive(Debug)]
pub struct SmoothedWallClock {
    /// Time of day less steady time, in milliseconds, as believed.
    offset_ms: i64,
    jumped_at: Option<Moment>,
    /// Steady clock that goes on while the machine is suspended.
    boottime_ms: fn() -> i64,
    realtime_ms: fn() -> i64,
}

impl SmoothedWallClock {
    /// Reads the clocks of the system.
    pub fn system() -> Self {
        Self::new(
            || clock_ms(rustix::time::ClockId::Boottime),
            || clock_ms(rustix::time::ClockId::Realtime),
        )
    }

    /// Reads the given clocks.
    pub fn new(boottime_ms: fn() -> i64, realtime_ms: fn() -> i64) -> Self {
        Self {
            offset_ms: realtime_ms() - boottime_ms(),
            jumped_at: None,
            boottime_ms,
            realtime_ms,
        }
    }

    /// Follows small corrections of the time of day and ignores jumps until they last.
    pub fn update(&mut self, now: Moment) {
        let read = (self.realtime_ms)() - (self.boottime_ms)();
        let jump = read - self.offset_ms;
        if jump.abs() <= MAX_FOLLOWED_JUMP_MS {
            self.jumped_at = None;
            self.offset_ms += jump / 8;
            return;
        }
        let since = *self.jumped_at.get_or_insert_with(|| {
            tracing::warn!(event = "time_of_day_jumped", by_ms = jump);
            now
        });
        if now.since(since) >= JUMP_ACCEPTED_AFTER {
            tracing::warn!(event = "time_of_day_believed", by_ms = jump);
            self.offset_ms = read;
            self.jumped_at = None;
        }
    }

    /// Estimate of true time, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        u64::try_from((self.boottime_ms)() + self.offset_ms).unwrap_or(0)
    }
}

fn clock_ms(id: rustix::time::ClockId) -> i64 {
    let time = rustix::time::clock_gettime(id);
    time.tv_sec * 1_000 + time.tv_nsec / 1_000_000
}

/// MonotonicClock of this process on the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Counts from now on.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Current moment.
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed())
    }
}

/// Whole milliseconds of a duration.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
