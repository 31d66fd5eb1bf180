//! Exchange of limits through the store.
//!
//! Load: one server states a limit, and hundreds of instances that send nothing there have to know
//! when it changes or ends. An instance whose own statement is newer than the store writes it; those
//! that come first in the order for the server write first, so that most of the others find it
//! written. A key exists as long as the server states a limit.

use {
    super::{Change, Limits, Rate, Row, Statement},
    derive_more::Display,
    hawthornmount_core::id::{Revision, ServerId},
    hawthornmount_store::Txn,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Key prefix of the limits.
pub const PREFIX: &str = "hawthornmount/limit/";
/// Time by which an instance writes later than the one before it in the order.
const RANK_DELAY: Duration = Duration::from_millis(200);
/// Time after a write in which a list of the store may still show the value before.
const LIST_DELAY: Duration = Duration::from_secs(3);
/// Part of a limit by which it has to change to be written again.
const LEAST_CHANGE: f64 = 0.05;
/// Time after which the key of a server that is gone is deleted.
const GONE_TIME: Duration = Duration::from_secs(60);

/// Key of the limit of one start of a server.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{PREFIX}{server}/{start_ms}")]
pub struct Key {
    /// The server.
    pub server: ServerId,
    /// Unix time in milliseconds at which it started.
    pub start_ms: u64,
}

/// Value of a key.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Requests a second that it takes from the whole fleet.
    pub rate: Rate,
}

/// Value of a key and its revision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stored {
    /// The value.
    pub record: Record,
    /// The revision.
    pub revision: Revision,
}

/// Progress of the exchange of one limit.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Revision of the key, if it exists.
    revision: Option<Revision>,
    /// Since when the store differs from the own statement.
    differs_since: Option<Instant>,
    written_at: Option<Instant>,
    /// Since when the server is unknown.
    gone_since: Option<Instant>,
}

impl Key {
    /// Parses a key of the store; returns `None` if it is not that of a limit.
    pub fn parse(text: &str) -> Option<Self> {
        let (server, start_ms) = text.strip_prefix(PREFIX)?.rsplit_once('/')?;
        Some(Self { server: server.into(), start_ms: start_ms.parse().ok()? })
    }
}

impl Progress {
    /// Records whether the server is known.
    pub fn record_server(&mut self, is_known: bool, now: Instant) {
        self.gone_since = if is_known { None } else { self.gone_since.or(Some(now)) };
    }

    /// Returns whether the store holds the limit.
    pub const fn is_written(&self) -> bool {
        self.revision.is_some()
    }
}

impl Limits {
    /// Takes the value of a key, and returns the change if the limit in force changes.
    pub fn put(&mut self, key: &Key, stored: Stored, now: Instant) -> Option<Change> {
        let at = self.add(&key.server, key.start_ms)?;
        let before = self.rows[at].rate();
        let row = &mut self.rows[at];
        row.exchange.revision = Some(stored.revision);
        row.shared = Some(Statement { rate: Some(stored.record.rate), at: now });
        self.apply(at, before, now)
    }

    /// Applies a complete list of keys, given whether it contains a key, and returns the changes of the
    /// limits in force.
    pub fn retain_listed(
        &mut self,
        is_listed: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<(Key, Change)> {
        let mut changes = Vec::new();
        for at in 0..self.rows.len() {
            let key = self.rows[at].key();
            if !self.rows[at].exchange.is_written() || is_listed(&key.to_string()) {
                continue;
            }
            let before = self.rows[at].rate();
            self.rows[at].exchange.revision = None;
            self.rows[at].shared = Some(Statement { rate: None, at: now });
            changes.extend(self.apply(at, before, now).map(|change| (key, change)));
        }
        changes
    }

    /// Returns the writes that are due.
    pub fn take_writes(&mut self, now: Instant) -> Vec<Txn> {
        if self.members_since.is_none() {
            return Vec::new();
        }
        self.rows.iter_mut().filter_map(|row| row.take_write(now)).collect()
    }
}

impl Row {
    fn key(&self) -> Key {
        Key { server: self.server.clone(), start_ms: self.start_ms }
    }

    /// Returns the write of the own statement, or the deletion of a key that no one needs, if it is
    /// due.
    fn take_write(&mut self, now: Instant) -> Option<Txn> {
        let wanted = self.wanted(now)?;
        let since = *self.exchange.differs_since.get_or_insert(now);
        let delay = RANK_DELAY * u32::try_from(self.rank).unwrap_or(u32::MAX).min(1_000);
        let is_recent = self.exchange.written_at.is_some_and(|at| now < at + LIST_DELAY);
        if is_recent || now < since + delay {
            return None;
        }
        self.exchange.written_at = Some(now);
        let key = self.key().to_string();
        let txn = match self.exchange.revision {
            Some(revision) => Txn::new().if_unchanged(&key, revision),
            None => Txn::new().if_absent(&key),
        };
        match wanted.map(|rate| serde_json::to_vec(&Record { rate })) {
            None => Some(txn.delete(&key)),
            Some(Ok(value)) => Some(txn.put(&key, value)),
            Some(Err(error)) => {
                log::error!("a rate limit can't be encoded; server={} cause={error}", self.server);
                None
            }
        }
    }

    /// Returns what the store should hold, if it holds something else: a limit, or `Some(None)` for
    /// no key.
    fn wanted(&mut self, now: Instant) -> Option<Option<Rate>> {
        let is_gone = self.exchange.gone_since.is_some_and(|since| now >= since + GONE_TIME);
        if is_gone && self.exchange.is_written() {
            return Some(None);
        }
        let own = self.own.filter(|own| self.shared.is_none_or(|shared| own.at > shared.at));
        let stored = self.shared.and_then(|shared| shared.rate);
        let differs = own.is_some_and(|own| match (own.rate, stored) {
            (Some(own), Some(stored)) => (own - stored).abs() > LEAST_CHANGE * stored,
            (own, stored) => own.is_some() != stored.is_some(),
        });
        if !differs {
            self.exchange.differs_since = None;
            return None;
        }
        own.map(|own| own.rate)
    }
}
