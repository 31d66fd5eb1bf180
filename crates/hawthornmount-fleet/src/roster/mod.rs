//! Members as this instance knows them: pure rules without input or output.
//!
//! Claims of the same instance are ordered by [`Record::rank`]. Nobody believes another's word that
//! a live member is dead: the member is suspected first, so that it can refute.

use {
    crate::wire::{Record, Standing},
    hawthornmount_core::{id::Revision, snapshot::Member},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time that a suspected member has to refute.
pub const SUSPICION: Duration = Duration::from_secs(4);
/// Time after which a dead member is forgotten.
pub const MEMORY: Duration = Duration::from_secs(600);

/// What a claim changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that others need to hear.
    None,
    /// The record is news that others need to hear.
    News(Record),
    /// A member that was dead lives again.
    Returned(Record),
}

struct Entry {
    record: Record,
    revision: Revision,
    changed: Instant,
}

/// Members in order of their names.
pub struct Roster {
    local: Record,
    entries: Vec<Entry>,
    cached: Option<Arc<[Member]>>,
    cached_hash: Option<u64>,
    local_revision: Revision,
}

impl Roster {
    /// Creates the roster of an instance that knows nobody.
    pub const fn new(local: Record) -> Self {
        Self { local, entries: Vec::new(), cached: None, cached_hash: None, local_revision: 0 }
    }

    /// Returns this instance's claim of itself.
    pub const fn local(&self) -> &Record {
        &self.local
    }

    /// Sets the address of this instance.
    pub fn set_address(&mut self, address: std::net::SocketAddr) {
        self.local.address = address;
        self.touch();
    }

    /// Announces that this instance leaves.
    pub fn leave(&mut self) -> Record {
        self.local.standing = Standing::Leaving;
        self.touch();
        self.local.clone()
    }

    /// Returns what is known of another instance.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.position(id).ok().map(|at| &self.entries[at].record)
    }

    /// Returns all records of the others.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.entries.iter().map(|entry| &entry.record)
    }

    /// Returns the others that are not dead.
    pub fn reachable(&self) -> Vec<Record> {
        self.others().filter(|record| record.standing != Standing::Dead).cloned().collect()
    }

    /// Returns the others that are dead.
    pub fn dead(&self) -> Vec<Record> {
        self.others().filter(|record| record.standing == Standing::Dead).cloned().collect()
    }

    /// Merges another instance's claim.
    pub fn merge(&mut self, claim: Record, now: Instant) -> Change {
        if claim.id == self.local.id {
            return self.refute(&claim);
        }
        match self.position(&claim.id) {
            Ok(at) => self.merge_known(at, claim, now),
            Err(_) if claim.standing == Standing::Dead => Change::None,
            Err(at) => {
                let entry = Entry { record: claim.clone(), revision: 0, changed: now };
                self.entries.insert(at, entry);
                self.touch();
                Change::News(claim)
            }
        }
    }

    fn merge_known(&mut self, at: usize, claim: Record, now: Instant) -> Change {
        let entry = &mut self.entries[at];
        if claim.rank() <= entry.record.rank() {
            return Change::None;
        }
        let was_dead = entry.record.standing == Standing::Dead;
        let same_life = claim.incarnation == entry.record.incarnation;
        let may_refute = entry.record.standing == Standing::Alive;
        let mut record = claim;
        if record.standing == Standing::Dead && may_refute {
            record.standing = Standing::Suspect;
        }
        if !same_life {
            entry.revision = 0;
        }
        entry.record = record.clone();
        entry.changed = now;
        self.touch();
        if was_dead && record.standing != Standing::Dead {
            Change::Returned(record)
        } else {
            Change::News(record)
        }
    }

    /// Outranks a claim of this instance that it did not make itself.
    fn refute(&mut self, claim: &Record) -> Change {
        if claim.rank() <= self.local.rank() {
            return Change::None;
        }
        if claim.incarnation > self.local.incarnation {
            self.local.incarnation = claim.incarnation + 1;
            self.local.refutation = 0;
        } else {
            self.local.refutation = claim.refutation + 1;
        }
        self.touch();
        Change::News(self.local.clone())
    }

    /// Suspects a member that gave no sign of life, unless it has refuted meanwhile. A member that
    /// is leaving is given up at once.
    pub fn suspect(&mut self, probed: &Record, now: Instant) -> Change {
        let Ok(at) = self.position(&probed.id) else { return Change::None };
        let entry = &mut self.entries[at];
        if entry.record.rank() != probed.rank() {
            return Change::None;
        }
        entry.record.standing = match probed.standing {
            Standing::Alive => Standing::Suspect,
            Standing::Leaving => Standing::Dead,
            Standing::Suspect | Standing::Dead => return Change::None,
        };
        entry.changed = now;
        self.touch();
        Change::News(self.entries[at].record.clone())
    }

    /// Gives up the members whose suspicion has lasted too long, forgets the long dead and returns
    /// the news.
    pub fn expire(&mut self, now: Instant) -> Vec<Record> {
        let mut news = Vec::new();
        for entry in &mut self.entries {
            let lasted = now.saturating_duration_since(entry.changed);
            if entry.record.standing == Standing::Suspect && lasted >= SUSPICION {
                entry.record.standing = Standing::Dead;
                entry.changed = now;
                news.push(entry.record.clone());
            }
        }
        let known = self.entries.len();
        self.entries.retain(|entry| {
            let lasted = now.saturating_duration_since(entry.changed);
            entry.record.standing != Standing::Dead || lasted < MEMORY
        });
        if !news.is_empty() || self.entries.len() != known {
            self.touch();
        }
        news
    }

    /// Starts all suspicions anew, after this instance itself was paused.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for entry in &mut self.entries {
            entry.changed = now;
        }
    }

    /// Notes the revision that a member says it holds.
    pub fn note_revision(&mut self, id: &str, revision: Revision) {
        if let Ok(at) = self.position(id)
            && self.entries[at].revision < revision
        {
            self.entries[at].revision = revision;
            self.cached = None;
        }
    }

    /// Returns all members in order of their names, this instance included.
    pub fn members(&mut self, revision: Revision) -> Arc<[Member]> {
        if let Some(cached) = &self.cached
            && self.local_revision == revision
        {
            return cached.clone();
        }
        let mut members: Vec<Member> =
            self.entries.iter().map(|entry| member(&entry.record, entry.revision)).collect();
        let at = members.partition_point(|member| member.id < self.local.id);
        members.insert(at, member(&self.local, revision));
        let members: Arc<[Member]> = members.into();
        self.cached = Some(members.clone());
        self.local_revision = revision;
        members
    }

    /// Returns a hash over the members that does not depend on the order in which they came.
    pub fn hash(&mut self) -> u64 {
        if let Some(hash) = self.cached_hash {
            return hash;
        }
        let records = self.others().chain([&self.local]);
        let present = records.filter(|record| record.standing != Standing::Dead);
        let hash = present.map(hash).fold(0, |a, b| a ^ b);
        self.cached_hash = Some(hash);
        hash
    }

    fn touch(&mut self) {
        self.cached = None;
        self.cached_hash = None;
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
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
