//! Claims of non-idempotent calls.

use {
    hawthornmount_core::id::{AccountId, RequestId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A request to run a non-idempotent call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Account of the caller.
    pub account: AccountId,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
    /// Request that is to run, which is the attempt's id.
    pub attempt: RequestId,
    /// BLAKE3 hash, in hexadecimal, of method, path and body.
    pub digest: Arc<str>,
    /// Milliseconds since the epoch after which the attempt no longer runs.
    pub until_ms: u64,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Claimed {
    /// This attempt is the first and may run.
    First(Ticket),
    /// An earlier attempt runs or its instance died.
    Running {
        /// The earlier attempt.
        attempt: RequestId,
    },
    /// An earlier attempt ended.
    Ended {
        /// The earlier attempt.
        attempt: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The key was used with another body.
    Conflict,
}

/// Right to run a claimed call, and to say how it ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ticket {
    /// The claim that won.
    pub claim: Claim,
}

/// How a claimed call ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The server answered.
    Done {
        /// Status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: Arc<str>,
        /// Body of the answer, if it is small enough to keep.
        body: Option<Vec<u8>>,
        /// BLAKE3 hash, in hexadecimal, of the body.
        digest: Arc<str>,
    },
    /// The server refused before running, or no byte went out; the key may be used again.
    NotRun,
    /// A byte went out and no answer came.
    Unknown,
}
