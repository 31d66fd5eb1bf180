//! What operators and servers write to the store, apart from its spelling.

use {
    crate::registry::Server,
    hawthornmount_core::{
        config::Config,
        id::{ServerId, ServiceId, VersionId},
    },
    std::{sync::Arc, time::Duration},
};

/// What a key of the store is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// The configuration.
    Config,
    /// A server.
    Server(ServerId),
    /// The order to roll out a version of a service.
    Order(ServiceId),
    /// Anything else.
    Other,
}

/// Order to move a service's requests to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Version that is to get the requests.
    pub version: VersionId,
    /// Time in which the roll-out is to end.
    pub duration: Duration,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Under way.
    Running,
    /// Every request goes to the new version.
    Completed,
    /// Every request goes to the old version.
    RolledBack,
}

/// Progress of a roll-out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Version that was ordered.
    pub version: VersionId,
    /// How far the roll-out is.
    pub stage: Stage,
}

/// Why a value can't be read: what is wrong in it.
pub type DecodeError = Arc<str>;

/// Spelling of keys and values of the store.
pub trait Schema: Send + Sync {
    /// Returns the prefix of the keys that are followed.
    fn followed_prefix(&self) -> &'static str;

    /// Tells what a key is about.
    fn parse_key(&self, key: &str) -> Key;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if the value is no configuration; parts that can't be read are left
    /// out with a line in the log.
    fn decode_config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Reads a server's entry.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if the value names no server.
    fn decode_server(&self, id: &ServerId, value: &[u8]) -> Result<Server, DecodeError>;

    /// Reads an order.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if the value is no order.
    fn decode_order(&self, value: &[u8]) -> Result<Order, DecodeError>;

    /// Returns key and value that tell the operator the progress of a service's roll-out.
    fn encode_progress(&self, service: &ServiceId, progress: &Progress) -> (String, Vec<u8>);
}
