//! Source of time, so that tests can pause and move it.

use {
    nix::time::{ClockId, clock_gettime},
    parking_lot::Mutex,
    std::time::{Duration, Instant, SystemTime},
};

/// Source of monotonic and of calendar time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the calendar time.
    fn wall(&self) -> SystemTime;
    /// Returns the time since the machine started, suspensions included. Ages that must hold after
    /// a suspension are measured with it, because [`Clock::now`] stands still meanwhile.
    fn since_boot(&self) -> Duration;
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

    fn since_boot(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            Err(error) => {
                log::error!("the clock can't be read, every age counts as too old; cause={error}");
                Duration::MAX
            }
        }
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

    fn since_boot(&self) -> Duration {
        *self.elapsed.lock()
    }
}
