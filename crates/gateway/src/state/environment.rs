//! Implements the [`Environment`] of the components of core: clock, random numbers and effects.

use std::time::Duration;

use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_telemetry::clock::WallClock;
use tokio::time::Instant;

/// Monotonic and wall clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    wall: WallClock,
}

impl Clock {
    /// Starts the clocks; [`Self::now`] counts from here.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            wall: WallClock::new(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed())
    }

    /// Returns the wall-clock time in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.wall.now_ms()
    }

    /// Converts a time of this clock into an [`Instant`] for the timers of tokio.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        self.started + time.0
    }

    /// Returns the time left until `deadline`, zero if it has passed.
    pub fn time_until(&self, deadline: MonotonicTime) -> Duration {
        deadline.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Environment that collects effects for the state task to perform.
#[derive(Debug)]
pub struct EffectCollector<E> {
    clock: Clock,
    effects: Vec<E>,
}

impl<E> EffectCollector<E> {
    /// Creates an environment without effects.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            effects: Vec::new(),
        }
    }

    /// Returns the effects that were requested since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<E> {
        std::mem::take(&mut self.effects)
    }
}

impl<E> Environment for EffectCollector<E> {
    type Effect = E;

    fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    fn random(&mut self) -> u128 {
        rand::random()
    }

    fn perform(&mut self, effect: E) {
        self.effects.push(effect);
    }
}
