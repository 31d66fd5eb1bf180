//! Rate limits that servers state in their answers.
//!
//! A server in need states how many requests a second it takes from the whole fleet. The statement
//! belongs to one start of the server, and an answer without one ends it. Answers overtake each
//! other, so statements are ordered by the times at which their requests were sent.

pub mod monitor;
mod statement;

pub use statement::{Change, Rate, Statement};

use {
    hawthornmount_core::id::ServerId,
    std::{sync::Arc, time::Instant},
};

/// Limits that are remembered.
const MAX_ROWS: usize = 4_096;

/// What is known about the limit of one start of a server.
#[derive(Clone, Debug)]
struct Row {
    server: ServerId,
    /// Unix time in milliseconds at which the server started.
    start_ms: u64,
    /// The last statement that an answer to this instance contained.
    own: Option<Statement>,
}

/// Limits of servers, in order of their names and starts.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    rows: Vec<Row>,
}

impl Limits {
    /// Records what an answer of a server states: a limit, or none. `sent_at` is when its request was
    /// sent. Returns the change if the limit in force changes.
    pub fn record_answer(
        &mut self,
        server: &ServerId,
        start_ms: u64,
        rate: Option<Rate>,
        sent_at: Instant,
    ) -> Option<Change> {
        if rate.is_none() && self.position(server, start_ms).is_err() {
            return None;
        }
        let row = self.row(server, start_ms)?;
        let before = row.rate();
        if row.own.is_none_or(|known| known.at <= sent_at) {
            row.own = Some(Statement { rate, at: sent_at });
        }
        let after = row.rate();
        (before != after).then_some(Change { before, after })
    }

    /// Returns the limit of a server that started at `start_ms`, if it states one.
    pub fn rate(&self, server: &str, start_ms: u64) -> Option<Rate> {
        let at = self.position(server, start_ms).ok()?;
        self.rows[at].rate()
    }

    /// Returns the number of servers with a limit.
    pub fn count(&self) -> usize {
        self.rows.iter().filter(|row| row.rate().is_some()).count()
    }

    /// Removes the limits of servers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.rows.retain(|row| is_known(&row.server));
    }

    /// Returns the row of a server, which is added if there is room.
    fn row(&mut self, server: &ServerId, start_ms: u64) -> Option<&mut Row> {
        match self.position(server, start_ms) {
            Ok(at) => Some(&mut self.rows[at]),
            Err(_) if self.rows.len() >= MAX_ROWS => None,
            Err(at) => {
                self.rows.insert(at, Row { server: server.clone(), start_ms, own: None });
                Some(&mut self.rows[at])
            }
        }
    }

    fn position(&self, server: &str, start_ms: u64) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (&*row.server, row.start_ms).cmp(&(server, start_ms)))
    }
}

impl Row {
    /// Returns the limit in force.
    fn rate(&self) -> Option<Rate> {
        self.own.and_then(|own| own.rate)
    }
}
