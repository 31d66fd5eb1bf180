//! Servers that have registered, and what is known of their leaving.

use {
    hawthornmount_core::id::{DataCentreId, ServerId, ServiceId, VersionId},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which a server that is missing after the store's return may still register again. The
/// platform promises live servers' entries about two seconds after its return.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
}

/// A server as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Name of the server.
    pub id: ServerId,
    /// Milliseconds of the Unix time at which the server started; a later one under the same name
    /// is another life that knows nothing of the one before.
    pub start_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub readiness: Readiness,
}

/// A registered server.
#[derive(Clone, Debug)]
struct Row {
    server: Arc<Server>,
    /// When the entry was found missing after the store had been away.
    missing: Option<Instant>,
}

/// Registered servers in order of their names.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    rows: Vec<Row>,
}

impl Registry {
    /// Takes a server's entry. A server that was leaving stays so for the rest of its life.
    pub fn put(&mut self, mut server: Server) {
        match self.position(&server.id) {
            Ok(at) => {
                let known = &self.rows[at].server;
                if known.readiness == Readiness::Draining && known.start_ms == server.start_ms {
                    server.readiness = Readiness::Draining;
                }
                self.rows[at] = Row { server: Arc::new(server), missing: None };
            }
            Err(at) => self.rows.insert(at, Row { server: Arc::new(server), missing: None }),
        }
    }

    /// Removes a server whose entry is gone.
    pub fn remove(&mut self, id: &str) {
        if let Ok(at) = self.position(id) {
            self.rows.remove(at);
        }
    }

    /// Takes a whole list of names. Servers that are missing from it are gone at once, or after a
    /// grace if the store was `away` when they were first missed, because entries may have lapsed
    /// meanwhile.
    pub fn keep_only(&mut self, present: &[ServerId], away: bool, now: Instant) {
        let is_present = |row: &Row| present.binary_search(&row.server.id).is_ok();
        if away {
            for row in self.rows.iter_mut().filter(|row| !is_present(row)) {
                row.missing.get_or_insert(now);
            }
        } else {
            self.rows.retain(|row| is_present(row) || row.missing.is_some());
        }
    }

    /// Removes servers that were missing for longer than the grace and tells whether any was.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.rows.len();
        let is_kept = |row: &Row| row.missing.is_none_or(|at| now < at + LAPSE_GRACE);
        self.rows.retain(is_kept);
        self.rows.len() < before
    }

    /// Returns when the next missing server's grace ends.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.rows.iter().filter_map(|row| row.missing).min().map(|at| at + LAPSE_GRACE)
    }

    /// Returns the servers in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.rows.iter().map(|row| &row.server)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.server.id).cmp(id))
    }
}
