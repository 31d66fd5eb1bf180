//! Membership as this instance knows it, updated by deterministic rules without input or output.
//!
//! Records of the same instance are ordered by [`Record::precedence`]. A report that a live member
//! is dead only makes it suspect, so that it has time to refute.

use {
    crate::wire::{Record, Standing},
    hawthornmount_core::{id::Revision, snapshot::Member},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time that a suspected member has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a dead member is removed from the roster.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// Effect of a record on the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that has to be disseminated.
    None,
    /// The record is new and has to be disseminated.
    Updated(Record),
    /// A member that was dead is back; its record has to be disseminated.
    Revived(Record),
}

struct Entry {
    record: Record,
    revision: Revision,
    changed: Instant,
}

/// Members ordered by name.
pub struct Roster {
    local: Record,
    entries: Vec<Entry>,
    cached_members: Option<Arc<[Member]>>,
    cached_hash: Option<u64>,
    cached_revision: Revision,
}

impl Roster {
    /// Creates a roster without other members.
    pub const fn new(local: Record) -> Self {
        Self {
            local,
            entries: Vec::new(),
            cached_members: None,
            cached_hash: None,
            cached_revision: 0,
        }
    }

    /// Returns the record of this instance.
    pub const fn local(&self) -> &Record {
        &self.local
    }

    /// Sets the address of this instance.
    pub fn set_address(&mut self, address: std::net::SocketAddr) {
        self.local.address = address;
        self.invalidate_caches();
    }

    /// Marks this instance as leaving and returns its new record.
    pub fn leave(&mut self) -> Record {
        self.local.standing = Standing::Leaving;
        self.invalidate_caches();
        self.local.clone()
    }

    /// Returns the record of another instance.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.index_of(id).ok().map(|at| &self.entries[at].record)
    }

    /// Returns the records of all other instances.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.entries.iter().map(|entry| &entry.record)
    }

    /// Returns the records of the other instances that are not dead.
    pub fn reachable(&self) -> Vec<Record> {
        self.others().filter(|record| record.standing != Standing::Dead).cloned().collect()
    }

    /// Returns the records of the other instances that are dead.
    pub fn dead(&self) -> Vec<Record> {
        self.others().filter(|record| record.standing == Standing::Dead).cloned().collect()
    }

    /// Merges a received record. A record of this instance itself is refuted if it takes
    /// precedence.
    pub fn merge(&mut self, incoming: Record, now: Instant) -> Change {
        if incoming.id == self.local.id {
            return self.refute(&incoming);
        }
        match self.index_of(&incoming.id) {
            Ok(at) => self.merge_known(at, incoming, now),
            Err(_) if incoming.standing == Standing::Dead => Change::None,
            Err(at) => {
                let entry = Entry { record: incoming.clone(), revision: 0, changed: now };
                self.entries.insert(at, entry);
                self.invalidate_caches();
                Change::Updated(incoming)
            }
        }
    }

    fn merge_known(&mut self, at: usize, incoming: Record, now: Instant) -> Change {
        let entry = &mut self.entries[at];
        if incoming.precedence() <= entry.record.precedence() {
            return Change::None;
        }
        let was_dead = entry.record.standing == Standing::Dead;
        let same_incarnation = incoming.incarnation == entry.record.incarnation;
        let was_alive = entry.record.standing == Standing::Alive;
        let mut record = incoming;
        if record.standing == Standing::Dead && was_alive {
            record.standing = Standing::Suspect;
        }
        if !same_incarnation {
            entry.revision = 0;
        }
        entry.record = record.clone();
        entry.changed = now;
        self.invalidate_caches();
        if was_dead && record.standing != Standing::Dead {
            Change::Revived(record)
        } else {
            Change::Updated(record)
        }
    }

    /// Refutes a record of this instance that takes precedence over its own.
    fn refute(&mut self, incoming: &Record) -> Change {
        if incoming.precedence() <= self.local.precedence() {
            return Change::None;
        }
        if incoming.incarnation > self.local.incarnation {
            self.local.incarnation = incoming.incarnation + 1;
            self.local.refutation = 0;
        } else {
            self.local.refutation = incoming.refutation + 1;
        }
        self.invalidate_caches();
        Change::Updated(self.local.clone())
    }

    /// Marks a member that did not answer a probe as suspect, unless its record has changed since
    /// the probe. A member that was leaving is marked as dead at once.
    pub fn suspect(&mut self, probed: &Record, now: Instant) -> Change {
        let Ok(at) = self.index_of(&probed.id) else { return Change::None };
        let entry = &mut self.entries[at];
        if entry.record.precedence() != probed.precedence() {
            return Change::None;
        }
        entry.record.standing = match probed.standing {
            Standing::Alive => Standing::Suspect,
            Standing::Leaving => Standing::Dead,
            Standing::Suspect | Standing::Dead => return Change::None,
        };
        entry.changed = now;
        self.invalidate_caches();
        Change::Updated(self.entries[at].record.clone())
    }

    /// Marks members as dead whose suspicion has lasted for [`SUSPICION_TIMEOUT`], removes those
    /// that have been dead for [`DEAD_RETENTION`], and returns the records of the newly dead.
    pub fn expire(&mut self, now: Instant) -> Vec<Record> {
        let mut expired = Vec::new();
        for entry in &mut self.entries {
            let elapsed = now.saturating_duration_since(entry.changed);
            if entry.record.standing == Standing::Suspect && elapsed >= SUSPICION_TIMEOUT {
                entry.record.standing = Standing::Dead;
                entry.changed = now;
                expired.push(entry.record.clone());
            }
        }
        let count_before = self.entries.len();
        self.entries.retain(|entry| {
            let elapsed = now.saturating_duration_since(entry.changed);
            entry.record.standing != Standing::Dead || elapsed < DEAD_RETENTION
        });
        if !expired.is_empty() || self.entries.len() != count_before {
            self.invalidate_caches();
        }
        expired
    }

    /// Restarts the timers of all members, after this instance itself was paused.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for entry in &mut self.entries {
            entry.changed = now;
        }
    }

    /// Records the revision that a member reports if it is newer than the known one.
    pub fn record_revision(&mut self, id: &str, revision: Revision) {
        if let Ok(at) = self.index_of(id)
            && self.entries[at].revision < revision
        {
            self.entries[at].revision = revision;
            self.cached_members = None;
        }
    }

    /// Returns all members ordered by name; `revision` is the one that this instance holds.
    pub fn members(&mut self, revision: Revision) -> Arc<[Member]> {
        if let Some(cached) = &self.cached_members
            && self.cached_revision == revision
        {
            return cached.clone();
        }
        let mut members: Vec<Member> =
            self.entries.iter().map(|entry| member(&entry.record, entry.revision)).collect();
        let at = members.partition_point(|member| member.id < self.local.id);
        members.insert(at, member(&self.local, revision));
        let members: Arc<[Member]> = members.into();
        self.cached_members = Some(members.clone());
        self.cached_revision = revision;
        members
    }

    /// Returns a hash over the members that are not dead, independent of the order in which they
    /// were learned of.
    pub fn hash(&mut self) -> u64 {
        if let Some(hash) = self.cached_hash {
            return hash;
        }
        let records = self.others().chain([&self.local]);
        let remaining = records.filter(|record| record.standing != Standing::Dead);
        let hash = remaining.map(hash).fold(0, |a, b| a ^ b);
        self.cached_hash = Some(hash);
        hash
    }

    fn invalidate_caches(&mut self) {
        self.cached_members = None;
        self.cached_hash = None;
    }

    fn index_of(&self, id: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (*entry.record.id).cmp(id))
    }
}

fn member(record: &Record, revision: Revision) -> Member {
    Member {
        id: record.id.clone(),
        incarnation: record.incarnation,
        data_centre: record.data_centre.clone(),
        address: record.address,
        liveness: record.standing.liveness(),
        revision,
    }
}

fn hash(record: &Record) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.id.as_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
