//! Operations on a shard, and the records and segments of its log.

use {
    crate::{Claim, Claimed, Error, Outcome, Pin},
    hawthornmount_core::id::{AccountId, RequestId, SessionId},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// Change to the state of a shard, as its log stores it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Claims a key; has no effect if another claim holds the key.
    Claim(Claim),
    /// Records the outcome of a claimed call.
    Settle(Settle),
    /// Pins a session; has no effect if a pin of the same or a later generation exists.
    Pin(Pin),
}

/// Outcome of a claimed call, with the attempt that it belongs to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settle {
    /// Account of the caller.
    pub account: AccountId,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
    /// Attempt that ended.
    pub attempt: RequestId,
    /// How it ended.
    pub outcome: Outcome,
}

/// Operation on a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Operation {
    /// Claims a key.
    Claim(Claim),
    /// Records the outcome of a claimed call.
    Settle(Settle),
    /// Pins a session.
    Pin(Pin),
    /// Reads the pin of a session.
    Pinned {
        /// Account of the caller.
        account: AccountId,
        /// Session of the caller.
        session: SessionId,
    },
}

/// Result of an [`Operation`] that succeeded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Result of a claim.
    Claimed(Claimed),
    /// The outcome of the call is recorded, or the attempt does not hold the key.
    Settled,
    /// Pin of the session, if there is one.
    Pin(Option<Pin>),
}

/// Reply to an [`Operation`] or its error, which instances also send to each other.
pub type Answer = Result<Reply, Error>;

/// Records that are written to the log in one transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Segment {
    /// Milliseconds since the epoch at which the segment was created.
    pub at_ms: u64,
    /// Records in the order in which they apply.
    pub records: Vec<Record>,
}

impl Operation {
    /// Returns the string whose hash selects the shard.
    pub fn shard_key(&self) -> String {
        match self {
            Self::Claim(claim) => claim_id(&claim.account, &claim.key),
            Self::Settle(settle) => claim_id(&settle.account, &settle.key),
            Self::Pin(pin) => pin_id(&pin.account, &pin.session),
            Self::Pinned { account, session } => pin_id(account, session),
        }
    }

    /// Returns whether a request is blocked until the operation is done.
    pub const fn is_urgent(&self) -> bool {
        !matches!(self, Self::Settle(_))
    }
}

/// Returns the id of the slot of a claim.
pub fn claim_id(account: &str, key: &str) -> String {
    format!("c/{account}\0{key}")
}

/// Returns the id of the slot of a pin.
pub fn pin_id(account: &str, session: &str) -> String {
    format!("p/{account}\0{session}")
}

/// Returns the id of the slot that marks an attempt as voided, so that it never holds a claim.
pub fn void_id(attempt: &str) -> String {
    format!("v/{attempt}")
}

/// Encodes a value with postcard.
///
/// # Errors
///
/// Returns an error if the value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    postcard::to_stdvec(value).map_err(|error| Error::malformed(&error.to_string()))
}

/// Decodes a value with postcard.
///
/// # Errors
///
/// Returns an error if the bytes don't encode a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::malformed(&error.to_string()))
}
