//! Errors of calls to the store.

use {
    derive_more::{Display, Error},
    hawthornmount_core::id::Revision,
    std::sync::Arc,
};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call to the store.
///
/// The messages can become part of a problem that is returned to a caller: keep them unchanged.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The call did not reach the store, or the store rejected it; it had no effect.
    #[display("the store can't be reached, try again later; cause={cause}")]
    Unreachable {
        /// Error message of the transport.
        cause: Arc<str>,
    },
    /// The call was sent but no response arrived; it may have taken effect.
    #[display("the store's answer was lost, read back before trying again; cause={cause}")]
    ResponseLost {
        /// Error message of the transport.
        cause: Arc<str>,
    },
    /// The changes since the requested revision have been compacted.
    #[display("revision {oldest} is the oldest kept, read the present value and watch from there")]
    Compacted {
        /// Oldest revision whose changes are available.
        oldest: Revision,
    },
    /// The request or the response is not valid; the call may have taken effect.
    #[display("the store and this program don't agree on the protocol, report it; cause={cause}")]
    Protocol {
        /// What is invalid.
        cause: Arc<str>,
    },
    /// The value is larger than the store accepts.
    #[display("the value has {bytes} bytes and the store takes {limit}, split it")]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
        /// Largest size that the store accepts, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the writes of the failed call may have taken effect.
    pub const fn may_have_applied(&self) -> bool {
        matches!(self, Self::ResponseLost { .. } | Self::Protocol { .. })
    }
}
