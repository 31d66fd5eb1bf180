//! Which version a session's requests go to while a roll-out is under way.

use {
    super::{Phase, Split},
    hawthornmount_core::id::{ServiceId, SessionId, VersionId},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Time after the beginning of its last request for which a session keeps its version: the longest
/// request of the users takes 25 s, and a session goes on for up to 6.5 s after its end.
const SESSION_LIFE: Duration = Duration::from_secs(40);
/// Entries after which old ones are dropped.
const SWEEP_AT: usize = 512;

/// How far the requests of the new version may exceed the phase's share of the sessions, because
/// sessions differ in size.
const HEADROOM: f64 = 1.25;
/// Requests that the new version may get besides.
const FREE: f64 = 2.0;

/// Which of two versions gets a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The version before the roll-out.
    Old,
    /// The version that is rolled out.
    New,
}

#[derive(Clone, Debug)]
struct Row {
    key: u64,
    side: Side,
    seen: Instant,
}

/// Versions of the sessions that were active lately, in order of their hashes.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    rows: Vec<Row>,
}

impl Sessions {
    /// Returns the side of a request and keeps it for its session. A session without a side gets
    /// one by its hash, so that every instance decides alike.
    pub fn side(
        &mut self,
        split: &Split,
        session: &SessionId,
        may_expose: bool,
        now: Instant,
    ) -> Side {
        let key = key(&split.service, session);
        let known = self.rows.binary_search_by(|row| row.key.cmp(&key));
        let last = known.ok().map(|at| &self.rows[at]).filter(|row| is_active(row, now));
        let drawn = if point(key) < split.share() { Side::New } else { Side::Old };
        let side = match (split.phase, last.map(|row| row.side)) {
            (Phase::RolledBack, _) => Side::Old,
            (Phase::Full | Phase::Completed, _) | (_, Some(Side::New)) => Side::New,
            (Phase::Canary, Some(Side::Old)) => Side::Old,
            _ if !may_expose => Side::Old,
            _ => drawn,
        };
        self.keep(key, side, now);
        side
    }

    /// Keeps that a session's request went to the old version, while no roll-out is under way.
    pub fn assign_old(&mut self, service: &ServiceId, session: &SessionId, now: Instant) {
        self.keep(key(service, session), Side::Old, now);
    }

    fn keep(&mut self, key: u64, side: Side, now: Instant) {
        match self.rows.binary_search_by(|row| row.key.cmp(&key)) {
            Ok(at) => self.rows[at] = Row { key, side, seen: now },
            Err(at) => {
                self.rows.insert(at, Row { key, side, seen: now });
                if self.rows.len().is_multiple_of(SWEEP_AT) {
                    self.rows.retain(|row| is_active(row, now));
                }
            }
        }
    }
}

/// Sessions, and how many requests the new version of each service got here.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    /// Versions of sessions.
    pub sessions: Sessions,
    meters: Vec<Meter>,
}

/// Requests since a roll-out was first seen here.
#[derive(Clone, Debug)]
struct Meter {
    service: ServiceId,
    version: VersionId,
    all: u32,
    new: u32,
}

impl Exposure {
    /// Returns the side of a request; `is_first` tells whether it is the request's first attempt,
    /// and `is_recent` whether the roll-out's phase is known to be recent.
    pub fn side(
        &mut self,
        split: &Split,
        session: &SessionId,
        is_first: bool,
        is_recent: bool,
        now: Instant,
    ) -> Side {
        if !is_recent && !split.phase.is_over() {
            // The version may have been rolled back meanwhile.
            return Side::Old;
        }
        let meter = self.meter(split);
        let limit = split.share() * HEADROOM * f64::from(meter.all) + FREE;
        // Later phases must not send a session back that another instance has moved.
        let has_room = split.phase > Phase::Canary || f64::from(meter.new) < limit;
        let side = self.sessions.side(split, session, has_room, now);
        if is_first {
            let meter = self.meter(split);
            meter.all += 1;
            meter.new += u32::from(side == Side::New);
        }
        side
    }

    fn meter(&mut self, split: &Split) -> &mut Meter {
        let found = self.meters.iter().position(|meter| meter.service == split.service);
        let at = found.unwrap_or_else(|| {
            self.meters.push(Meter::new(split));
            self.meters.len() - 1
        });
        if self.meters[at].version != split.version {
            self.meters[at] = Meter::new(split);
        }
        &mut self.meters[at]
    }
}

impl Meter {
    fn new(split: &Split) -> Self {
        Self { service: split.service.clone(), version: split.version.clone(), all: 0, new: 0 }
    }
}

fn is_active(row: &Row, now: Instant) -> bool {
    now < row.seen + SESSION_LIFE
}

fn key(service: &ServiceId, session: &SessionId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (service, session).hash(&mut hasher);
    hasher.finish()
}

/// Returns the place of a hash on a line from 0 to 1.
fn point(key: u64) -> f64 {
    key as f64 / u64::MAX as f64
}
