//! Cold servers, which take few requests a second until they have warmed up.
//!
//! A server is cold after a start, and may become cold at any moment. Its entry in the store and its
//! health answers state for how long it remains cold. An instance that was not told takes a server as
//! cold that it failed to reach, since it may have been restarted, and the servers of a data centre
//! whose evacuation has ended. Such an assumption lasts until the entry must have shown the truth.
//!
//! The rate of a cold server is divided among the instances like a stated limit ([`super::share`]), so
//! the bound holds without a message, also for instances that reach neither the store nor each other.

use {
    super::{
        Limits, Row, Share,
        share::{Bound, Division},
    },
    crate::registry::Server,
    derive_more::Display,
    hawthornmount_core::{
        config::{ColdStart, Service},
        id::{ServerId, ServiceId},
        table::Table,
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Window in which the requests at a cold server are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which a server that was not reached is taken as cold. Its entry lapses within three
/// heartbeats if it stays away, and states the remaining time within one list of the store otherwise.
const ABSENCE_TIME: Duration = Duration::from_secs(6);
/// Longest time that a server can state.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);

/// Why a server is taken as cold.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// Its entry in the store states it.
    #[display("entry")]
    Entry,
    /// A health answer states it.
    #[display("answer")]
    Answer,
    /// It was not reached, or broke off.
    #[display("absence")]
    Absence,
    /// The evacuation of its data centre has ended.
    #[display("evacuation")]
    Evacuation,
}

/// Requests that a cold server tolerates in a second, from the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tolerance {
    /// Multiple of the rate that it takes.
    pub overshoot: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl Tolerance {
    /// No request beyond the rate.
    pub const NONE: Self = Self { overshoot: 1.0, slack: 0.0 };
}

impl Default for Tolerance {
    fn default() -> Self {
        Self::NONE
    }
}

/// Until when a start of a server is cold, and the share of this instance.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// End of the time that the server stated last.
    stated_until: Option<Instant>,
    /// End of the time for which it is assumed.
    assumed_until: Option<Instant>,
    bound: Bound,
    pub(super) share: Option<Share>,
}

/// Beginning or end of a server's cold time, as this instance sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Time for which it remains cold; zero if it is warm.
    pub remaining: Duration,
    /// What a second may contain.
    pub requests: f64,
}

impl Cold {
    fn until(&self) -> Option<Instant> {
        self.stated_until.max(self.assumed_until)
    }

    /// Returns the time for which the server remains cold.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until().map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the time after which this instance may send a request to the server.
    pub fn wait(&self, last_pass: Option<Instant>, now: Instant) -> Duration {
        let remaining = self.remaining(now);
        match self.share {
            Some(share) => share.wait(last_pass, now).min(remaining),
            None => remaining.min(Duration::from_secs_f64(1.0 / self.bound.rate)),
        }
    }

    /// Returns how the rate is divided among a number of instances.
    pub fn division(&self, instances: usize) -> Division {
        Division::within(&self.bound, instances)
    }
}

impl Row {
    /// Returns what is known of the cold server, unless it is warm.
    pub(super) fn cold_at(&self, now: Instant) -> Option<Cold> {
        self.cold.filter(|cold| !cold.remaining(now).is_zero())
    }
}

impl Limits {
    /// Sets what cold servers take of each service that has cold servers.
    pub fn set_cold_starts(&mut self, services: &Table<Service>) {
        let start = |id: &ServiceId, service: &Service| Some((id.clone(), service.cold_start?));
        self.cold_starts = services.iter().filter_map(|row| start(&row.id, &row.value)).collect();
    }

    /// Sets what cold servers tolerate beyond their rates.
    pub const fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Records for how long a server states to remain cold, and returns the change of this instance's
    /// belief, if any.
    pub fn record_cold(
        &mut self,
        server: &Server,
        remaining: Duration,
        now: Instant,
    ) -> Option<Change> {
        let start = self.cold_start(&server.service)?;
        if remaining.is_zero() && self.position(&server.id, server.start_ms).is_err() {
            return None;
        }
        let until = now + remaining.min(MAX_COLD_TIME);
        self.change_cold(server, start, now, |cold| cold.stated_until = Some(until))
    }

    /// Records that a server may be cold although it did not state it.
    pub fn assume_cold(&mut self, server: &Server, cause: Cause, now: Instant) -> Option<Change> {
        let start = self.cold_start(&server.service)?;
        let time = if cause == Cause::Absence { ABSENCE_TIME } else { start.duration };
        let until = Some(now + time.min(MAX_COLD_TIME));
        self.change_cold(server, start, now, |cold| {
            cold.assumed_until = cold.assumed_until.max(until);
        })
    }

    /// Returns whether a server is taken as cold.
    pub fn is_cold(&self, server: &Server, now: Instant) -> bool {
        let at = self.position(&server.id, server.start_ms);
        at.is_ok_and(|at| self.rows[at].cold_at(now).is_some())
    }

    /// Forgets the cold times that are over, and returns their servers.
    pub fn take_warmed(&mut self, now: Instant) -> Vec<ServerId> {
        let is_over = |row: &&mut Row| row.cold.is_some() && row.cold_at(now).is_none();
        let over = self.rows.iter_mut().filter(is_over);
        let forget = |row: &mut Row| {
            row.cold = None;
            row.server.clone()
        };
        over.map(forget).collect()
    }

    /// Returns the number of servers that are taken as cold.
    pub fn count_cold(&self, now: Instant) -> usize {
        self.rows.iter().filter(|row| row.cold_at(now).is_some()).count()
    }

    /// Applies a function to what is known of a cold server, and returns the change of the belief: its
    /// beginning, or its end.
    fn change_cold(
        &mut self,
        server: &Server,
        start: ColdStart,
        now: Instant,
        apply: impl FnOnce(&mut Cold),
    ) -> Option<Change> {
        let at = self.add(&server.id, server.start_ms)?;
        let bound = Bound {
            rate: start.per_second,
            window: WINDOW,
            factor: self.tolerance.overshoot,
            slack: self.tolerance.slack,
        };
        let mut cold = self.rows[at].cold.unwrap_or(Cold {
            stated_until: None,
            assumed_until: None,
            bound,
            share: None,
        });
        let was_cold = !cold.remaining(now).is_zero();
        apply(&mut cold);
        self.rows[at].cold = Some(cold);
        let remaining = cold.remaining(now);
        if was_cold != remaining.is_zero() {
            return None;
        }
        self.divide_cold(at, !was_cold, now);
        Some(Change { remaining, requests: bound.requests() })
    }

    /// Sets the share of this instance in the rate of a cold server. `is_new` is whether the server was
    /// not cold before, so that no other instance uses a share of earlier members.
    pub(super) fn divide_cold(&mut self, at: usize, is_new: bool, now: Instant) {
        let row = &self.rows[at];
        let Some(cold) = row.cold else { return };
        let division = cold.division(self.members.len());
        let known = self.members_since.map(|since| since + super::TAKEOVER_TIME);
        let share = known.filter(|_| row.rank < division.holders).map(|known| {
            let from = match cold.share {
                Some(share) if !is_new => share.from,
                None if !is_new => now + super::TAKEOVER_TIME,
                _ => known,
            };
            Share { division, from }
        });
        self.rows[at].cold = Some(Cold { share, ..cold });
    }

    fn cold_start(&self, service: &str) -> Option<ColdStart> {
        let at = self.cold_starts.binary_search_by(|(known, _)| (**known).cmp(service)).ok()?;
        Some(self.cold_starts[at].1)
    }
}
