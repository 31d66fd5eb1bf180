//! Entries of the store, transactions that change them and events that report changes.

use {
    crate::LeaseId,
    bytes::Bytes,
    hawthornmount_core::id::Revision,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Number of times that a store has been restored from a copy.
pub type Era = u64;

/// Point in the history of a store. A store that is restored from a copy continues in a later era,
/// in which it may assign revisions again that it has assigned before.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// Era of the store.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

/// Key with its value and revisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Revision at which the value was last changed.
    pub revision: Revision,
    /// Revision at which the key was last created.
    pub created: Revision,
}

/// Page of a listing of the keys under a prefix.
#[derive(Clone, Debug)]
pub struct Page {
    /// Entries in ascending order of their keys.
    pub entries: Vec<Entry>,
    /// Whether further keys follow the last entry.
    pub more: bool,
    /// Point in the history of the store at the time of the listing.
    pub stamp: Stamp,
}

/// Condition that a guard places on its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent,
    /// The value was last changed at this revision.
    Unchanged(Revision),
    /// The value equals this one.
    Value(Bytes),
}

/// Condition on one key that has to hold for a transaction to apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Guard {
    /// The key.
    pub key: Arc<str>,
    /// Condition on the key.
    pub compare: Compare,
}

/// Write of a value to one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Lease with which the key expires; `None` keeps the key until it is deleted.
    pub lease: Option<LeaseId>,
}

/// Write operation of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Puts a value.
    Put(Put),
    /// Deletes the key.
    Delete(Arc<str>),
}

/// Transaction: applies all writes atomically if all guards hold, else none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// Conditions under which the writes apply.
    pub guards: Vec<Guard>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Outcome of a [`Txn`].
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Whether the guards held and the writes applied.
    pub applied: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// Entries of the guarded keys that exist if the guards did not hold, else empty.
    pub current: Vec<Entry>,
}

/// Changes of the store's content.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// The changes, in order of their revisions.
    pub events: Vec<Event>,
    /// Point in the history of the store up to which the changes are complete.
    pub stamp: Stamp,
}

/// Event that a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A value was written to a key.
    Put(Entry),
    /// A key was deleted at this revision.
    Delete {
        /// The key.
        key: Arc<str>,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// The watch is alive and has reported all changes up to this revision.
    Progress(Revision),
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the writes only if `key` does not exist.
    #[must_use]
    pub fn if_absent(self, key: &str) -> Self {
        self.guard(key, Compare::Absent)
    }

    /// Applies the writes only if `key` was last changed at `revision`.
    #[must_use]
    pub fn if_unchanged(self, key: &str, revision: Revision) -> Self {
        self.guard(key, Compare::Unchanged(revision))
    }

    /// Applies the writes only if `key` has the value `value`.
    #[must_use]
    pub fn if_value(self, key: &str, value: Bytes) -> Self {
        self.guard(key, Compare::Value(value))
    }

    /// Writes `value` to `key`.
    #[must_use]
    pub fn put(mut self, key: &str, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write::Put(Put { key: key.into(), value: value.into(), lease: None }));
        self
    }

    /// Writes `value` to `key` and attaches the key to `lease`, with which it expires.
    #[must_use]
    pub fn put_leased(mut self, key: &str, value: impl Into<Bytes>, lease: LeaseId) -> Self {
        let put = Put { key: key.into(), value: value.into(), lease: Some(lease) };
        self.writes.push(Write::Put(put));
        self
    }

    /// Deletes `key`.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write::Delete(key.into()));
        self
    }

    fn guard(mut self, key: &str, compare: Compare) -> Self {
        self.guards.push(Guard { key: key.into(), compare });
        self
    }
}
