//! Pace of an instance's writes: a share of what the whole fleet may write, saved up while idle.

use {std::time::Duration, tokio::time::Instant};

/// Writes of usage records a second, all instances together.
const FLEET_RATE: f64 = 150.0;
/// Writes that an idle instance saves up.
const BURST: f64 = 8.0;

/// Pace of the writes of one instance.
#[derive(Debug)]
pub struct Pace {
    saved: f64,
    at: Instant,
}

impl Pace {
    /// Creates a pace with all that an idle instance saves up.
    pub fn new() -> Self {
        Self { saved: BURST, at: Instant::now() }
    }

    /// Takes one write of the share that each of `members` has, and returns the time until it may
    /// go out.
    pub fn take(&mut self, members: usize) -> Duration {
        let rate = FLEET_RATE / members.max(1) as f64;
        let now = Instant::now();
        let idle = now.duration_since(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + idle * rate).min(BURST) - 1.0;
        Duration::from_secs_f64((-self.saved / rate).max(0.0))
    }
}
