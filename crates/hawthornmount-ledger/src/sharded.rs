//! Ledger that keeps claims and session pins in the sharded log, and usage records in batches.

use {
    crate::{
        Claim, Claimed, Error, Ledger, Outcome, Pin, Ticket, Total, Usage,
        billing::{Billing, MAX_WAITING_RECORDS},
        log::{Log, Options},
    },
    async_trait::async_trait,
    hawthornmount_core::{
        clock::Clock,
        id::{AccountId, SessionId},
    },
    hawthornmount_fleet::Fleet,
    hawthornmount_store::Store,
    std::{sync::Arc, time::Duration},
};

/// Time allowed for writing the waiting usage records, and again for the waiting operations of the
/// log, when the instance stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Ledger that writes claims and session pins to a sharded [`Log`], and usage through [`Billing`].
pub struct Sharded {
    log: Log,
    billing: Arc<Billing>,
}

impl Sharded {
    /// Creates the ledger on a store.
    pub fn new(
        store: &Arc<dyn Store>,
        fleet: &Arc<dyn Fleet>,
        clock: &Arc<dyn Clock>,
        options: Options,
    ) -> Self {
        Self {
            log: Log::new(store, fleet.clone(), clock, options),
            billing: Billing::new(store.clone(), fleet.clone(), MAX_WAITING_RECORDS),
        }
    }
}

#[async_trait]
impl Ledger for Sharded {
    async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        self.log.claim(claim).await
    }

    async fn settle(&self, ticket: &Ticket, outcome: Outcome) -> Result<(), Error> {
        self.log.settle(ticket, outcome).await
    }

    async fn record(&self, usage: Usage) -> Result<(), Error> {
        self.billing.record(usage).await
    }

    fn check_capacity(&self) -> Result<(), Error> {
        self.billing.check_capacity()
    }

    async fn pin(&self, pin: Pin) -> Result<Pin, Error> {
        self.log.pin(pin).await
    }

    async fn pinned(&self, account: &AccountId, session: &SessionId) -> Result<Option<Pin>, Error> {
        self.log.pinned(account, session).await
    }

    async fn total(&self, account: &AccountId) -> Result<Total, Error> {
        self.billing.total(account).await
    }

    async fn flush(&self) -> Result<(), Error> {
        let billing = self.billing.flush(FLUSH_TIMEOUT).await;
        self.log.flush(FLUSH_TIMEOUT).await?;
        billing
    }
}
