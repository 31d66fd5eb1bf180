//! Keys, leases and history of the store inside the process.

use {
    crate::{Commit, Compare, Entry, Error, Event, Guard, LeaseId, Page, Put, Result, Txn, Write},
    hawthornmount_core::{id::Revision, table::Table},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Largest value that the store takes, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// Changes that are kept for watches that start in the past.
const MAX_HISTORY: usize = 65_536;

struct Slot {
    entry: Entry,
    lease: Option<LeaseId>,
}

struct Lease {
    id: LeaseId,
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
pub struct State {
    slots: Table<Slot>,
    leases: Vec<Lease>,
    history: Vec<Event>,
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
        Page { entries, more, revision: self.revision }
    }

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
        self.leases.push(Lease { id: self.last_lease, ttl, ends: now + ttl });
        self.last_lease
    }

    pub fn keep_alive(&mut self, now: Instant, id: LeaseId) -> Duration {
        let Some(lease) = self.leases.iter_mut().find(|lease| lease.id == id) else {
            return Duration::ZERO;
        };
        lease.ends = now + lease.ttl;
        lease.ttl
    }

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

    pub fn expire(&mut self, now: Instant, events: &mut Vec<Event>) {
        let lapsed: Vec<LeaseId> =
            self.leases.iter().filter(|lease| lease.ends <= now).map(|lease| lease.id).collect();
        for id in lapsed {
            self.revoke(id, events);
        }
    }

    pub fn compact(&mut self, revision: Revision) {
        self.compacted = self.compacted.max(revision);
        self.history.retain(|event| event_revision(event) >= revision);
    }

    pub fn since(&self, prefix: &str, from: Revision) -> Result<Vec<Event>> {
        if from < self.compacted {
            return Err(Error::Compacted { oldest: self.compacted });
        }
        let wanted = |event: &&Event| event_revision(event) >= from && event.is_under(prefix);
        Ok(self.history.iter().filter(wanted).cloned().collect())
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
        self.remember(Event::Put(entry), events);
    }

    fn delete(&mut self, key: &Arc<str>, events: &mut Vec<Event>) {
        if self.slots.remove(key).is_some() {
            let event = Event::Delete { key: key.clone(), revision: self.revision };
            self.remember(event, events);
        }
    }

    fn remember(&mut self, event: Event, events: &mut Vec<Event>) {
        self.history.push(event.clone());
        if self.history.len() > MAX_HISTORY {
            let keep_from = event_revision(&self.history[MAX_HISTORY / 2]);
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
            && put.value.len() > MAX_VALUE
        {
            return Err(Error::TooLarge { bytes: put.value.len(), limit: MAX_VALUE });
        }
    }
    Ok(())
}
