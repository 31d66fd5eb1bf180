//! Known instances of the fleet. Each instance writes one key when it first starts, and the key is
//! never deleted. An instance that no longer exists therefore only makes the other instances'
//! shares of the fleet's retry slack smaller.

use {
    hawthornmount_core::id::InstanceId,
    hawthornmount_store::Txn,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Key prefix of the instances.
const PREFIX: &str = "hawthornmount/instance/";

/// Number of known instances, shared with the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Size(Arc<AtomicUsize>);

/// Known instances in order of their names.
#[derive(Debug)]
pub struct Membership {
    own: InstanceId,
    known: Vec<InstanceId>,
    size: Size,
}

impl Size {
    /// Returns the number of instances, or `None` while this instance does not know the others.
    pub fn get(&self) -> Option<usize> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            size => Some(size),
        }
    }
}

impl Membership {
    /// Creates the membership for the instance `own`.
    pub const fn new(own: InstanceId, size: Size) -> Self {
        Self { own, known: Vec::new(), size }
    }

    /// Applies a key of the store, and returns whether it belongs to an instance.
    pub fn put(&mut self, key: &str) -> bool {
        let Some(name) = key.strip_prefix(PREFIX) else { return false };
        if let Err(at) = self.known.binary_search_by(|known| (**known).cmp(name)) {
            self.known.insert(at, name.into());
        }
        self.publish();
        true
    }

    /// Returns the write that registers this instance, or `None` if it is registered.
    pub fn registration(&self) -> Option<Txn> {
        if self.is_registered() {
            return None;
        }
        let key = format!("{PREFIX}{}", self.own);
        Some(Txn::new().if_absent(&key).put(&key, "{}"))
    }

    fn is_registered(&self) -> bool {
        self.known.binary_search(&self.own).is_ok()
    }

    /// Publishes the number of instances once this instance's own key is known.
    fn publish(&self) {
        if self.is_registered() {
            self.size.0.store(self.known.len(), Ordering::Relaxed);
        }
    }
}
