//! Values of the store and changes to them.

use {crate::LeaseId, bytes::Bytes, hawthornmount_core::id::Revision, std::sync::Arc};

/// A key with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Revision at which the value was last changed.
    pub revision: Revision,
    /// Revision at which the key was created.
    pub created: Revision,
}

/// Part of the keys under a prefix.
#[derive(Clone, Debug)]
pub struct Page {
    /// The keys in order.
    pub entries: Vec<Entry>,
    /// Whether there are more keys after the last one.
    pub more: bool,
    /// Revision of the store when it answered.
    pub revision: Revision,
}

/// What a key is compared by.
#[derive(Clone, Debug, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent,
    /// The value was last changed at this revision.
    Unchanged(Revision),
    /// The value is this one.
    Value(Bytes),
}

/// A comparison of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Guard {
    /// The key.
    pub key: Arc<str>,
    /// What has to hold.
    pub compare: Compare,
}

/// A new value of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Lease that the key hangs on.
    pub lease: Option<LeaseId>,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Puts a value.
    Put(Put),
    /// Deletes the key.
    Delete(Arc<str>),
}

/// Writes that apply together if all guards hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// What has to hold.
    pub guards: Vec<Guard>,
    /// What is written then.
    pub writes: Vec<Write>,
}

/// Outcome of a [`Txn`].
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Whether the guards held and the writes applied.
    pub applied: bool,
    /// Revision of the store after the call.
    pub revision: Revision,
    /// The guarded keys as they stand when the guards did not hold.
    pub current: Vec<Entry>,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A key has a new value.
    Put(Entry),
    /// A key was deleted at this revision.
    Delete {
        /// The key.
        key: Arc<str>,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// The watch is alive and has seen everything up to this revision.
    Progress(Revision),
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that `key` does not exist.
    #[must_use]
    pub fn if_absent(self, key: &str) -> Self {
        self.guard(key, Compare::Absent)
    }

    /// Requires that `key` was last changed at `revision`.
    #[must_use]
    pub fn if_unchanged(self, key: &str, revision: Revision) -> Self {
        self.guard(key, Compare::Unchanged(revision))
    }

    /// Requires that the value of `key` is `value`.
    #[must_use]
    pub fn if_value(self, key: &str, value: Bytes) -> Self {
        self.guard(key, Compare::Value(value))
    }

    /// Writes `value` under `key`.
    #[must_use]
    pub fn put(mut self, key: &str, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write::Put(Put { key: key.into(), value: value.into(), lease: None }));
        self
    }

    /// Writes `value` under `key` for as long as `lease` lives.
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
