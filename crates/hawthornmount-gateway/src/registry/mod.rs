//! Registered servers and whether they accept new requests.

use {
    hawthornmount_core::id::{DataCentreId, ServerId, ServiceId, VersionId},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time within which a server whose entry is missing after an outage of the store may register
/// again. The platform promises that entries of live servers are back about two seconds after the
/// store.
const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

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
}

/// A registered server.
#[derive(Clone, Debug)]
struct Row {
    server: Arc<Server>,
    /// When the entry was first found missing after an outage of the store.
    missing_since: Option<Instant>,
}

/// Registered servers in order of their names.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    rows: Vec<Row>,
}

impl Registry {
    /// Adds or replaces a server. A draining server remains draining until it is restarted.
    pub fn put(&mut self, mut server: Server) {
        match self.position(&server.id) {
            Ok(at) => {
                let known = &self.rows[at].server;
                if known.readiness == Readiness::Draining && known.start_ms == server.start_ms {
                    server.readiness = Readiness::Draining;
                }
                self.rows[at] = Row { server: Arc::new(server), missing_since: None };
            }
            Err(at) => self.rows.insert(at, Row { server: Arc::new(server), missing_since: None }),
        }
    }

    /// Removes a server whose entry was deleted.
    pub fn remove(&mut self, id: &str) {
        if let Ok(at) = self.position(id) {
            self.rows.remove(at);
        }
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
            self.rows.retain(|row| is_present(row) || row.missing_since.is_some());
        }
    }

    /// Removes servers whose grace period has ended, and returns whether any was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let count_before = self.rows.len();
        let is_in_grace =
            |row: &Row| row.missing_since.is_none_or(|at| now < at + REREGISTRATION_GRACE);
        self.rows.retain(is_in_grace);
        self.rows.len() < count_before
    }

    /// Returns when the grace period of the next missing server ends.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.rows
            .iter()
            .filter_map(|row| row.missing_since)
            .min()
            .map(|at| at + REREGISTRATION_GRACE)
    }

    /// Returns the servers in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.rows.iter().map(|row| &row.server)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.server.id).cmp(id))
    }
}
