//! Keys, leases and history of the in-memory store.

use {
    crate::{
        Commit, Compare, Entry, Error, Event, Guard, LeaseId, Page, Put, Result, Stamp, Txn, Write,
    },
    hawthornmount_core::{id::Revision, table::Table},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Largest value that the store accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum number of events kept for watches that start at a past revision. When there are more,
/// the older half is compacted.
const MAX_HISTORY_EVENTS: usize = 65_536;

/// Stored entry with the lease it is attached to.
struct Slot {
    entry: Entry,
    lease: Option<LeaseId>,
}

struct Lease {
    id: LeaseId,
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
pub struct State {
    slots: Table<Slot>,
    leases: Vec<Lease>,
    history: Vec<Event>,
    /// Oldest revision that the history covers.
    compacted: Revision,
    revision: Revision,
    last_lease: LeaseId,
}

impl State {
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    pub fn get(&self, key: &str) -> Option<Entry> {
        self.slots.get(key).map(|slot| slot.entry.clone())
    }

    pub fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Page {
        let mut entries: Vec<Entry> = self
            .slots
            .iter()
            .filter(|row| row.id.starts_with(prefix))
            .filter(|row| after.is_none_or(|after| *row.id > *after))
            .map(|row| row.value.entry.clone())
            .take(limit + 1)
            .collect();
        let more = entries.len() > limit;
        entries.truncate(limit);
        Page { entries, more, stamp: Stamp { era: 0, revision: self.revision } }
    }

    /// Applies a transaction and adds its changes to `events`. All its writes share one revision.
    pub fn commit(&mut self, txn: &Txn, events: &mut Vec<Event>) -> Result<Commit> {
        check_sizes(txn)?;
        if !txn.guards.iter().all(|guard| self.holds(guard)) {
            let current = txn.guards.iter().filter_map(|guard| self.get(&guard.key)).collect();
            return Ok(Commit { applied: false, revision: self.revision, current });
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in &txn.writes {
            match write {
                Write::Put(put) => self.put(put, events),
                Write::Delete(key) => self.delete(key, events),
            }
        }
        Ok(Commit { applied: true, revision: self.revision, current: Vec::new() })
    }

    pub fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        self.leases.push(Lease { id: self.last_lease, ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Renews a lease and returns its time to live; zero if it does not exist.
    pub fn keep_alive(&mut self, now: Instant, id: LeaseId) -> Duration {
        let Some(lease) = self.leases.iter_mut().find(|lease| lease.id == id) else {
            return Duration::ZERO;
        };
        lease.expires_at = now + lease.ttl;
        lease.ttl
    }

    /// Removes a lease and deletes the keys attached to it.
    pub fn revoke(&mut self, id: LeaseId, events: &mut Vec<Event>) {
        self.leases.retain(|lease| lease.id != id);
        let keys: Vec<Arc<str>> = self
            .slots
            .iter()
            .filter(|row| row.value.lease == Some(id))
            .map(|row| row.id.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key, events);
        }
    }

    /// Revokes the leases that have expired by `now`.
    pub fn expire(&mut self, now: Instant, events: &mut Vec<Event>) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|lease| lease.expires_at <= now)
            .map(|lease| lease.id)
            .collect();
        for id in expired {
            self.revoke(id, events);
        }
    }

    /// Discards the events before `revision`.
    pub fn compact(&mut self, revision: Revision) {
        self.compacted = self.compacted.max(revision);
        self.history.retain(|event| event_revision(event) >= revision);
    }

    /// Returns the past events of keys under `prefix` from revision `from` on.
    pub fn history_since(&self, prefix: &str, from: Revision) -> Result<Vec<Event>> {
        if from < self.compacted {
            return Err(Error::Compacted { oldest: self.compacted });
        }
        let is_watched = |event: &&Event| event_revision(event) >= from && event.is_under(prefix);
        Ok(self.history.iter().filter(is_watched).cloned().collect())
    }

    fn holds(&self, guard: &Guard) -> bool {
        let slot = self.slots.get(&guard.key);
        match &guard.compare {
            Compare::Absent => slot.is_none(),
            Compare::Unchanged(revision) => {
                slot.is_some_and(|slot| slot.entry.revision == *revision)
            }
            Compare::Value(value) => slot.is_some_and(|slot| slot.entry.value == *value),
        }
    }

    fn put(&mut self, put: &Put, events: &mut Vec<Event>) {
        let created = self.slots.get(&put.key).map_or(self.revision, |slot| slot.entry.created);
        let entry = Entry {
            key: put.key.clone(),
            value: put.value.clone(),
            revision: self.revision,
            created,
        };
        self.slots.insert(put.key.clone(), Slot { entry: entry.clone(), lease: put.lease });
        self.record(Event::Put(entry), events);
    }

    fn delete(&mut self, key: &Arc<str>, events: &mut Vec<Event>) {
        if self.slots.remove(key).is_some() {
            let event = Event::Delete { key: key.clone(), revision: self.revision };
            self.record(event, events);
        }
    }

    /// Adds an event to the history and to `events`, which are sent to the watches.
    fn record(&mut self, event: Event, events: &mut Vec<Event>) {
        self.history.push(event.clone());
        if self.history.len() > MAX_HISTORY_EVENTS {
            let keep_from = event_revision(&self.history[MAX_HISTORY_EVENTS / 2]);
            self.compact(keep_from);
        }
        events.push(event);
    }
}

const fn event_revision(event: &Event) -> Revision {
    match event {
        Event::Put(entry) => entry.revision,
        Event::Delete { revision, .. } | Event::Progress(revision) => *revision,
    }
}

fn check_sizes(txn: &Txn) -> Result<()> {
    for write in &txn.writes {
        if let Write::Put(put) = write
            && put.value.len() > MAX_VALUE_BYTES
        {
            return Err(Error::TooLarge { bytes: put.value.len(), limit: MAX_VALUE_BYTES });
        }
    }
    Ok(())
}
