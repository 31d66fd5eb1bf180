//! Source of time, so that tests can pause and move it.

use {
    parking_lot::Mutex,
    std::time::{Duration, Instant, SystemTime},
};

/// Source of monotonic and of calendar time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the calendar time.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock that moves only when it is told to.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    start_wall: SystemTime,
    elapsed: Mutex<Duration>,
}

impl Manual {
    /// Creates a clock that stands at the present time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            start_wall: SystemTime::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock() += by;
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + *self.elapsed.lock()
    }

    fn wall(&self) -> SystemTime {
        self.start_wall + *self.elapsed.lock()
    }
}
