//! Session pins.

use {
    hawthornmount_core::id::{AccountId, ModelId, SessionId, VersionId},
    serde::{Deserialize, Serialize},
};

/// Version that serves a session until the session has to move to another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pin {
    /// Account of the caller.
    pub account: AccountId,
    /// Session of the caller.
    pub session: SessionId,
    /// Model that serves the session.
    pub model: ModelId,
    /// Version that serves the session.
    pub version: VersionId,
    /// Number that increases each time the session has to move to another version. A pin of a later
    /// generation replaces one of an earlier generation.
    pub generation: u64,
}
