//! Pool of idle connections to servers.

use {
    hawthornmount_core::id::ServerId,
    hawthornmount_http::connection::Connection,
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Keep-alive time of a connection if the server states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time before the end of the server's keep-alive time from which a connection is no longer used,
/// so that a request is not sent while the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Longest time for which an idle connection is kept.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(300);
/// Largest number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 16;

struct Idle {
    connection: Connection,
    expires: Instant,
}

struct ServerConnections {
    server: ServerId,
    idle: Vec<Idle>,
}

/// Idle connections, sorted by the ids of their servers.
pub struct Pool {
    rows: Mutex<Vec<ServerConnections>>,
    /// Largest number of idle connections to all servers.
    max_idle: usize,
}

impl Pool {
    /// Creates a pool of at most `max_idle` connections.
    pub const fn new(max_idle: usize) -> Self {
        Self { rows: Mutex::new(Vec::new()), max_idle }
    }

    /// Takes the most recently used connection to a server, if there is one that can be reused.
    pub fn take(&self, server: &ServerId) -> Option<Connection> {
        let now = Instant::now();
        let mut rows = self.rows.lock();
        let at = rows.binary_search_by(|row| row.server.cmp(server)).ok()?;
        let idle = &mut rows[at].idle;
        while let Some(entry) = idle.pop() {
            if now < entry.expires && entry.connection.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response; `keep_alive` is the time that
    /// the server stated.
    pub fn put(&self, server: &ServerId, connection: Connection, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .min(MAX_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        let entry = Idle { connection, expires: Instant::now() + keep_alive };
        let mut rows = self.rows.lock();
        let at = match rows.binary_search_by(|row| row.server.cmp(server)) {
            Ok(at) => at,
            Err(at) => {
                rows.insert(at, ServerConnections { server: server.clone(), idle: Vec::new() });
                at
            }
        };
        let idle = &mut rows[at].idle;
        idle.push(entry);
        if idle.len() > MAX_IDLE_PER_SERVER {
            idle.remove(0);
        }
        if rows.iter().map(|row| row.idle.len()).sum::<usize>() > self.max_idle {
            remove_first_to_expire(&mut rows);
        }
    }

    /// Closes the idle connections to the servers for which `is_removed` is true.
    pub fn remove(&self, is_removed: impl Fn(&ServerId) -> bool) {
        self.rows.lock().retain(|row| !is_removed(&row.server));
    }

    /// Closes idle connections that have expired and those of servers for which `is_known` is
    /// false.
    pub fn sweep(&self, is_known: impl Fn(&ServerId) -> bool) {
        let now = Instant::now();
        let mut rows = self.rows.lock();
        for row in rows.iter_mut() {
            row.idle.retain(|entry| now < entry.expires && entry.connection.is_ready());
        }
        rows.retain(|row| !row.idle.is_empty() && is_known(&row.server));
    }
}

/// Closes the connection that expires before all others.
fn remove_first_to_expire(rows: &mut [ServerConnections]) {
    let first = rows
        .iter_mut()
        .flat_map(|row| {
            let idle = &row.idle;
            let at = (0..idle.len()).min_by_key(|at| idle[*at].expires)?;
            Some((idle[at].expires, at, row))
        })
        .min_by_key(|(expires, ..)| *expires);
    if let Some((_, at, row)) = first {
        row.idle.remove(at);
    }
}
