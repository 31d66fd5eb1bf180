//! Fleet of entry instances: membership, gossip and propagation of the configuration. Components of
//! an instance communicate with those of other instances through [`Fleet`], each under its own
//! [`Topic`].

pub mod config;
pub mod local;
pub mod mesh;
pub mod revision;
pub mod role;
pub mod roster;
pub mod seed;
pub mod topic;
pub mod transport;
pub mod wire;

pub use topic::{Message, Topic};

use {
    async_trait::async_trait,
    bytes::Bytes,
    derive_more::{Display, Error},
    hawthornmount_core::{id::InstanceId, snapshot::Member},
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Why a request or a broadcast failed.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The peer is unknown or dead.
    #[display("{peer} is not a live member: choose another peer")]
    NotMember {
        /// The peer.
        #[error(not(source))]
        peer: InstanceId,
    },
    /// The peer sent no response in time, or one that does not fit the request.
    #[display("{peer} gave no answer: try another peer; cause={cause}")]
    NoResponse {
        /// The peer.
        peer: InstanceId,
        /// What went wrong, such as an error message of the transport.
        cause: Arc<str>,
    },
    /// The payload does not fit a frame.
    #[display("{bytes} bytes are too many for a frame: send fewer")]
    TooLarge {
        /// Size of the payload, in bytes.
        bytes: usize,
    },
}

/// Handles the requests of peers under one topic.
#[async_trait]
pub trait Responder: Send + Sync {
    /// Handles a request and returns the response.
    async fn respond(&self, message: Message) -> Bytes;
}

/// Communication with the other entry instances.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// Returns all members ordered by name, this instance included.
    fn members(&self) -> Arc<[Member]>;

    /// Returns the name of this instance.
    fn local(&self) -> InstanceId;

    /// Broadcasts a small payload to the other members by gossip, with best effort: it may arrive
    /// late, twice, out of order or never, so receivers must be able to merge payloads in any
    /// order.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload is too large for a datagram.
    fn broadcast(&self, topic: Topic, payload: Bytes) -> Result<(), Error>;

    /// Sends a request to a peer over TCP and returns its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is unknown or dead, the payload is too large, or the peer sends
    /// no valid response.
    async fn request(
        &self,
        peer: &InstanceId,
        topic: Topic,
        payload: Bytes,
    ) -> Result<Bytes, Error>;

    /// Delivers payloads that are broadcast under `topic` to `sender`; if the channel is full, they
    /// are dropped and counted.
    fn subscribe(&self, topic: Topic, sender: mpsc::Sender<Message>);

    /// Sets the responder to requests under `topic`; it replaces an earlier one.
    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>);
}
