//! Client interface of the platform's key-value store.
//!
//! [`Store`] is the trait that the other crates use. [`etcd`] implements it over the etcd v3 JSON
//! gateway and [`memory`] implements it in the process, for tests and stand-ins.
//!
//! Every persistent change is a [`Txn`] whose guards make it a compare-and-swap. After an error,
//! [`Error::may_have_applied`] returns whether the change may have taken effect.

pub mod error;
pub mod etcd;
pub mod memory;
pub mod txn;

pub use {
    error::{Error, Result},
    txn::{Changes, Commit, Compare, Entry, Era, Event, Guard, Page, Put, Stamp, Txn, Write},
};

use {
    async_trait::async_trait, futures::stream::BoxStream, hawthornmount_core::id::Revision,
    std::time::Duration,
};

/// Id of a lease in the store.
pub type LeaseId = i64;

/// Stream of the changes that a watch reports.
///
/// Once it has ended or returned an error, the watch has to be opened again.
pub type Watch = BoxStream<'static, Result<Event>>;

/// Key-value store with transactions, leases and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads the latest acknowledged value of one key; `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads up to `limit` keys that start with `prefix`, in ascending order, beginning after the
    /// key `after` if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response.
    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page>;

    /// Applies all writes of `txn` if all its guards hold, else none.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response; [`Error::may_have_applied`] returns
    /// whether the writes may have taken effect.
    async fn commit(&self, txn: Txn) -> Result<Commit>;

    /// Creates a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease and returns its remaining time to live; zero if it has expired.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response.
    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration>;

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response.
    async fn revoke(&self, lease: LeaseId) -> Result<()>;

    /// Watches the keys that start with `prefix`, including past changes from revision `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sends no valid response, or [`Error::Compacted`] if changes
    /// since `from` are no longer kept.
    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch>;

    /// Reads all changes after `after` of the keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] if the changes are not kept, or if the store was restored from a
    /// copy since `after`, and another error if the store sends no valid response.
    async fn changes(&self, _prefix: &str, after: Stamp) -> Result<Changes> {
        Err(Error::Compacted { oldest: after.revision + 1 })
    }
}
