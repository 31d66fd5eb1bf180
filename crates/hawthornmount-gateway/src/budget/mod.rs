//! Retry budget of an instance: limits retries to a ratio of the requests in a sliding window.
//!
//! Each instance applies the ratio to its own requests, so the fleet stays within the ratio without
//! exchanging counts, also while instances are partitioned, fail or join. A fixed number of
//! additional retries that the settings allow for the whole fleet (the slack) is divided equally
//! among the instances.
//!
//! The limit is defined for the fleet: the retries of any window are compared with the requests of
//! that window, of the window that begins half a window earlier or of the window before, whichever
//! has the most. An instance can't take the maximum of its own windows, because the maxima of the
//! instances can add up to more than the maximum of the fleet. Each instance therefore uses the
//! mean of the window and the window before: the means add up to the mean of the fleet, which never
//! exceeds its maximum.

use std::time::{Duration, Instant};

/// Buckets into which a window is divided.
const BUCKETS_PER_WINDOW: u64 = 20;
/// Buckets that are kept: two windows and the current bucket.
const BUCKETS: usize = 2 * BUCKETS_PER_WINDOW as usize + 1;
/// Share of the configured ratio that is used: a request and its retries reach the servers later
/// than the instance, and may fall into another window there.
const USED_SHARE: f64 = 0.95;
/// Share of the budget that is available for low-confidence responses; the rest is reserved for
/// failures.
const LOW_CONFIDENCE_SHARE: f64 = 0.9;

/// Why a request is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// An attempt failed.
    Failure,
    /// The model has low confidence in its response, which can be delivered all the same.
    LowConfidence,
}

/// Number of requests and retries in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Retry budget of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    bucket_length: Duration,
    buckets: [Bucket; BUCKETS],
    started: Instant,
    /// Number of the latest bucket, counted from `started`.
    current: u64,
}

impl Budget {
    /// Creates a budget that allows `ratio` retries per request in each `window`.
    pub fn new(ratio: f64, window: Duration, now: Instant) -> Self {
        let bucket_length = (window / (BUCKETS_PER_WINDOW as u32)).max(Duration::from_millis(1));
        let buckets = [Bucket::default(); BUCKETS];
        Self {
            ratio: ratio * USED_SHARE,
            slack: 0.0,
            bucket_length,
            buckets,
            started: now,
            current: 0,
        }
    }

    /// Sets the number of retries that each window allows in addition to the ratio.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now).requests += 1;
    }

    /// Takes one retry from the budget and returns whether it was available: the limit has to hold
    /// in every window that contains `now`.
    pub fn try_take(&mut self, cause: Cause, now: Instant) -> bool {
        self.advance(now);
        let share = if cause == Cause::LowConfidence { LOW_CONFIDENCE_SHARE } else { 1.0 };
        let is_left = (0..=BUCKETS_PER_WINDOW).all(|begin| {
            let retries = self.sum(begin, 0, |bucket| bucket.retries);
            let limit = self.ratio * self.reference_requests(begin) + self.slack;
            f64::from(retries + 1) <= limit * share
        });
        if is_left {
            self.advance(now).retries += 1;
        }
        is_left
    }

    /// Returns the number of requests that limits the retries of a window, as the mean of the
    /// window and the window before. `begin` is the age, in buckets, of the bucket in which the
    /// window begins: its requests lie in one of the two windows. The bucket in which the window
    /// before begins is left out, since only part of it counts.
    fn reference_requests(&self, begin: u64) -> f64 {
        f64::from(self.sum(begin + BUCKETS_PER_WINDOW - 1, 0, |bucket| bucket.requests)) / 2.0
    }

    /// Returns the sum of `count` over the buckets from `from` buckets ago to `to` buckets ago.
    fn sum(&self, from: u64, to: u64, count: impl Fn(&Bucket) -> u32) -> u32 {
        let numbers = (to..=from).filter_map(|back| self.current.checked_sub(back));
        numbers.map(|number| count(&self.buckets[index(number)])).sum()
    }

    /// Clears the buckets that have expired and returns the current one.
    fn advance(&mut self, now: Instant) -> &mut Bucket {
        let since = now.saturating_duration_since(self.started).as_nanos();
        let number = u64::try_from(since / self.bucket_length.as_nanos()).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 1..=passed {
            self.buckets[index(number - passed + step)] = Bucket::default();
        }
        self.current = self.current.max(number);
        &mut self.buckets[index(self.current)]
    }
}

/// Returns the index of a bucket in the ring buffer.
fn index(number: u64) -> usize {
    (number % BUCKETS as u64) as usize
}
