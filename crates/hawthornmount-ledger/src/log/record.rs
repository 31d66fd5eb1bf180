//! Records of a shard, and the segments that carry them.

use {
    crate::{Claim, Claimed, Error, Outcome, Pin},
    hawthornmount_core::id::{AccountId, RequestId, SessionId},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// A lasting change of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// A claim; it holds if no other one holds its key.
    Claim(Claim),
    /// The end of a claimed call.
    Settle(Settle),
    /// A session pin; it holds if no pin of the same or a later generation stands.
    Pin(Pin),
}

/// The end of a claimed call.
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

/// What an instance asks of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Operation {
    /// To claim a key.
    Claim(Claim),
    /// To record the end of a claimed call.
    Settle(Settle),
    /// To pin a session.
    Pin(Pin),
    /// To read the pin of a session.
    Pinned {
        /// Account of the caller.
        account: AccountId,
        /// Session of the caller.
        session: SessionId,
    },
}

/// Answer of a shard to a [`Operation`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Answer to a claim.
    Claimed(Claimed),
    /// The end of the call is recorded.
    Settled,
    /// The pin that holds.
    Pin(Option<Pin>),
}

/// Answer that travels between instances.
pub type Answer = Result<Reply, Error>;

/// A batch of records, written at once.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Segment {
    /// Milliseconds since the epoch at which the segment was put together.
    pub at_ms: u64,
    /// The records in order.
    pub records: Vec<Record>,
}

impl Operation {
    /// Returns the text whose hash chooses the shard.
    pub fn subject(&self) -> String {
        match self {
            Self::Claim(claim) => claim_id(&claim.account, &claim.key),
            Self::Settle(settle) => claim_id(&settle.account, &settle.key),
            Self::Pin(pin) => pin_id(&pin.account, &pin.session),
            Self::Pinned { account, session } => pin_id(account, session),
        }
    }

    /// Tells whether a caller waits for the answer before its request can go on.
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

/// Returns the id of the slot of an attempt that must never hold a claim.
pub fn void_id(attempt: &str) -> String {
    format!("v/{attempt}")
}

/// Returns the binary form of a value.
///
/// # Errors
///
/// Returns an error if the value has no binary form.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    postcard::to_stdvec(value).map_err(|error| Error::form(&error.to_string()))
}

/// Reads a value from its binary form.
///
/// # Errors
///
/// Returns an error if the bytes are of another form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::form(&error.to_string()))
}
