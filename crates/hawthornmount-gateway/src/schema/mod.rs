//! Content that operators and servers write to the store, independent of its encoding.

use {
    crate::registry::Server,
    hawthornmount_core::{
        config::Config,
        id::{DataCentreId, ServerId, ServiceId, VersionId},
    },
    std::{sync::Arc, time::Duration},
};

/// Meaning of a key of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// The configuration.
    Config,
    /// The entry of a server.
    Server(ServerId),
    /// The order to roll out a version of a service.
    Order(ServiceId),
    /// The order to send nothing to the servers of a data centre, as long as the key exists.
    Evacuation(DataCentreId),
    /// Any other key.
    Other,
}

/// Configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version, which grows with each configuration. It orders configurations even if the store
    /// was restored from a copy.
    pub version: u64,
    /// Content.
    pub config: Config,
}

/// Order to move a service's requests to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Version that the requests move to.
    pub version: VersionId,
    /// Time in which the roll-out must complete.
    pub duration: Duration,
}

/// Stage of a roll-out as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The roll-out is under way.
    Running,
    /// All requests go to the new version.
    Completed,
    /// All requests go to the old version.
    RolledBack,
}

/// Progress of a roll-out as reported to the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Version that is rolled out.
    pub version: VersionId,
    /// Stage of the roll-out.
    pub stage: Stage,
}

/// Reason why a value can't be decoded.
pub type DecodeError = Arc<str>;

/// Encoding of the keys and values of the store.
pub trait Codec: Send + Sync {
    /// Returns the prefix of the keys that are followed.
    fn followed_prefix(&self) -> &'static str;

    /// Returns the prefixes of the keys whose changes must not wait until large values are read: those
    /// of servers, evacuations and orders.
    fn directory_prefixes(&self) -> &'static [&'static str];

    /// Returns the meaning of a key.
    fn parse_key(&self, key: &str) -> Key;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Returns the reason if the value is not a configuration. Parts that can't be decoded are
    /// skipped with a line in the log.
    fn decode_config(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Decodes a server's entry.
    ///
    /// # Errors
    ///
    /// Returns the reason if the value is not a server's entry.
    fn decode_server(&self, id: &ServerId, value: &[u8]) -> Result<Server, DecodeError>;

    /// Decodes an order.
    ///
    /// # Errors
    ///
    /// Returns the reason if the value is not an order.
    fn decode_order(&self, value: &[u8]) -> Result<Order, DecodeError>;

    /// Returns the key and value that report the progress of a service's roll-out to the operator.
    fn encode_progress(&self, service: &ServiceId, progress: &Progress) -> (String, Vec<u8>);
}
