//! Retry budget of an instance. Requests that are sent to a further server are bounded by a share
//! of the requests in a sliding window. Every instance keeps to the share of its own requests, so
//! the fleet keeps to the share of all requests without exchanging counts, also while instances are
//! cut off, die or join.

use std::time::{Duration, Instant};

/// Parts that the window is counted in; a part that has begun counts whole.
const PARTS: usize = 20;
/// Share of the stated ratio that is used; the rest covers requests that are counted when they
/// arrive but whose repeats fall into the next window.
const USED: f64 = 0.85;

/// Requests and repeats of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u32,
    repeats: u32,
}

/// Budget of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    part: Duration,
    parts: [Part; PARTS],
    started: Instant,
    /// Number of the part in which the last count was made.
    current: u64,
}

impl Budget {
    /// Creates a budget: in each `window`, repeats may be `ratio` of the requests, and `slack` more.
    pub fn new(ratio: f64, slack: f64, window: Duration, now: Instant) -> Self {
        let part = (window / (PARTS as u32)).max(Duration::from_millis(1));
        let parts = [Part::default(); PARTS];
        Self { ratio: ratio * USED, slack, part, parts, started: now, current: 0 }
    }

    /// Counts a request's first attempt.
    pub fn count(&mut self, now: Instant) {
        self.advance(now).requests += 1;
    }

    /// Takes a repeat, if there is one left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let is_left = f64::from(repeats + 1) <= self.ratio * f64::from(requests) + self.slack;
        if is_left {
            self.advance(now).repeats += 1;
        }
        is_left
    }

    /// Clears the parts that have left the window and returns the present one.
    fn advance(&mut self, now: Instant) -> &mut Part {
        let since = now.saturating_duration_since(self.started).as_nanos();
        let number = u64::try_from(since / self.part.as_nanos()).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.current).min(PARTS as u64);
        for step in 1..=passed {
            let at = (number - passed + step) % PARTS as u64;
            self.parts[at as usize] = Part::default();
        }
        self.current = self.current.max(number);
        &mut self.parts[(self.current % PARTS as u64) as usize]
    }
}
