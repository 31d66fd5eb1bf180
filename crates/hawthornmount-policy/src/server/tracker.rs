//! State of one server as measured by the requests of this instance: requests in flight, slowness
//! and failures.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Weight of the newest request in the moving average of the slowness.
const SLOWNESS_GAIN: f64 = 0.2;
/// Weight of the newest request in the moving average of the failures.
const FAILURE_GAIN: f64 = 0.2;
/// Half-life with which a measured slowness decays to 1.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);
/// Slowness above which a server gets one request at a time, as a probe, until the slowness has
/// decayed to half of this value.
const PROBE_SLOWNESS: f64 = 3.0;
/// Bounds of the ratios that enter the slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.1, 50.0);
/// Consecutive failures after which a server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Largest failure ratio at which a server is not ejected.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Duration of the first ejection of a server.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(20);
/// Time without a failure after which the ejection period is reset to [`BASE_EJECTION`].
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(30);
/// Pause after a server reported that it is full without saying for how long.
const DEFAULT_FULL_PAUSE: Duration = Duration::from_millis(100);
/// Slowness above which the concurrency limit is reduced.
const LIMIT_REDUCTION_SLOWNESS: f64 = 2.0;
/// Factor by which the concurrency limit is reduced.
const LIMIT_REDUCTION_FACTOR: f64 = 0.9;
/// Maximum number of samples of the requests in flight. They are kept because a load report arrives
/// after the time that it describes.
const MAX_SAMPLES: usize = 96;

/// Number of requests in flight from this instance at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    in_flight: u32,
}

/// State of one server as measured by the requests of this instance.
#[derive(Clone, Debug)]
pub struct Tracker {
    in_flight: u32,
    /// Moving average of the times of answers relative to the mean of the version.
    slowness: f64,
    slowness_updated_at: Option<Instant>,
    /// Moving average of the failures, from 0 to 1.
    failure_ratio: f64,
    consecutive_failures: u32,
    /// End of the last ejection, until an answer arrives.
    ejected_until: Option<Instant>,
    /// Duration of the next ejection.
    ejection_period: Duration,
    last_failure: Option<Instant>,
    full_until: Option<Instant>,
    concurrency_limit: f64,
    samples: VecDeque<Sample>,
}

impl Tracker {
    /// Creates the state of a server that can run `slots` requests at a time.
    pub fn new(slots: u32) -> Self {
        Self {
            in_flight: 0,
            slowness: 1.0,
            slowness_updated_at: None,
            failure_ratio: 0.0,
            consecutive_failures: 0,
            ejected_until: None,
            ejection_period: BASE_EJECTION,
            last_failure: None,
            full_until: None,
            concurrency_limit: f64::from(slots.max(1)),
            samples: VecDeque::new(),
        }
    }

    /// Returns the number of requests of this instance that run on the server.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that starts.
    pub const fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that ended.
    pub const fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Saves a sample of the requests in flight.
    pub fn sample_in_flight(&mut self, now: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, in_flight: self.in_flight });
    }

    /// Returns the number of requests that were in flight at `at` by the last sample before it, or
    /// by the oldest sample if there is none.
    pub fn in_flight_at(&self, at: Instant) -> u32 {
        let sample = self.samples.iter().rev().find(|sample| sample.at <= at);
        sample.or(self.samples.front()).map_or(self.in_flight, |sample| sample.in_flight)
    }

    /// Records an answer that took `ratio` times as long as the version's mean.
    pub fn record_answer(&mut self, ratio: f64, slots: u32, now: Instant) {
        let old = self.slowness(now);
        let ratio = ratio.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness = old + SLOWNESS_GAIN * (ratio - old);
        self.slowness_updated_at = Some(now);
        self.failure_ratio *= 1.0 - FAILURE_GAIN;
        self.consecutive_failures = 0;
        self.ejected_until = None;
        let is_expired = |at: Instant| now.saturating_duration_since(at) > EJECTION_RESET_AFTER;
        if self.last_failure.is_some_and(is_expired) {
            self.ejection_period = BASE_EJECTION;
        }
        if self.slowness > LIMIT_REDUCTION_SLOWNESS {
            self.concurrency_limit = (self.concurrency_limit * LIMIT_REDUCTION_FACTOR).max(1.0);
        } else {
            self.concurrency_limit = (self.concurrency_limit + 1.0 / self.concurrency_limit)
                .min(f64::from(slots.max(1)));
        }
    }

    /// Records an attempt that was dropped without an answer after `ratio` times the version's
    /// mean.
    pub fn record_superseded(&mut self, ratio: f64, now: Instant) {
        let old = self.slowness(now);
        if ratio > old {
            self.slowness = old + SLOWNESS_GAIN * (ratio.min(SLOWNESS_BOUNDS.1) - old);
            self.slowness_updated_at = Some(now);
        }
    }

    /// Records a failure. `random`, from 0 to 1, adds jitter to the end of an ejection.
    pub fn record_failure(&mut self, random: f64, now: Instant) {
        self.failure_ratio += FAILURE_GAIN * (1.0 - self.failure_ratio);
        self.consecutive_failures += 1;
        self.last_failure = Some(now);
        let has_failed_probe = self.ejected_until.is_some();
        let has_failed_often = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || self.failure_ratio > MAX_FAILURE_RATIO;
        if has_failed_probe || has_failed_often {
            self.ejected_until = Some(now + self.ejection_period.mul_f64(0.5 + random / 2.0));
            self.ejection_period = (self.ejection_period * 2).min(MAX_EJECTION);
        }
    }

    /// Records that the server refused a request because it is full.
    pub fn record_full(&mut self, retry_after: Option<Duration>, now: Instant) {
        self.full_until = Some(now + retry_after.unwrap_or(DEFAULT_FULL_PAUSE));
        self.concurrency_limit = (f64::from(self.in_flight) * LIMIT_REDUCTION_FACTOR).max(1.0);
    }

    /// Returns the ratio of the server's answer times to the mean of the version. An old
    /// measurement decays to 1, so that a server that was slow is tried again.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.slowness_updated_at else { return self.slowness };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * decay
    }

    /// Returns whether one more request may be sent to the server. A server that was ejected or is
    /// slow gets one request at a time, as a probe.
    pub fn can_accept(&self, now: Instant) -> bool {
        let is_in_future = |at: Option<Instant>| at.is_some_and(|at| now < at);
        if is_in_future(self.ejected_until) || is_in_future(self.full_until) {
            return false;
        }
        if self.ejected_until.is_some()
            || self.slowness > PROBE_SLOWNESS && self.slowness(now) > PROBE_SLOWNESS / 2.0
        {
            return self.in_flight == 0;
        }
        f64::from(self.in_flight) < self.concurrency_limit.max(1.0)
    }

    /// Returns whether the server is ejected because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
