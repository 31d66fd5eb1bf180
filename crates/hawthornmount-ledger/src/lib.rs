//! Claims of non-idempotent calls, usage records and session pins, stored in the platform's
//! key-value service so that all instances see the same ones.

pub mod billing;
pub mod claim;
pub mod direct;
pub mod log;
pub mod session;
pub mod usage;

#[cfg(test)]
mod fakes;
mod sharded;

pub use {
    claim::{Claim, Claimed, Outcome, Ticket},
    session::Pin,
    sharded::Sharded,
    usage::{Total, Usage},
};

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    hawthornmount_core::id::{AccountId, SessionId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Error of the ledger.
#[derive(Clone, Debug, Deserialize, Display, Error, PartialEq, Serialize)]
pub enum Error {
    /// The store can't be reached and nothing was written.
    #[display("the store is out of reach, try again later; cause={cause}")]
    Unavailable {
        /// Error message of the store.
        cause: Arc<str>,
    },
    /// It is not known whether the write took effect.
    #[display("the store's answer was lost and reading back failed; cause={cause}")]
    Unknown {
        /// Error message of the store.
        cause: Arc<str>,
    },
    /// Too many usage records wait for the store, or a flush ended while records or operations
    /// still waited.
    #[display("{waiting} usage records wait for the store, try again when it is back")]
    Backlog {
        /// Number of waiting records or operations.
        waiting: usize,
    },
}

impl Error {
    fn unavailable(cause: &str) -> Self {
        Self::Unavailable { cause: cause.into() }
    }

    fn unknown(cause: &str) -> Self {
        Self::Unknown { cause: cause.into() }
    }

    /// Returns the error for data that can't be encoded or decoded, or that does not fit the
    /// operation.
    fn malformed(cause: &str) -> Self {
        Self::unknown(&format!("a record of the ledger is of another form: {cause}"))
    }
}

/// Records shared by all instances; of concurrent writes to one record, the first takes effect.
#[async_trait]
pub trait Ledger: Send + Sync {
    /// Claims the only run of a non-idempotent call.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim is not known to be the first. The call must not be sent to a
    /// server then.
    async fn claim(&self, claim: Claim) -> Result<Claimed, Error>;

    /// Records the outcome of a claimed call.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not known to be durable.
    async fn settle(&self, ticket: &Ticket, outcome: Outcome) -> Result<(), Error>;

    /// Makes a usage record durable. Records of the same request id count once.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is neither durable nor copied to peers.
    async fn record(&self, usage: Usage) -> Result<(), Error>;

    /// Checks, before a request runs, that its usage record can be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if too many records wait for the store.
    fn check_capacity(&self) -> Result<(), Error> {
        Ok(())
    }

    /// Pins a session to a version and returns the pin in effect, which may be an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is out of reach.
    async fn pin(&self, pin: Pin) -> Result<Pin, Error>;

    /// Returns the pin of a session.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is out of reach.
    async fn pinned(&self, account: &AccountId, session: &SessionId) -> Result<Option<Pin>, Error>;

    /// Returns the total usage of an account.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is out of reach.
    async fn total(&self, account: &AccountId) -> Result<Total, Error>;

    /// Writes all waiting records before the instance stops.
    ///
    /// # Errors
    ///
    /// Returns an error if records still wait.
    async fn flush(&self) -> Result<(), Error>;
}
