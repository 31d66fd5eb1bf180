//! Claims of non-idempotent calls.

use {
    hawthornmount_core::id::{AccountId, RequestId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Request to run a non-idempotent call. Of the attempts with one key only the first may run, and a
/// further one if the first ended as [`Outcome::NotRun`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Account of the caller.
    pub account: AccountId,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
    /// Id of the request that is to run, which identifies the attempt.
    pub attempt: RequestId,
    /// BLAKE3 hash of service, method, path and body, in hexadecimal.
    pub digest: Arc<str>,
    /// Time, in milliseconds since the epoch, after which the attempt no longer runs.
    pub until_ms: u64,
}

/// Result of a [`Claim`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Claimed {
    /// This attempt is the first and may run.
    First(Ticket),
    /// An earlier attempt still runs, or its instance crashed before it recorded an outcome.
    Running {
        /// Id of the earlier attempt.
        attempt: RequestId,
    },
    /// An earlier attempt ended.
    Ended {
        /// Id of the earlier attempt.
        attempt: RequestId,
        /// Outcome of the earlier attempt.
        outcome: Outcome,
    },
    /// The key was used with another service, method, path or body.
    Conflict,
}

/// Permission to run a claimed call and to record its outcome.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ticket {
    /// The claim that was granted.
    pub claim: Claim,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The server answered.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: Arc<str>,
        /// Body of the answer, if it is small enough to keep.
        body: Option<Vec<u8>>,
        /// BLAKE3 hash of the body, in hexadecimal.
        digest: Arc<str>,
    },
    /// The server refused the call before running it, or no byte was sent. The key may be used
    /// again.
    NotRun,
    /// The call may have run: at least one byte was sent and no answer was received, or
    /// [`Claim::until_ms`] passed without a recorded outcome.
    Unknown,
}
