//! Time sources. Tests replace the system clock by one that they advance by hand.

use {
    nix::time::{ClockId, clock_gettime},
    parking_lot::Mutex,
    std::time::{Duration, Instant, SystemTime},
};

/// Source of monotonic, wall-clock and boot time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time.
    fn wall(&self) -> SystemTime;
    /// Returns the time since the machine booted, including time that it slept. Ages that must stay
    /// correct across sleep are measured with it, because [`Clock::now`] does not advance while the
    /// machine sleeps.
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
                log::error!(
                    "the boot clock can't be read, all ages count as expired; cause={error}"
                );
                Duration::MAX
            }
        }
    }
}

/// Clock that advances only through [`Manual::advance`].
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    start_wall: SystemTime,
    elapsed: Mutex<Duration>,
}

impl Manual {
    /// Creates a clock that starts at the current time and doesn't advance by itself.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            start_wall: SystemTime::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Advances the clock by the given duration.
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
