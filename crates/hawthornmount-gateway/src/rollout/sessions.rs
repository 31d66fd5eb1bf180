//! Assigns the requests of sessions to versions while a roll-out is under way.

use {
    super::{Phase, Split},
    hawthornmount_core::id::{RequestId, ServiceId, SessionId, VersionId},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Time after the start of its last request for which a session keeps its version. The longest
/// request of the users takes 25 s, and a session continues up to 6.5 s after the end of a request.
const SESSION_LIFETIME: Duration = Duration::from_secs(40);
/// Inactive sessions are removed whenever the number of rows reaches a multiple of this.
const SWEEP_INTERVAL_ROWS: usize = 512;

/// Factor by which the requests of the new version may exceed the share of the canary phase.
const MAX_EXCESS_FACTOR: f64 = 1.25;
/// Number of requests that the new version may get in addition.
const EXTRA_REQUESTS: f64 = 2.0;

/// Version that a request is sent to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Side {
    /// The version from before the roll-out.
    Old,
    /// The version that is rolled out.
    New,
}

#[derive(Clone, Debug)]
struct Row {
    key: u64,
    side: Side,
    last_request_at: Instant,
}

/// Versions of the recently active sessions, in order of the sessions' hashes.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    rows: Vec<Row>,
}

impl Sessions {
    /// Returns the version for a request of a session and remembers it. A session goes to the new
    /// version by its hash and the phase, so that every instance decides alike and no session
    /// returns to the old version unless the new one is rolled back.
    pub fn assign_side(&mut self, split: &Split, session: &SessionId, now: Instant) -> Side {
        let key = key(&split.service, session);
        let known = self.rows.binary_search_by(|row| row.key.cmp(&key));
        let active = known.ok().map(|at| &self.rows[at]).filter(|row| is_active(row, now));
        let side = match (split.phase, active.map(|row| row.side)) {
            (Phase::Canary | Phase::RolledBack, _) => Side::Old,
            (Phase::Full | Phase::Completed, _) | (_, Some(Side::New)) => Side::New,
            (Phase::Probe | Phase::Widening, _) => hashed_side(split, key),
        };
        self.assign(key, side, now);
        side
    }

    fn assign(&mut self, key: u64, side: Side, now: Instant) {
        match self.rows.binary_search_by(|row| row.key.cmp(&key)) {
            Ok(at) => self.rows[at] = Row { key, side, last_request_at: now },
            Err(at) => {
                self.rows.insert(at, Row { key, side, last_request_at: now });
                if self.rows.len().is_multiple_of(SWEEP_INTERVAL_ROWS) {
                    self.rows.retain(|row| is_active(row, now));
                }
            }
        }
    }
}

/// Versions of sessions, and number of requests that the new version of each service got at this
/// instance.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    /// Versions of the recently active sessions.
    pub sessions: Sessions,
    request_counts: Vec<RequestCount>,
}

/// Number of requests since this instance first saw a roll-out.
#[derive(Clone, Debug)]
struct RequestCount {
    service: ServiceId,
    version: VersionId,
    all: u32,
    new: u32,
}

impl Exposure {
    /// Returns the version for a request, given its id and its session, if it belongs to one.
    /// `is_first` is whether this is the request's first attempt, and `is_recent` whether the phase
    /// of the roll-out is known to be recent.
    pub fn assign_side(
        &mut self,
        split: &Split,
        id: &RequestId,
        session: Option<&SessionId>,
        is_first: bool,
        is_recent: bool,
        now: Instant,
    ) -> Side {
        let side = match session {
            Some(session) => self.sessions.assign_side(split, session, now),
            None => self.assign_single(split, id, is_recent),
        };
        if is_first {
            let request_count = self.request_count(split);
            request_count.all += 1;
            request_count.new += u32::from(side == Side::New);
        }
        side
    }

    /// Returns the version for a request that belongs to no session.
    fn assign_single(&mut self, split: &Split, id: &RequestId, is_recent: bool) -> Side {
        match split.phase {
            Phase::RolledBack => return Side::Old,
            Phase::Full | Phase::Completed => return Side::New,
            // The version may have been rolled back in the meantime.
            Phase::Canary | Phase::Probe | Phase::Widening if !is_recent => return Side::Old,
            Phase::Canary | Phase::Probe | Phase::Widening => {}
        }
        let count = self.request_count(split);
        let limit = split.share() * MAX_EXCESS_FACTOR * f64::from(count.all) + EXTRA_REQUESTS;
        if split.phase == Phase::Canary && f64::from(count.new) >= limit {
            return Side::Old;
        }
        hashed_side(split, key(&split.service, id))
    }

    fn request_count(&mut self, split: &Split) -> &mut RequestCount {
        let found = self
            .request_counts
            .iter()
            .position(|request_count| request_count.service == split.service);
        let at = found.unwrap_or_else(|| {
            self.request_counts.push(RequestCount::new(split));
            self.request_counts.len() - 1
        });
        if self.request_counts[at].version != split.version {
            self.request_counts[at] = RequestCount::new(split);
        }
        &mut self.request_counts[at]
    }
}

impl RequestCount {
    fn new(split: &Split) -> Self {
        Self { service: split.service.clone(), version: split.version.clone(), all: 0, new: 0 }
    }
}

fn is_active(row: &Row, now: Instant) -> bool {
    now < row.last_request_at + SESSION_LIFETIME
}

/// Returns the hash of a session, or of a request without one, of a service.
fn key(service: &ServiceId, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (service, id).hash(&mut hasher);
    hasher.finish()
}

/// Returns the version for a hash in the current phase.
fn hashed_side(split: &Split, key: u64) -> Side {
    if unit_fraction(key) < split.share() { Side::New } else { Side::Old }
}

/// Maps a hash to the range from 0 to 1.
fn unit_fraction(key: u64) -> f64 {
    key as f64 / u64::MAX as f64
}
