//! Message types that are serialised into frames.

use {
    crate::Topic,
    hawthornmount_core::{
        id::{DataCentreId, Incarnation, InstanceId, Revision},
        snapshot::Liveness,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// Membership state of an instance. At equal incarnation and refutation a later variant takes
/// precedence over an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// Answers probes.
    Alive,
    /// Did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// Announced that it is leaving.
    Leaving,
    /// Did not refute the suspicion in time, or stopped answering while it was leaving.
    Dead,
}

impl Standing {
    /// Returns the corresponding liveness of the snapshot.
    pub const fn liveness(self) -> Liveness {
        match self {
            Self::Alive => Liveness::Alive,
            Self::Suspect => Liveness::Suspect,
            Self::Leaving => Liveness::Leaving,
            Self::Dead => Liveness::Dead,
        }
    }
}

/// Membership record of an instance, as announced by itself or by another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the instance.
    pub id: InstanceId,
    /// Incarnation of the instance, which grows with each restart.
    pub incarnation: Incarnation,
    /// Refutation counter within the incarnation.
    pub refutation: u32,
    /// Membership state.
    pub standing: Standing,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address that receives frames.
    pub address: SocketAddr,
}

impl Record {
    /// Returns the key that orders records of the same instance: the higher incarnation wins, then
    /// the higher refutation counter, then the later standing.
    pub const fn precedence(&self) -> (Incarnation, u32, Standing) {
        (self.incarnation, self.refutation, self.standing)
    }
}

/// Summary of the sender's configuration and membership, carried by each frame and response.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Configuration revision that the sender holds.
    pub revision: Revision,
    /// Time since the store last confirmed `revision` as the newest; none if it never did.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
    /// Hash of the sender's roster.
    pub roster: u64,
}

/// A payload that is broadcast to all members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Payload {
    /// Instance that broadcast the payload.
    pub origin: InstanceId,
    /// Incarnation of the origin.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation of the origin.
    pub number: u64,
    /// Topic of the payload.
    pub topic: Topic,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// An update that gossip disseminates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Update {
    /// Changed record of a member.
    Member(Record),
    /// Broadcast payload.
    Payload(Payload),
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for an acknowledgement with the same number.
    Ping(u64),
    /// Acknowledges the ping with the same number.
    Ack(u64),
    /// Carries only updates and the digest.
    Gossip,
}

/// The message in a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// Sender's own record.
    pub from: Record,
    /// Instance that the frame is addressed to; any other instance drops it.
    pub to: InstanceId,
    /// Summary of the sender's state.
    pub digest: Digest,
    /// Kind of the datagram.
    pub body: Body,
    /// Piggybacked updates.
    #[serde(rename = "rumours")]
    pub updates: Vec<Update>,
}

/// Operation that a request asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// Asks whether the receiver is reachable.
    Check,
    /// Asks the receiver to probe another instance.
    Relay(Record),
    /// Exchanges the full member lists of both sides.
    Sync(Vec<Record>),
    /// Carries a request for the responder of a topic.
    Topic(Topic, Vec<u8>),
}

/// A request over a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Nonce that the receiver chose for this connection; it prevents replay.
    pub nonce: u64,
    /// Requester's own record.
    pub from: Record,
    /// Instance that the request is addressed to.
    pub to: InstanceId,
    /// Requested operation.
    #[serde(rename = "question")]
    pub query: Query,
}

/// Result of a [`Query`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Whether the instance in question is reachable.
    Reachable(bool),
    /// All member records that the responding side knows.
    Members(Vec<Record>),
    /// Response of the topic's responder.
    Topic(Vec<u8>),
    /// The request was addressed to another instance.
    Misaddressed,
    /// No responder is registered for the topic.
    NoResponder,
}

/// Response to a [`Request`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Response {
    /// Nonce of the request.
    pub nonce: u64,
    /// Responding side's own record.
    pub from: Record,
    /// Summary of the responding side's state.
    pub digest: Digest,
    /// Result of the query.
    pub outcome: Outcome,
}
