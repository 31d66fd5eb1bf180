//! Lease of the instance that drives roll-outs and sends orders to engines.

use {
    hawthornmount_core::{clock::Clock, id::Revision},
    hawthornmount_store::{Entry, LeaseId, Result, Store, Txn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key of the lease holder in the store; its revision is the fencing number.
pub const KEY: &str = "/hawthornmount/rollout/holder";
/// Time to live of the lease.
pub const TTL: Duration = Duration::from_secs(6);
/// Time from the start of the last renewal during which the holder may act. It is shorter than
/// [`TTL`], so that operations in flight end well before the lease expires.
const ACTIVE_PERIOD: Duration = Duration::from_secs(3);

/// State of the lease in one instance.
pub struct Lease {
    name: Arc<str>,
    clock: Arc<dyn Clock>,
    lease: Option<LeaseId>,
    fence: Option<Revision>,
    /// Start of the last successful renewal.
    renewed: Option<Instant>,
}

impl Lease {
    /// Creates a lease that is not held. `name` is unique to this incarnation of the instance.
    pub fn new(name: Arc<str>, clock: Arc<dyn Clock>) -> Self {
        Self { name, clock, lease: None, fence: None, renewed: None }
    }

    /// Returns the fencing number if this instance holds the lease and may act for at least
    /// `needed`.
    pub fn fence(&self, needed: Duration) -> Option<Revision> {
        let end = self.renewed? + ACTIVE_PERIOD;
        (self.clock.now() + needed < end).then_some(self.fence).flatten()
    }

    /// Acquires the lease if there is no holder, or renews it. `holder` is the current entry of
    /// [`KEY`] in the store; after a lost answer it shows whether the lease was acquired.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer. The next call finds out from `holder` whether
    /// the operation succeeded.
    pub async fn acquire_or_renew(
        &mut self,
        store: &dyn Store,
        holder: Option<&Entry>,
    ) -> Result<()> {
        match holder {
            Some(entry) if *entry.value == *self.name.as_bytes() => self.renew(store, entry).await,
            Some(_) => {
                self.clear();
                Ok(())
            }
            None => self.acquire(store).await,
        }
    }

    async fn renew(&mut self, store: &dyn Store, entry: &Entry) -> Result<()> {
        let Some(lease) = self.lease else { return Ok(()) };
        let start = self.clock.now();
        if store.keep_alive(lease).await?.is_zero() {
            self.clear();
            return Ok(());
        }
        self.fence = Some(entry.revision);
        self.renewed = Some(start);
        Ok(())
    }

    async fn acquire(&mut self, store: &dyn Store) -> Result<()> {
        self.clear();
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

    fn clear(&mut self) {
        self.lease = None;
        self.fence = None;
        self.renewed = None;
    }
}
