//! Registered servers and whether they accept new requests.

use {
    hawthornmount_core::id::{DataCentreId, ServerId, ServiceId, VersionId},
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time within which a server whose entry is missing after an outage of the store may register
/// again. The platform promises that entries of live servers are back about two seconds after the
/// store.
const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Intervals between heartbeats for which the store has to be away for an entry to lapse.
const LEAST_LAPSE_INTERVALS: f64 = 2.0;
/// Entries that each server writes right after an outage of the store.
const WRITES_AFTER_OUTAGE: f64 = 1.0;

/// Time after the store was restored from a copy in which a server that was gone before is not used
/// again. Entries of servers that no longer exist expire within it.
const RESTORED_ENTRY_HOLD: Duration = Duration::from_secs(6);
/// Number of servers that are remembered as gone.
const MAX_GONE: usize = 4_096;

/// Time in which an instance did not hear from the store.
#[derive(Clone, Copy, Debug)]
pub struct Interruption {
    /// Time since the last confirmation.
    pub time: Duration,
    /// Changes of the store in that time.
    pub changes: u64,
    /// Servers that write to the store.
    pub servers: usize,
}

impl Interruption {
    /// Returns whether entries of live servers may have lapsed during that time because the store was
    /// away; `heartbeat` is the interval at which servers write their entries. An entry lapses after
    /// three intervals, so the store must have been away for two at least. If only the links of this
    /// instance were cut, the servers went on writing, and each of them changes the store once an
    /// interval; after an outage they all write once at its end.
    pub fn may_hide_lapses(&self, heartbeat: Option<Duration>) -> bool {
        let Some(heartbeat) = heartbeat.filter(|interval| !interval.is_zero()) else { return true };
        let intervals = self.time.as_secs_f64() / heartbeat.as_secs_f64();
        let written = self.changes as f64 / self.servers.max(1) as f64;
        intervals - (written - WRITES_AFTER_OUTAGE).max(0.0) >= LEAST_LAPSE_INTERVALS
    }
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Server as described by its entry in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Name of the server.
    pub id: ServerId,
    /// Unix time in milliseconds at which the server started. A later time under the same name
    /// means that the server was restarted and has lost its state.
    pub start_ms: u64,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Version of the server's software.
    pub version: VersionId,
    /// Number of requests that can run at a time.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub readiness: Readiness,
    /// Time for which the server remains cold, as of its entry.
    pub cold_remaining: Duration,
}

/// A registered server.
#[derive(Clone, Debug)]
struct Row {
    server: Arc<Server>,
    /// When the entry was first found missing after an outage of the store.
    missing_since: Option<Instant>,
    /// Until when the server is not used, because it was gone before the store was restored.
    held_until: Option<Instant>,
}

/// Registered servers in order of their names.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    rows: Vec<Row>,
    /// Names and start times of removed servers, the last one last.
    gone: VecDeque<(ServerId, u64)>,
    /// When the store was last restored from a copy.
    restored_at: Option<Instant>,
}

impl Registry {
    /// Adds or replaces a server. A draining server remains draining until it is restarted.
    pub fn put(&mut self, mut server: Server, now: Instant) {
        let held_until = self.hold(&server, now);
        match self.position(&server.id) {
            Ok(at) => {
                let known = &self.rows[at].server;
                if known.start_ms == server.start_ms {
                    match known.readiness {
                        Readiness::Draining => server.readiness = Readiness::Draining,
                        Readiness::Ready => log_drain(&server),
                    }
                }
                self.rows[at] = Row { server: Arc::new(server), missing_since: None, held_until };
            }
            Err(at) => {
                let row = Row { server: Arc::new(server), missing_since: None, held_until };
                self.rows.insert(at, row);
            }
        }
    }

    /// Returns until when a server is not used because its entry may be that of a server that was
    /// gone before the store was restored.
    fn hold(&self, server: &Server, now: Instant) -> Option<Instant> {
        let until = self.restored_at.map(|at| at + RESTORED_ENTRY_HOLD).filter(|at| now < *at)?;
        let is_gone =
            self.gone.iter().any(|(id, start_ms)| *id == server.id && *start_ms == server.start_ms);
        is_gone.then_some(until)
    }

    /// Prepares for the entries of a store that was restored from a copy.
    pub fn begin_era(&mut self, now: Instant) {
        self.restored_at = Some(now);
    }

    /// Removes a server whose entry was deleted.
    pub fn remove(&mut self, id: &str) {
        if let Ok(at) = self.position(id) {
            let row = self.rows.remove(at);
            self.remember_gone([row.server]);
        }
    }

    fn remember_gone(&mut self, servers: impl IntoIterator<Item = Arc<Server>>) {
        for server in servers {
            log::info!("server is gone; server={} service={}", server.id, server.service);
            self.gone.push_back((server.id.clone(), server.start_ms));
            if self.gone.len() > MAX_GONE {
                self.gone.pop_front();
            }
        }
    }

    /// Removes the rows for which `is_kept` is false, and returns whether there were any.
    fn retain(&mut self, is_kept: impl Fn(&Row) -> bool) -> bool {
        let (kept, removed): (Vec<Row>, Vec<Row>) = self.rows.drain(..).partition(is_kept);
        self.rows = kept;
        let is_changed = !removed.is_empty();
        self.remember_gone(removed.into_iter().map(|row| row.server));
        is_changed
    }

    /// Removes servers that are missing from a complete list of names. If the store was unreachable
    /// before the list (`was_store_unreachable`), they are removed only after a grace period,
    /// because their entries may have expired during the outage.
    pub fn retain_listed(
        &mut self,
        present: &[ServerId],
        was_store_unreachable: bool,
        now: Instant,
    ) {
        let is_present = |row: &Row| present.binary_search(&row.server.id).is_ok();
        if was_store_unreachable {
            for row in self.rows.iter_mut().filter(|row| !is_present(row)) {
                row.missing_since.get_or_insert(now);
            }
        } else {
            self.retain(|row| is_present(row) || row.missing_since.is_some());
        }
    }

    /// Removes servers whose grace period has ended, uses those whose hold has ended, and returns
    /// whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut is_changed = false;
        for row in self.rows.iter_mut().filter(|row| row.held_until.is_some_and(|at| now >= at)) {
            row.held_until = None;
            is_changed = true;
        }
        let is_in_grace =
            |row: &Row| row.missing_since.is_none_or(|at| now < at + REREGISTRATION_GRACE);
        self.retain(is_in_grace) || is_changed
    }

    /// Returns when the grace period of the next missing server, or the next hold, ends.
    pub fn next_expiry(&self) -> Option<Instant> {
        let ends = |row: &Row| {
            let grace_end = row.missing_since.map(|at| at + REREGISTRATION_GRACE);
            grace_end.into_iter().chain(row.held_until).min()
        };
        self.rows.iter().filter_map(ends).min()
    }

    /// Returns the servers that may be used, in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.rows.iter().filter(|row| row.held_until.is_none()).map(|row| &row.server)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.server.id).cmp(id))
    }
}

/// Logs that a known server is draining, if it is.
fn log_drain(server: &Server) {
    if server.readiness == Readiness::Draining {
        log::info!("server is draining; server={} service={}", server.id, server.service);
    }
}
