//! Topics under which the parts of an instance talk to their kin at other instances.

use {
    bytes::Bytes,
    hawthornmount_core::id::InstanceId,
    serde::{Deserialize, Serialize},
};

/// Part of an instance that a message is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Demand of accounts, for fair shares.
    Demand,
    /// Evidence on versions.
    Evidence,
    /// Suspensions of versions.
    Suspension,
    /// Progress of roll-outs.
    Rollout,
    /// Session pins.
    Session,
    /// Usage records that wait for the store.
    Usage,
    /// Claims on their way to a shard's owner.
    Claim,
    /// Load and health of backend servers.
    Load,
    /// Explanations of requests.
    Explain,
    /// Status of the instance.
    Status,
    /// Configuration.
    Config,
}

/// A payload from another instance.
#[derive(Clone, Debug)]
pub struct Message {
    /// Instance that sent the payload first.
    pub from: InstanceId,
    /// The payload.
    pub payload: Bytes,
}
