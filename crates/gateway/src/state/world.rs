//! Time, randomness and effects for the components of core.

use std::time::Duration;

use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_telemetry::clock::WallClock;
use tokio::time::Instant;

/// Clocks of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    wall: WallClock,
}

impl Clock {
    /// Starts the clocks.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            wall: WallClock::new(),
        }
    }

    /// Current moment.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed())
    }

    /// Wall-clock time in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.wall.now_ms()
    }

    /// The runtime's instant of a moment.
    pub fn instant(&self, moment: MonotonicTime) -> Instant {
        self.started + moment.0
    }

    /// Time left until `moment`.
    pub fn until(&self, moment: MonotonicTime) -> Duration {
        moment.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Environment that collects effects for the state task to perform.
#[derive(Debug)]
pub struct Outside<E> {
    clock: Clock,
    effects: Vec<E>,
}

impl<E> Outside<E> {
    /// Environment without effects yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            effects: Vec::new(),
        }
    }

    /// Takes the effects that were asked for.
    pub fn take(&mut self) -> Vec<E> {
        std::mem::take(&mut self.effects)
    }
}

impl<E> Environment for Outside<E> {
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
