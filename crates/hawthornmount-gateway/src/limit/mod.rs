//! Limits that servers state in their answers: on the rate of requests, and on rejections.
//!
//! A server in need states how many requests a second it takes from the whole fleet. The statement
//! belongs to one start of the server, and an answer without one ends it. Answers overtake each
//! other, so statements are ordered by the times at which their requests were sent.
//!
//! The limit is divided among some instances ([`share`]), and every request passes [`Limits::pass`]
//! right before it is handed to the server, whatever its reason. Instances that don't hold a share
//! send nothing there, so they learn changes from the store ([`exchange`]).
//!
//! A server that is cold takes a lower rate for some seconds ([`cold`]), which is divided in the same
//! way.
//!
//! A server that is brittle falls over if it has to reject too many requests in a second. Those in
//! flight at it are limited over the fleet ([`room`]).

mod brittle;
pub mod cold;
pub mod exchange;
pub mod monitor;
pub mod room;
pub mod share;
mod statement;

pub use statement::{Change, Rate, Statement};

use {
    crate::registry::Server,
    hawthornmount_core::{
        config::ColdStart,
        id::{InstanceId, ServerId, ServiceId},
    },
    hawthornmount_fleet::role,
    share::Division,
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Limits that are remembered.
const MAX_ROWS: usize = 4_096;
/// Time after which an instance uses a share that another one held before: until that one knows, and
/// its last requests are out of the window.
const TAKEOVER_TIME: Duration = Duration::from_secs(7);
/// Age of the last own statement from which the server is preferred, to learn whether it still has a
/// limit.
const LOOK_AGE: Duration = Duration::from_secs(5);

/// What is known about the limit of one start of a server.
#[derive(Clone, Debug)]
struct Row {
    server: ServerId,
    /// Unix time in milliseconds at which the server started.
    start_ms: u64,
    /// The last statement that an answer to this instance contained.
    own: Option<Statement>,
    /// What the store says, since when.
    shared: Option<Statement>,
    /// Number of members that come before this instance in the order for the server.
    rank: usize,
    /// Share of this instance.
    share: Option<Share>,
    /// When this instance last sent a request to the server.
    last_pass: Option<Instant>,
    /// Whether the limit was divided since the server stated one.
    is_divided: bool,
    /// Until when the server is cold, which limits it in addition to what it states.
    cold: Option<cold::Cold>,
    exchange: exchange::Progress,
}

/// Share of a limit that this instance holds.
#[derive(Clone, Copy, Debug)]
struct Share {
    division: Division,
    /// Time from which it is used.
    from: Instant,
}

/// Limits of servers, in order of their names and starts.
#[derive(Clone, Debug)]
pub struct Limits {
    own: InstanceId,
    /// Known instances; empty until this one is among them.
    members: Vec<InstanceId>,
    /// When the members became known.
    members_since: Option<Instant>,
    rows: Vec<Row>,
    /// What cold servers take, for each service that has them, in order of their ids.
    cold_starts: Vec<(ServiceId, ColdStart)>,
    tolerance: cold::Tolerance,
    /// Services whose servers are brittle, in order of their ids.
    services: Vec<brittle::Service>,
    /// Brittle servers, in order of their names.
    brittle: Vec<brittle::Row>,
}

impl Limits {
    /// Creates the limits of the instance `own`, without any.
    pub const fn new(own: InstanceId) -> Self {
        Self {
            own,
            members: Vec::new(),
            members_since: None,
            rows: Vec::new(),
            cold_starts: Vec::new(),
            tolerance: cold::Tolerance::NONE,
            services: Vec::new(),
            brittle: Vec::new(),
        }
    }

    /// Sets the instances among which limits are divided.
    pub fn set_members(&mut self, members: Vec<InstanceId>, now: Instant) {
        if members == self.members {
            return;
        }
        self.members = members;
        self.members_since.get_or_insert(now);
        for at in 0..self.rows.len() {
            self.rows[at].rank = self.rank(&self.rows[at]);
            self.divide(at, now);
            self.divide_cold(at, false, now);
        }
        self.rank_brittle();
    }

    /// Records what an answer of a server states: a limit, or none. `sent_at` is when its request was
    /// sent. Returns the change if the limit in force changes.
    pub fn record_answer(
        &mut self,
        server: &ServerId,
        start_ms: u64,
        rate: Option<Rate>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if rate.is_none() && self.position(server, start_ms).is_err() {
            return None;
        }
        let at = self.add(server, start_ms)?;
        let before = self.rows[at].rate();
        let row = &mut self.rows[at];
        if row.own.is_none_or(|known| known.at <= sent_at) {
            row.own = Some(Statement { rate, at: sent_at });
            row.last_pass = row.last_pass.max(Some(sent_at));
        }
        self.apply(at, before, now)
    }

    /// Returns the limit of a server that started at `start_ms`, if it states one.
    pub fn rate(&self, server: &str, start_ms: u64) -> Option<Rate> {
        let at = self.position(server, start_ms).ok()?;
        self.rows[at].rate()
    }

    /// Returns the time after which this instance may send a request to a server. An instance that
    /// holds no share gets the time after which one of the others may.
    pub fn wait(&self, server: &str, start_ms: u64, now: Instant) -> Duration {
        let Ok(at) = self.position(server, start_ms) else { return Duration::ZERO };
        let row = &self.rows[at];
        let stated = match (row.rate(), row.share) {
            (None, _) => Duration::ZERO,
            (Some(_), Some(share)) => share.wait(row.last_pass, now),
            (Some(rate), None) => Duration::from_secs_f64(1.0 / rate),
        };
        stated.max(row.cold.map_or(Duration::ZERO, |cold| cold.wait(row.last_pass, now)))
    }

    /// Returns whether this instance may send a request to a server now, and counts it.
    pub fn pass(&mut self, server: &str, start_ms: u64, now: Instant) -> bool {
        let Ok(at) = self.position(server, start_ms) else { return true };
        if !self.wait(server, start_ms, now).is_zero() {
            return false;
        }
        self.rows[at].last_pass = Some(now);
        true
    }

    /// Returns whether a request should be sent to a server to learn whether it still has its limit.
    pub fn needs_look(&self, server: &str, start_ms: u64, now: Instant) -> bool {
        let Ok(at) = self.position(server, start_ms) else { return false };
        let row = &self.rows[at];
        let is_old = row.own.is_none_or(|own| now >= own.at + LOOK_AGE);
        row.rate().is_some() && is_old && self.wait(server, start_ms, now).is_zero()
    }

    /// Returns whether this instance may ever send a request to a server under its limits.
    pub fn holds_share(&mut self, server: &Server, now: Instant) -> bool {
        let has_rate = match self.position(&server.id, server.start_ms) {
            Ok(at) => {
                let row = &self.rows[at];
                (row.rate().is_none() || row.share.is_some())
                    && row.cold_at(now).is_none_or(|cold| cold.share.is_some())
            }
            Err(_) => true,
        };
        has_rate && self.holds_slot(server, now)
    }

    /// Returns whether a server has a limit.
    pub fn is_limited(&self, server: &Server, now: Instant) -> bool {
        self.rate(&server.id, server.start_ms).is_some()
            || self.is_cold(server, now)
            || self.is_brittle(&server.service, now)
    }

    /// Returns the instances that hold a share of the limits of a server.
    pub fn holders(&self, server: &Server, now: Instant) -> Vec<InstanceId> {
        let instances = self.members.len();
        let first = |count: usize, name: &str| {
            let (role, mut members) = (role_for(name), self.members.clone());
            members.sort_by_cached_key(|member| Reverse(role::place(member, &role)));
            members.truncate(count);
            members
        };
        let start = name_of_start(&server.id, server.start_ms);
        let row = self.position(&server.id, server.start_ms).ok().map(|at| &self.rows[at]);
        if let Some(cold) = row.and_then(|row| row.cold_at(now)) {
            return first(cold.division(instances).holders, &start);
        }
        match self.rate(&server.id, server.start_ms) {
            Some(rate) => first(Division::new(rate, instances).holders, &start),
            None if self.is_brittle(&server.service, now) => {
                first(instances.min(server.slots as usize), &server.id)
            }
            None => self.members.clone(),
        }
    }

    /// Returns the number of servers with a limit.
    pub fn count(&self) -> usize {
        self.rows.iter().filter(|row| row.rate().is_some()).count()
    }

    /// Removes the limits of servers for which `is_known` is false, given their names and starts, once
    /// the store does not hold them any more.
    pub fn retain(&mut self, is_known: impl Fn(&str, u64) -> bool, now: Instant) {
        self.rows.retain_mut(|row| {
            let is_known = is_known(&row.server, row.start_ms);
            row.exchange.record_server(is_known, now);
            is_known || row.cold_at(now).is_some() || row.exchange.is_written()
        });
    }

    /// Returns the row of a server, which is added if there is room.
    fn add(&mut self, server: &ServerId, start_ms: u64) -> Option<usize> {
        match self.position(server, start_ms) {
            Ok(at) => Some(at),
            Err(_) if self.rows.len() >= MAX_ROWS => None,
            Err(at) => {
                let mut row = Row {
                    server: server.clone(),
                    start_ms,
                    own: None,
                    shared: None,
                    rank: 0,
                    share: None,
                    last_pass: None,
                    is_divided: false,
                    cold: None,
                    exchange: exchange::Progress::default(),
                };
                row.rank = self.rank(&row);
                self.rows.insert(at, row);
                Some(at)
            }
        }
    }

    /// Divides the limit of a row again if it is not `before` any more, and returns the change.
    fn apply(&mut self, at: usize, before: Option<Rate>, now: Instant) -> Option<Change> {
        let after = self.rows[at].rate();
        if before == after {
            return None;
        }
        self.divide(at, now);
        Some(Change { before, after })
    }

    /// Sets the share of this instance in the limit of a row.
    fn divide(&mut self, at: usize, now: Instant) {
        let row = &self.rows[at];
        let division = row.rate().map(|rate| Division::new(rate, self.members.len()));
        let share = division.filter(|one| self.members_since.is_some() && row.rank < one.holders);
        // A share that is new to this instance may be in use at another one.
        let known = self.members_since.map_or(now, |since| since + TAKEOVER_TIME);
        let from = match row.share {
            Some(share) => share.from,
            None if !row.is_divided => known,
            None => now + TAKEOVER_TIME,
        };
        let row = &mut self.rows[at];
        row.share = share.map(|division| Share { division, from });
        row.is_divided = division.is_some();
    }

    /// Returns the number of members that come before this instance in the order for a server.
    fn rank(&self, row: &Row) -> usize {
        self.rank_for(&name_of_start(&row.server, row.start_ms))
    }

    /// Returns the number of members that come before this instance in the order for something.
    fn rank_for(&self, name: &str) -> usize {
        let role = role_for(name);
        let own = role::place(&self.own, &role);
        self.members.iter().filter(|member| role::place(member, &role) > own).count()
    }

    fn position(&self, server: &str, start_ms: u64) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (&*row.server, row.start_ms).cmp(&(server, start_ms)))
    }
}

/// Returns the role for which the instances are ordered that divide the limit of something.
fn role_for(name: &str) -> String {
    format!("limit/{name}")
}

/// Returns the name of the start of a server in the orders of the instances.
fn name_of_start(server: &str, start_ms: u64) -> String {
    format!("{server}/{start_ms}")
}

impl Row {
    /// Returns the limit in force: the later of what the server stated and what the store says.
    fn rate(&self) -> Option<Rate> {
        let latest = self.own.into_iter().chain(self.shared).max_by_key(|one| one.at);
        latest.and_then(|latest| latest.rate)
    }
}

impl Share {
    /// Returns the time until the next request.
    fn wait(&self, last_pass: Option<Instant>, now: Instant) -> Duration {
        let next = last_pass.map_or(self.from, |last| self.from.max(last + self.division.interval));
        next.saturating_duration_since(now)
    }
}
