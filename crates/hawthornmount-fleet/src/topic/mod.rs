//! Topics, each of which connects a component of an instance with the same component of others.

use {
    bytes::Bytes,
    hawthornmount_core::id::InstanceId,
    serde::{Deserialize, Serialize},
};

/// Component that a message is addressed to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Request rates of client accounts, for fair sharing.
    Demand,
    /// Evidence on versions, which decides on roll-outs and suspensions.
    Evidence,
    /// Suspensions of versions.
    Suspension,
    /// Progress of roll-outs.
    Rollout,
    /// Session pins.
    Session,
    /// Copies of usage records that the store does not hold yet.
    Usage,
    /// Operations of the request ledger that are forwarded to the owner of a shard.
    Claim,
    /// Load and health of backend servers.
    Load,
    /// Traces of requests.
    Explain,
    /// Status of the instance.
    Status,
    /// Transfer of the configuration between instances.
    Config,
}

/// A payload from another instance.
#[derive(Clone, Debug)]
pub struct Message {
    /// Instance that the payload originates from.
    pub from: InstanceId,
    /// The payload.
    pub payload: Bytes,
}
