//! Entry instances as a fleet: members, gossip between them, and the configuration revision that
//! all of them hold. Other parts talk over [`Fleet`] under a [`Topic`] of their own.

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

/// Why a peer gave no answer.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The peer is not a live member.
    #[display("{peer} is not a live member: choose another peer")]
    NotMember {
        /// The peer.
        #[error(not(source))]
        peer: InstanceId,
    },
    /// The peer did not answer in time.
    #[display("{peer} gave no answer: try another peer; cause={cause}")]
    NoAnswer {
        /// The peer.
        peer: InstanceId,
        /// Message of the transport.
        cause: Arc<str>,
    },
    /// The payload is larger than a frame takes.
    #[display("{bytes} bytes are too many for a frame: send fewer")]
    TooLarge {
        /// Size of the payload.
        bytes: usize,
    },
}

/// Answers the requests of peers under one topic.
#[async_trait]
pub trait Responder: Send + Sync {
    /// Answers one request.
    async fn respond(&self, message: Message) -> Bytes;
}

/// The other entry instances.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// Returns all members in order of their names, this instance included.
    fn members(&self) -> Arc<[Member]>;

    /// Returns the name of this instance.
    fn local(&self) -> InstanceId;

    /// Spreads a small payload to all members by gossip, best effort: it may come late, twice, out
    /// of order or never, so it must merge in any order.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload is too large for a datagram.
    fn broadcast(&self, topic: Topic, payload: Bytes) -> Result<(), Error>;

    /// Asks one peer over TCP.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer gives no answer.
    async fn request(
        &self,
        peer: &InstanceId,
        topic: Topic,
        payload: Bytes,
    ) -> Result<Bytes, Error>;

    /// Hands payloads spread under `topic` to `sender`; a full channel drops and counts them.
    fn subscribe(&self, topic: Topic, sender: mpsc::Sender<Message>);

    /// Sets who answers [`Fleet::request`] under `topic`.
    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>);
}
