//! Connections to servers that are kept for the next request.

use {
    hawthornmount_core::id::ServerId,
    hawthornmount_http::connection::Connection,
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Time for which a connection is kept if the server names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Time before the server's own bound at which a connection is no longer used, so that a request
/// does not cross the server's close.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept for one server.
const MAX_IDLE: usize = 16;

struct Idle {
    connection: Connection,
    until: Instant,
}

struct Row {
    server: ServerId,
    idle: Vec<Idle>,
}

/// Idle connections in order of their servers' names.
#[derive(Default)]
pub struct Pool {
    rows: Mutex<Vec<Row>>,
}

impl Pool {
    /// Takes the connection to a server that was used last, if one can be used again.
    pub fn take(&self, server: &ServerId) -> Option<Connection> {
        let now = Instant::now();
        let mut rows = self.rows.lock();
        let at = rows.binary_search_by(|row| row.server.cmp(server)).ok()?;
        let idle = &mut rows[at].idle;
        while let Some(one) = idle.pop() {
            if now < one.until && one.connection.is_ready() {
                return Some(one.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was whole, for `keeps` if the server names a time.
    pub fn put(&self, server: &ServerId, connection: Connection, keeps: Option<Duration>) {
        let keeps = keeps.unwrap_or(DEFAULT_KEEP).saturating_sub(KEEP_MARGIN);
        let one = Idle { connection, until: Instant::now() + keeps };
        let mut rows = self.rows.lock();
        let at = match rows.binary_search_by(|row| row.server.cmp(server)) {
            Ok(at) => at,
            Err(at) => {
                rows.insert(at, Row { server: server.clone(), idle: Vec::new() });
                at
            }
        };
        let idle = &mut rows[at].idle;
        idle.push(one);
        if idle.len() > MAX_IDLE {
            idle.remove(0);
        }
    }

    /// Closes idle connections that are too old and those of servers for which `is_known` is false.
    pub fn sweep(&self, is_known: impl Fn(&ServerId) -> bool) {
        let now = Instant::now();
        let mut rows = self.rows.lock();
        for row in rows.iter_mut() {
            row.idle.retain(|one| now < one.until && one.connection.is_ready());
        }
        rows.retain(|row| !row.idle.is_empty() && is_known(&row.server));
    }
}
