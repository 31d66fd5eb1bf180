//! Token bucket for an instance's writes, refilled at its share of the rate of the whole fleet.

use {std::time::Duration, tokio::time::Instant};

/// Limit on writes of usage records per second, all instances together.
const FLEET_WRITES_PER_SECOND: f64 = 150.0;
/// Capacity of the bucket: writes that an instance may send at once after being idle.
const BURST_WRITES: f64 = 8.0;

/// Limits the rate of the writes of one instance.
#[derive(Debug)]
pub struct Limiter {
    /// Writes that may be sent now; negative while reserved writes wait.
    available: f64,
    updated: Instant,
}

impl Limiter {
    /// Creates a limiter whose bucket is full.
    pub fn new() -> Self {
        Self { available: BURST_WRITES, updated: Instant::now() }
    }

    /// Reserves one write and returns the time until it may be sent. The rate of the fleet is
    /// divided equally among `members` instances.
    pub fn reserve(&mut self, members: usize) -> Duration {
        let rate = FLEET_WRITES_PER_SECOND / members.max(1) as f64;
        let now = Instant::now();
        let elapsed = now.duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.available = (self.available + elapsed * rate).min(BURST_WRITES) - 1.0;
        Duration::from_secs_f64((-self.available / rate).max(0.0))
    }
}
