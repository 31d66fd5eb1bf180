//! What one instance has learned about one server by its own requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Weight of the newest request in the mean of the slowness.
const SLOWNESS_GAIN: f64 = 0.2;
/// Weight of the newest request in the mean of the failures.
const FAILURE_GAIN: f64 = 0.2;
/// Time after which half of an old slowness is forgotten.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);
/// Slowness from which a server gets one probe at a time.
const SLOW: f64 = 3.0;
/// Bounds of the slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 50.0);
/// Failures in a row after which a server is shed.
const FAILURES_IN_ROW: u32 = 3;
/// Part of the requests that may fail before a server is shed.
const FAILURE_SHARE: f64 = 0.5;
/// First time for which a server is shed.
const FIRST_SHED: Duration = Duration::from_millis(500);
/// Longest time for which a server is shed.
const MAX_SHED: Duration = Duration::from_secs(20);
/// Time without a failure after which the shed time starts small again.
const FORGIVEN_AFTER: Duration = Duration::from_secs(30);
/// Pause after a server said that it is full and not for how long.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Slowness over which the limit of own requests shrinks.
const LIMIT_SLOWNESS: f64 = 2.0;
/// Factor by which the limit shrinks.
const LIMIT_SHRINK: f64 = 0.9;
/// Marks of own requests that are kept, to compare with a late report.
const MARKS: usize = 96;

/// Own requests that ran at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    in_flight: u32,
}

/// What one instance has learned about one server.
#[derive(Clone, Debug)]
pub struct Record {
    in_flight: u32,
    slowness: f64,
    seen: Option<Instant>,
    failures: f64,
    failures_in_row: u32,
    shed_until: Option<Instant>,
    shed_for: Duration,
    failed_at: Option<Instant>,
    full_until: Option<Instant>,
    limit: f64,
    marks: VecDeque<Mark>,
}

impl Record {
    /// Creates a record of a server that can run `slots` requests at a time.
    pub fn new(slots: u32) -> Self {
        Self {
            in_flight: 0,
            slowness: 1.0,
            seen: None,
            failures: 0.0,
            failures_in_row: 0,
            shed_until: None,
            shed_for: FIRST_SHED,
            failed_at: None,
            full_until: None,
            limit: f64::from(slots.max(1)),
            marks: VecDeque::new(),
        }
    }

    /// Returns the own requests that run there.
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

    /// Remembers how many own requests run now.
    pub fn mark(&mut self, now: Instant) {
        if self.marks.len() == MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark { at: now, in_flight: self.in_flight });
    }

    /// Returns the own requests that ran at `at`, as far as that is remembered.
    pub fn in_flight_at(&self, at: Instant) -> u32 {
        let mark = self.marks.iter().rev().find(|mark| mark.at <= at);
        mark.or(self.marks.front()).map_or(self.in_flight, |mark| mark.in_flight)
    }

    /// Takes an answer that took `ratio` times as long as the version's mean.
    pub fn answered(&mut self, ratio: f64, slots: u32, now: Instant) {
        let old = self.slowness(now);
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness = old + SLOWNESS_GAIN * (ratio - old);
        self.seen = Some(now);
        self.failures *= 1.0 - FAILURE_GAIN;
        self.failures_in_row = 0;
        self.shed_until = None;
        let forgiven = |at: Instant| now.saturating_duration_since(at) > FORGIVEN_AFTER;
        if self.failed_at.is_some_and(forgiven) {
            self.shed_for = FIRST_SHED;
        }
        if self.slowness > LIMIT_SLOWNESS {
            self.limit = (self.limit * LIMIT_SHRINK).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(slots.max(1)));
        }
    }

    /// Takes an answer that did not come in `ratio` times the version's mean.
    pub fn overtaken(&mut self, ratio: f64, now: Instant) {
        let old = self.slowness(now);
        if ratio > old {
            self.slowness = old + SLOWNESS_GAIN * (ratio.min(SLOWNESS_RANGE.1) - old);
            self.seen = Some(now);
        }
    }

    /// Takes a failure; `random` from 0 to 1 spreads the end of the shed time.
    pub fn failed(&mut self, random: f64, now: Instant) {
        self.failures += FAILURE_GAIN * (1.0 - self.failures);
        self.failures_in_row += 1;
        self.failed_at = Some(now);
        let probe_failed = self.shed_until.is_some();
        let bad = self.failures_in_row >= FAILURES_IN_ROW || self.failures > FAILURE_SHARE;
        if probe_failed || bad {
            self.shed_until = Some(now + self.shed_for.mul_f64(0.5 + random / 2.0));
            self.shed_for = (self.shed_for * 2).min(MAX_SHED);
        }
    }

    /// Takes a refusal because the server is full.
    pub fn full(&mut self, retry_after: Option<Duration>, now: Instant) {
        self.full_until = Some(now + retry_after.unwrap_or(FULL_PAUSE));
        self.limit = (f64::from(self.in_flight) * LIMIT_SHRINK).max(1.0);
    }

    /// Returns how many times slower than the mean the server is; an old observation fades, so
    /// that a server that was slow is tried again.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else { return self.slowness };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        let kept = 0.5_f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * kept
    }

    /// Tells whether one more request may go to the server. A server that was shed or is slow gets
    /// one probe at a time.
    pub fn has_room(&self, now: Instant) -> bool {
        let later = |at: Option<Instant>| at.is_some_and(|at| now < at);
        if later(self.shed_until) || later(self.full_until) {
            return false;
        }
        if self.shed_until.is_some() || self.slowness > SLOW && self.slowness(now) > SLOW / 2.0 {
            return self.in_flight == 0;
        }
        f64::from(self.in_flight) < self.limit.max(1.0)
    }

    /// Tells whether the server is shed because it fails.
    pub fn is_shed(&self, now: Instant) -> bool {
        self.shed_until.is_some_and(|until| now < until)
    }
}
