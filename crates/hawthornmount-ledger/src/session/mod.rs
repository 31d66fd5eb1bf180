//! Session pins.

use {
    hawthornmount_core::id::{AccountId, ModelId, SessionId, VersionId},
    serde::{Deserialize, Serialize},
};

/// A session with the version that it keeps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pin {
    /// Account of the caller.
    pub account: AccountId,
    /// Session of the caller.
    pub session: SessionId,
    /// Model that the session keeps.
    pub model: ModelId,
    /// Version that the session keeps.
    pub version: VersionId,
    /// Number that grows each time the session has to move.
    pub generation: u64,
}
