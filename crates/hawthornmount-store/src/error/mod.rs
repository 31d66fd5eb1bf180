//! Errors of the store.

use {
    derive_more::{Display, Error},
    hawthornmount_core::id::Revision,
    std::sync::Arc,
};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the store gave no answer.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The call did not reach the store, or the store refused it; it had no effect.
    #[display("the store can't be reached, try again later; cause={cause}")]
    Unreachable {
        /// Message of the transport.
        cause: Arc<str>,
    },
    /// The answer was lost; the call may have taken effect.
    #[display("the store's answer was lost, read back before trying again; cause={cause}")]
    ResponseLost {
        /// Message of the transport.
        cause: Arc<str>,
    },
    /// The revision is no longer kept.
    #[display("revision {oldest} is the oldest kept, read the present value and watch from there")]
    Compacted {
        /// Oldest revision that is kept.
        oldest: Revision,
    },
    /// The call or the answer is not valid.
    #[display("the store and this program don't agree on the protocol, report it; cause={cause}")]
    Protocol {
        /// What was wrong.
        cause: Arc<str>,
    },
    /// The value is larger than the store takes.
    #[display("the value has {bytes} bytes and the store takes {limit}, split it")]
    TooLarge {
        /// Size of the value.
        bytes: usize,
        /// Largest size that the store takes.
        limit: usize,
    },
}

impl Error {
    /// Tells whether the writes of the failed call can have taken effect.
    pub const fn may_have_applied(&self) -> bool {
        matches!(self, Self::ResponseLost { .. } | Self::Protocol { .. })
    }
}
