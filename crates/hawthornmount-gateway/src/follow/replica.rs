//! Copy of the followed keys, with the order in which they changed, so that another instance can
//! continue from any point that this copy has passed.

use {
    crate::relay::bound,
    hawthornmount_core::id::Revision,
    hawthornmount_fleet::role,
    hawthornmount_store::{Entry, Stamp},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Number of deleted keys that are remembered. An instance that has missed the deletion of a
/// forgotten key gets the complete content instead of the changes.
const MAX_DELETED: usize = 2_048;

/// Largest value that is sent with the changes. A larger one is transferred apart, so that small changes
/// don't wait for it.
pub const MAX_INLINE_BYTES: usize = 32 << 10;

/// Context of the hashes of keys.
const KEY_HASH: &str = "key";

/// Number of a change within one replica.
pub type Sequence = u64;

/// Point up to which an instance has the content of a replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cursor {
    /// Id of the replica, which is new with every start of its instance.
    pub origin: u64,
    /// Last change of that replica.
    pub sequence: Sequence,
    /// Point in the history of the store up to which the content is complete.
    pub stamp: Stamp,
}

/// New value of a key, or its deletion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the change. For a deletion it may be a later one.
    pub revision: Revision,
    /// Value and revision at which the key was created; `None` if the key was deleted.
    pub value: Option<(Vec<u8>, Revision)>,
}

/// Change of a key whose value is transferred apart.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Deferral {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Changes after a cursor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Whether the changes are the complete content; keys that are missing don't exist.
    pub is_complete: bool,
    /// The changes, in order of their keys.
    #[serde(deserialize_with = "bound::sequence")]
    pub changes: Vec<Change>,
    /// Hashes of all keys that exist, in ascending order, if the replica does not know all deletions
    /// since the cursor. Keys that are not among them were deleted.
    #[serde(deserialize_with = "bound::optional_sequence")]
    pub existing: Option<Vec<KeyHash>>,
    /// Changes whose values are too large to be sent with the others.
    #[serde(deserialize_with = "bound::sequence")]
    pub deferred: Vec<Deferral>,
}

/// Hash of a key.
pub type KeyHash = u64;

#[derive(Clone, Debug)]
struct Row {
    key: Arc<str>,
    sequence: Sequence,
    revision: Revision,
    /// `None` if the key was deleted.
    entry: Option<Entry>,
}

/// Followed keys of the store, with the order of their changes.
#[derive(Debug)]
pub struct Replica {
    cursor: Cursor,
    /// Cursors before this change or this revision can't be continued.
    oldest_sequence: Sequence,
    oldest_stamp: Stamp,
    /// Keys with their last change, in order of the keys.
    rows: Vec<Row>,
    /// Changes up to the cursor whose values are not known yet, in order of the keys.
    missing: Vec<Deferral>,
}

impl Replica {
    /// Creates an empty replica; `origin` tells it from earlier replicas of the instance.
    pub fn new(origin: u64) -> Self {
        Self {
            cursor: Cursor { origin, sequence: 0, stamp: Stamp::default() },
            oldest_sequence: 0,
            oldest_stamp: Stamp::default(),
            rows: Vec::new(),
            missing: Vec::new(),
        }
    }

    /// Returns the first of the changes up to the cursor whose values are not known yet.
    pub fn missing(&self) -> Option<&Deferral> {
        self.missing.first()
    }

    /// Returns the point that the replica has reached.
    pub const fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the entries of the keys that exist, in order of the keys.
    pub fn entries(&self) -> Vec<Entry> {
        self.rows.iter().filter_map(|row| row.entry.clone()).collect()
    }

    /// Returns the entry of a key that exists.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.rows[self.position(key).ok()?].entry.as_ref()
    }

    /// Applies a complete list of the keys, in ascending order, and returns whether anything
    /// changed.
    pub fn replace(&mut self, entries: &[Entry], stamp: Stamp) -> bool {
        let before = self.cursor.sequence;
        let is_new_era = self.begin_era(stamp);
        let is_listed = |key: &str| entries.binary_search_by(|entry| (*entry.key).cmp(key)).is_ok();
        self.retain(is_new_era, is_listed, stamp.revision);
        for entry in entries {
            self.put_in(is_new_era, entry);
        }
        self.missing.clear();
        self.cursor.stamp = stamp;
        self.forget_deleted();
        self.cursor.sequence > before
    }

    /// Applies the new value of a key, unless a later change is known, and returns whether it changed.
    pub fn put(&mut self, entry: &Entry) -> bool {
        self.missing.retain(|one| one.key != entry.key || one.revision > entry.revision);
        let known = self.position(&entry.key).map(|at| self.rows[at].revision);
        let is_outdated = known.is_ok_and(|known| known > entry.revision);
        !is_outdated && self.set_entry(entry)
    }

    /// Applies the deletion of a key, unless a later value is known.
    pub fn delete(&mut self, key: &str, revision: Revision) {
        self.missing.retain(|one| *one.key != *key || one.revision > revision);
        if self.revision(key).is_some_and(|known| known <= revision) {
            self.set(&Arc::from(key), revision, None);
        }
    }

    /// Records that all changes up to `stamp`, of the same era, were applied.
    pub fn reach(&mut self, stamp: Stamp) {
        self.cursor.stamp = self.cursor.stamp.max(stamp);
        self.forget_deleted();
    }

    /// Applies the changes that another replica sent, which has reached `stamp`, and returns
    /// whether anything changed. A replica that is behind may know later changes of some keys; those of
    /// an earlier era are skipped.
    pub fn apply(&mut self, delta: Delta, stamp: Stamp) -> bool {
        if stamp.era < self.cursor.stamp.era {
            return false;
        }
        let before = self.cursor.sequence;
        let (mut entries, mut deleted) = (Vec::new(), Vec::new());
        for change in delta.changes {
            match change.value {
                Some((value, created)) => entries.push(Entry {
                    key: change.key,
                    value: value.into(),
                    revision: change.revision,
                    created,
                }),
                None => deleted.push((change.key, change.revision)),
            }
        }
        let is_new_era = self.begin_era(stamp);
        if delta.is_complete {
            let is_listed = |key: &str| {
                entries.binary_search_by(|entry| (*entry.key).cmp(key)).is_ok()
                    || delta.deferred.iter().any(|one| *one.key == *key)
            };
            self.retain(is_new_era, is_listed, stamp.revision);
        }
        for (key, revision) in deleted {
            if is_new_era {
                self.set(&key, revision, None);
            } else {
                self.delete(&key, revision);
            }
        }
        for entry in &entries {
            self.put_in(is_new_era, entry);
        }
        if let Some(existing) = delta.existing {
            let is_existing = |key: &str| existing.binary_search(&key_hash(key)).is_ok();
            self.retain(is_new_era, is_existing, stamp.revision);
        }
        if is_new_era {
            self.missing.clear();
        }
        for deferral in delta.deferred {
            self.defer(deferral, is_new_era);
        }
        self.cursor.stamp = self.cursor.stamp.max(stamp);
        self.forget_deleted();
        self.cursor.sequence > before
    }

    /// Records that a change is known without its value, unless that or a later one is known. A value of
    /// an earlier era is forgotten.
    fn defer(&mut self, deferral: Deferral, is_new_era: bool) {
        if let Ok(at) = self.position(&deferral.key) {
            if is_new_era {
                self.rows.remove(at);
            } else if self.rows[at].revision >= deferral.revision {
                return;
            }
        }
        match self.missing.binary_search_by(|one| one.key.cmp(&deferral.key)) {
            Ok(at) => self.missing[at].revision = self.missing[at].revision.max(deferral.revision),
            Err(at) => self.missing.insert(at, deferral),
        }
    }

    /// Returns the changes after a cursor, of keys for which `is_relayed` is true. A cursor of
    /// another replica is continued from its stamp. If this replica does not know all deletions since
    /// then, the result names the keys that exist, which takes far less space than their values.
    pub fn changes_after(
        &self,
        cursor: Option<&Cursor>,
        is_relayed: impl Fn(&str) -> bool,
    ) -> Delta {
        let mut existing = None;
        let is_after: Box<dyn Fn(&Row) -> bool> = match cursor {
            Some(cursor)
                if cursor.origin == self.cursor.origin
                    && cursor.sequence >= self.oldest_sequence =>
            {
                Box::new(move |row| row.sequence > cursor.sequence)
            }
            Some(cursor)
                if cursor.stamp.era == self.cursor.stamp.era
                    && cursor.stamp <= self.cursor.stamp =>
            {
                if cursor.stamp < self.oldest_stamp {
                    existing = Some(self.existing(&is_relayed));
                }
                Box::new(move |row| row.revision > cursor.stamp.revision)
            }
            _ => {
                let rows = self.rows.iter().filter(|row| row.entry.is_some());
                let rows = rows.filter(|row| is_relayed(&row.key));
                return self.delta(rows, true, None);
            }
        };
        let rows = self.rows.iter().filter(|row| is_after(row) && is_relayed(&row.key));
        self.delta(rows, false, existing)
    }

    /// Returns the changes of rows; those with large values, and those of which this replica lacks the
    /// values itself, are deferred.
    fn delta<'a>(
        &self,
        rows: impl Iterator<Item = &'a Row>,
        is_complete: bool,
        existing: Option<Vec<KeyHash>>,
    ) -> Delta {
        let (large, small): (Vec<&Row>, Vec<&Row>) = rows.partition(|row| is_large(row));
        let mut deferred = self.missing.clone();
        for row in large {
            if let Err(at) = deferred.binary_search_by(|one| one.key.cmp(&row.key)) {
                deferred.insert(at, Deferral { key: row.key.clone(), revision: row.revision });
            }
        }
        let changes = small.into_iter().map(change).collect();
        Delta { is_complete, changes, existing, deferred }
    }

    /// Returns the hashes of the keys that exist and are relayed.
    fn existing(&self, is_relayed: impl Fn(&str) -> bool) -> Vec<KeyHash> {
        let rows = self.rows.iter().filter(|row| row.entry.is_some() && is_relayed(&row.key));
        let mut hashes: Vec<KeyHash> = rows.map(|row| key_hash(&row.key)).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Returns whether `stamp` is the first one of an era. Revisions of earlier eras can't be compared
    /// with later ones, so deletions of them are forgotten, and those before the first list of an era are
    /// unknown.
    fn begin_era(&mut self, stamp: Stamp) -> bool {
        let is_new_era = stamp.era != self.cursor.stamp.era;
        if is_new_era {
            self.rows.retain(|row| row.entry.is_some());
            self.oldest_sequence = self.cursor.sequence;
        }
        if is_new_era || self.cursor.stamp == Stamp::default() {
            self.oldest_stamp = stamp;
        }
        is_new_era
    }

    /// Records the deletion, at a revision, of the keys for which `is_kept` is false. In the same era, a
    /// later change stays.
    fn retain(&mut self, is_new_era: bool, is_kept: impl Fn(&str) -> bool, revision: Revision) {
        let is_outdated = |row: &Row| is_new_era || row.revision <= revision;
        let is_deleted = |row: &&Row| row.entry.is_some() && is_outdated(row) && !is_kept(&row.key);
        let deleted: Vec<Arc<str>> =
            self.rows.iter().filter(is_deleted).map(|row| row.key.clone()).collect();
        for key in deleted {
            self.set(&key, revision, None);
        }
    }

    fn put_in(&mut self, is_new_era: bool, entry: &Entry) {
        if is_new_era {
            self.set_entry(entry);
        } else {
            self.put(entry);
        }
    }

    /// Returns the revision of a key that exists.
    fn revision(&self, key: &str) -> Option<Revision> {
        self.get(key).map(|entry| entry.revision)
    }

    fn set_entry(&mut self, entry: &Entry) -> bool {
        if self.get(&entry.key) == Some(entry) {
            return false;
        }
        self.set(&entry.key, entry.revision, Some(entry.clone()));
        true
    }

    fn set(&mut self, key: &Arc<str>, revision: Revision, entry: Option<Entry>) {
        self.cursor.sequence += 1;
        let row = Row { key: key.clone(), sequence: self.cursor.sequence, revision, entry };
        match self.position(key) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Forgets the oldest deleted keys if there are too many.
    fn forget_deleted(&mut self) {
        let deleted = self.rows.iter().filter(|row| row.entry.is_none());
        let mut sequences: Vec<Sequence> = deleted.map(|row| row.sequence).collect();
        if sequences.len() <= MAX_DELETED {
            return;
        }
        sequences.sort_unstable();
        self.oldest_sequence = sequences[sequences.len() / 2];
        self.oldest_stamp = self.cursor.stamp;
        self.rows.retain(|row| row.entry.is_some() || row.sequence > self.oldest_sequence);
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.key).cmp(key))
    }
}

/// Returns the hash of a key, which is the same in every build.
fn key_hash(key: &str) -> KeyHash {
    role::weight(&key.into(), KEY_HASH)
}

fn is_large(row: &Row) -> bool {
    row.entry.as_ref().is_some_and(|entry| entry.value.len() > MAX_INLINE_BYTES)
}

fn change(row: &Row) -> Change {
    let value = row.entry.as_ref().map(|entry| (entry.value.to_vec(), entry.created));
    Change { key: row.key.clone(), revision: row.revision, value }
}
