//! The platform's key-value service behind one trait, [`Store`].
//!
//! Every lasting change is a [`Txn`] whose comparisons make it a compare-and-swap. An error tells
//! whether the change can have taken effect; see [`Error::may_have_applied`]. The adapter for the
//! etcd v3 JSON gateway is [`etcd`]; [`memory`] keeps values in the process, for tests.

pub mod error;
pub mod etcd;
pub mod memory;
pub mod txn;

pub use {
    error::{Error, Result},
    txn::{Commit, Compare, Entry, Event, Guard, Page, Put, Txn, Write},
};

use {
    async_trait::async_trait, futures::stream::BoxStream, hawthornmount_core::id::Revision,
    std::time::Duration,
};

/// Id of a lease in the store.
pub type LeaseId = i64;

/// Stream of changes; it ends when the watch broke and has to be opened again.
pub type Watch = BoxStream<'static, Result<Event>>;

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one key, with the store's newest acknowledged value.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads up to `limit` keys that start with `prefix`, in order, from `after` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page>;

    /// Applies all writes if all comparisons hold, else none.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer; [`Error::may_have_applied`] tells whether
    /// the writes can have taken effect.
    async fn commit(&self, txn: Txn) -> Result<Commit>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease and returns its time to live from now; zero if it has lapsed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration>;

    /// Ends a lease and deletes the keys that hang on it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    async fn revoke(&self, lease: LeaseId) -> Result<()>;

    /// Watches the keys that start with `prefix`, from revision `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer or `from` was compacted.
    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch>;
}
