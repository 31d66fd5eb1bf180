//! The lease of the holder that drives roll-outs and orders engines.

use {
    hawthornmount_core::{clock::Clock, id::Revision},
    hawthornmount_store::{Entry, LeaseId, Result, Store, Txn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key that the holder keeps; its revision is the fencing number.
pub const KEY: &str = "/hawthornmount/rollout/holder";
/// Time to live of the lease.
pub const TTL: Duration = Duration::from_secs(6);
/// Time after the start of the last renewal in which the holder acts. What it began ends well
/// before the lease lapses.
const ACTS: Duration = Duration::from_secs(3);

/// The lease as one instance sees it.
pub struct Lease {
    name: Arc<str>,
    clock: Arc<dyn Clock>,
    lease: Option<LeaseId>,
    fence: Option<Revision>,
    renewed: Option<Instant>,
}

impl Lease {
    /// Creates a lease that is not held. `name` is unique to this life of the instance.
    pub fn new(name: Arc<str>, clock: Arc<dyn Clock>) -> Self {
        Self { name, clock, lease: None, fence: None, renewed: None }
    }

    /// Returns the fencing number while the holder may act for `needed` more.
    pub fn fence(&self, needed: Duration) -> Option<Revision> {
        let ends = self.renewed? + ACTS;
        (self.clock.now() + needed < ends).then_some(self.fence).flatten()
    }

    /// Takes the lease if nobody holds it, or renews it. `seen` is the holder's key as the store
    /// has it now; after a lost answer it tells whether the lease was taken.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer; the next call settles what became of it.
    pub async fn keep(&mut self, store: &dyn Store, seen: Option<&Entry>) -> Result<()> {
        match seen {
            Some(entry) if *entry.value == *self.name.as_bytes() => self.renew(store, entry).await,
            Some(_) => {
                self.drop_it();
                Ok(())
            }
            None => self.take(store).await,
        }
    }

    async fn renew(&mut self, store: &dyn Store, entry: &Entry) -> Result<()> {
        let Some(lease) = self.lease else { return Ok(()) };
        let start = self.clock.now();
        if store.keep_alive(lease).await?.is_zero() {
            self.drop_it();
            return Ok(());
        }
        self.fence = Some(entry.revision);
        self.renewed = Some(start);
        Ok(())
    }

    async fn take(&mut self, store: &dyn Store) -> Result<()> {
        self.drop_it();
        let start = self.clock.now();
        let lease = store.grant(TTL).await?;
        self.lease = Some(lease);
        let txn = Txn::new().if_absent(KEY).put_leased(KEY, self.name.as_bytes().to_vec(), lease);
        let commit = store.commit(txn).await?;
        if commit.applied {
            self.fence = Some(commit.revision);
            self.renewed = Some(start);
        }
        Ok(())
    }

    fn drop_it(&mut self) {
        self.lease = None;
        self.fence = None;
        self.renewed = None;
    }
}
