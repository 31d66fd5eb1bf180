//! Belief whether this instance reaches the servers of a service.
//!
//! Single failures only raise the question. It is answered by connections to a sample of servers of
//! all data centres: if none of them is established, the fault is in the own links or common to all
//! servers, and no single server is to blame. An instance that reaches few of many servers finds one
//! of them now and then, so the belief ends only if half of a sample is reached, or one in each of
//! two samples.

use std::time::{Duration, Instant};

/// Time without a byte of any server, while requests wait for one, after which the links are checked.
const SILENCE: Duration = Duration::from_millis(700);
/// Shortest time between two checks because of a failure.
const FAILURE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two checks because of silence.
const SILENCE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two checks while no server is reached.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the servers of a service are reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Servers are reached, as far as is known.
    Servers,
    /// No server is reached.
    CutOff,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Check {
    /// Servers to which a connection was tried.
    pub tried: usize,
    /// Servers to which one was established.
    pub reached: usize,
}

/// What is known about the links.
#[derive(Clone, Debug)]
pub struct Links {
    reach: Reach,
    last_contact: Instant,
    last_failure: Option<Instant>,
    last_check: Option<Instant>,
    is_checking: bool,
    /// Whether the last check reached a server.
    has_reached: bool,
}

impl Links {
    /// Creates links that are believed to work.
    pub const fn new(now: Instant) -> Self {
        Self {
            reach: Reach::Servers,
            last_contact: now,
            last_failure: None,
            last_check: None,
            is_checking: false,
            has_reached: true,
        }
    }

    /// Returns whether servers are reached.
    pub const fn reach(&self) -> Reach {
        self.reach
    }

    /// Records bytes of a server, or an established connection.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Records that a connection to a server failed or broke.
    pub const fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Returns whether the links have to be checked; `is_waiting` is whether requests wait for
    /// servers.
    pub fn needs_check(&self, is_waiting: bool, now: Instant) -> bool {
        if self.is_checking {
            return false;
        }
        let is_over = |time: Duration| self.last_check.is_none_or(|at| now >= at + time);
        if self.reach == Reach::CutOff {
            return is_over(RETURN_INTERVAL);
        }
        // Contact after a failure shows that only that server failed.
        let has_failed = self.last_failure.is_some_and(|at| {
            at >= self.last_contact && self.last_check.is_none_or(|checked| at > checked)
        });
        let is_silent = is_waiting && now >= self.last_contact + SILENCE;
        (has_failed && is_over(FAILURE_INTERVAL)) || (is_silent && is_over(SILENCE_INTERVAL))
    }

    /// Records that a check began.
    pub const fn begin_check(&mut self, now: Instant) {
        self.last_check = Some(now);
        self.is_checking = true;
    }

    /// Returns whether a check is under way.
    pub const fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Records the result of a check, and returns the belief if it changes.
    pub fn record_check(&mut self, check: Check, now: Instant) -> Option<Reach> {
        self.is_checking = false;
        if check.tried == 0 {
            return None;
        }
        let has_reached = check.reached > 0;
        if has_reached {
            self.record_contact(now);
        }
        let had_reached = std::mem::replace(&mut self.has_reached, has_reached);
        let is_back = 2 * check.reached >= check.tried || (has_reached && had_reached);
        let reach = match self.reach {
            Reach::Servers if !has_reached => Reach::CutOff,
            Reach::CutOff if is_back => Reach::Servers,
            unchanged => unchanged,
        };
        let is_new = std::mem::replace(&mut self.reach, reach) != reach;
        is_new.then_some(reach)
    }
}
