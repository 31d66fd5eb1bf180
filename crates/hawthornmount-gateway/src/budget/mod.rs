//! Retry budget of an instance. Requests that are sent to a further server are bounded by a share
//! of the requests in a sliding window. Every instance keeps to the share of its own requests, so
//! the fleet keeps to the share of all requests without exchanging counts, also while instances are
//! cut off, die or join. Of the slack that the users allow besides, each takes an equal part.
//!
//! The users compare the repeats of any window with the requests of that window, of the one half a
//! window before or of the one before, whichever has most. Which one that is depends on the whole
//! fleet, so no instance may choose for itself: the instances' largest add up to more than the
//! fleet's largest. Each compares with the mean of the window and the one before; means add up to
//! the fleet's mean, which is never more than its largest.

use std::time::{Duration, Instant};

/// Parts that a window is counted in.
const BUCKETS_PER_WINDOW: u64 = 20;
/// Parts that are kept: the window before the one that begins a window ago, and the present part.
const BUCKETS: usize = 2 * BUCKETS_PER_WINDOW as usize + 1;
/// Share of the stated ratio that is used: a request and its repeats reach servers later than the
/// instance, and may fall into another window there.
const USED_SHARE: f64 = 0.95;
/// Part of the budget that answers in doubt may use up; the rest is kept for failures.
const LOW_CONFIDENCE_SHARE: f64 = 0.9;

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// An attempt failed.
    Failure,
    /// The answer is in doubt; it can be delivered all the same.
    LowConfidence,
}

/// Requests and repeats of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Budget of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    part: Duration,
    parts: [Bucket; BUCKETS],
    started: Instant,
    /// Number of the part in which the last count was made.
    current: u64,
}

impl Budget {
    /// Creates a budget: in each `window`, repeats may be `ratio` of the requests.
    pub fn new(ratio: f64, window: Duration, now: Instant) -> Self {
        let part = (window / (BUCKETS_PER_WINDOW as u32)).max(Duration::from_millis(1));
        let parts = [Bucket::default(); BUCKETS];
        Self { ratio: ratio * USED_SHARE, slack: 0.0, part, parts, started: now, current: 0 }
    }

    /// Sets how many repeats are allowed besides.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request's first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now).requests += 1;
    }

    /// Takes a repeat, if there is one left in every window that holds the present moment.
    pub fn try_take(&mut self, cause: Cause, now: Instant) -> bool {
        self.advance(now);
        let part = if cause == Cause::LowConfidence { LOW_CONFIDENCE_SHARE } else { 1.0 };
        let is_left = (0..=BUCKETS_PER_WINDOW).all(|begin| {
            let retries = self.sum(begin, 0, |part| part.retries);
            let limit = self.ratio * self.reference_requests(begin) + self.slack;
            f64::from(retries + 1) <= limit * part
        });
        if is_left {
            self.advance(now).retries += 1;
        }
        is_left
    }

    /// Returns the requests with which the repeats of a window are compared that begins inside the
    /// part `begin` parts ago. A request of that part lies in the window or in the one before; the
    /// part in which the one before begins doesn't count.
    fn reference_requests(&self, begin: u64) -> f64 {
        f64::from(self.sum(begin + BUCKETS_PER_WINDOW - 1, 0, |part| part.requests)) / 2.0
    }

    /// Sums over the parts from `from` parts ago to `to` parts ago.
    fn sum(&self, from: u64, to: u64, count: impl Fn(&Bucket) -> u32) -> u32 {
        let numbers = (to..=from).filter_map(|back| self.current.checked_sub(back));
        numbers.map(|number| count(&self.parts[index(number)])).sum()
    }

    /// Clears the parts that are no longer kept and returns the present one.
    fn advance(&mut self, now: Instant) -> &mut Bucket {
        let since = now.saturating_duration_since(self.started).as_nanos();
        let number = u64::try_from(since / self.part.as_nanos()).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 1..=passed {
            self.parts[index(number - passed + step)] = Bucket::default();
        }
        self.current = self.current.max(number);
        &mut self.parts[index(self.current)]
    }
}

/// Returns the place of a part.
fn index(number: u64) -> usize {
    (number % BUCKETS as u64) as usize
}
