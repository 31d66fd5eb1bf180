//! Retry budget of an instance. Requests that are sent to a further server are bounded by a share
//! of the requests in a sliding window. Every instance keeps to the share of its own requests, so
//! the fleet keeps to the share of all requests without exchanging counts, also while instances are
//! cut off, die or join.

use std::time::{Duration, Instant};

/// Parts that the window is counted in; a part that has begun counts whole.
const PARTS: usize = 20;
/// Share of the stated ratio that is used. The users compare the repeats of any window with the
/// requests of that window, of the one half a window before or of the one before; whichever way a
/// window lies, one of the three holds three quarters of the requests that count here. What is
/// missing in the worst case is covered by the slack, which is not used otherwise.
const USED: f64 = 0.8;
/// Part of the budget that answers in doubt may use up; the rest is kept for failures.
const DOUBT_PART: f64 = 0.9;

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// An attempt failed.
    Failure,
    /// The answer is in doubt; it can be delivered all the same.
    Doubt,
}

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
    /// One part more than the window has, since the oldest and the present one are not whole.
    parts: [Part; PARTS + 1],
    started: Instant,
    /// Number of the part in which the last count was made.
    current: u64,
}

impl Budget {
    /// Creates a budget: in each `window`, repeats may be `ratio` of the requests, and `slack` more.
    pub fn new(ratio: f64, slack: f64, window: Duration, now: Instant) -> Self {
        let part = (window / (PARTS as u32)).max(Duration::from_millis(1));
        let parts = [Part::default(); PARTS + 1];
        Self { ratio: ratio * USED, slack, part, parts, started: now, current: 0 }
    }

    /// Counts a request's first attempt.
    pub fn count(&mut self, now: Instant) {
        self.advance(now).requests += 1;
    }

    /// Takes a repeat, if there is one left.
    pub fn take(&mut self, cause: Cause, now: Instant) -> bool {
        self.advance(now);
        let counted = (0..PARTS as u64).filter_map(|back| self.current.checked_sub(back));
        let requests: u32 = counted.map(|number| self.parts[slot(number)].requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let all = self.ratio * f64::from(requests) + self.slack;
        let limit = if cause == Cause::Doubt { all * DOUBT_PART } else { all };
        let is_left = f64::from(repeats + 1) <= limit;
        if is_left {
            self.advance(now).repeats += 1;
        }
        is_left
    }

    /// Clears the parts that have left the window and returns the present one.
    fn advance(&mut self, now: Instant) -> &mut Part {
        let since = now.saturating_duration_since(self.started).as_nanos();
        let number = u64::try_from(since / self.part.as_nanos()).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.current).min(PARTS as u64 + 1);
        for step in 1..=passed {
            self.parts[slot(number - passed + step)] = Part::default();
        }
        self.current = self.current.max(number);
        &mut self.parts[slot(self.current)]
    }
}

/// Returns the place of a part.
fn slot(number: u64) -> usize {
    (number % (PARTS as u64 + 1)) as usize
}
