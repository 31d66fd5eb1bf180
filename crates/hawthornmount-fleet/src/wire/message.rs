//! Messages inside frames.

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

/// What an instance is doing, in the order in which one claim outranks another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// Answers probes.
    Alive,
    /// Missed probes and has not refuted yet.
    Suspect,
    /// Announced that it leaves.
    Leaving,
    /// Given up.
    Dead,
}

impl Standing {
    /// Returns the liveness that the snapshot shows.
    pub const fn liveness(self) -> Liveness {
        match self {
            Self::Alive => Liveness::Alive,
            Self::Suspect => Liveness::Suspect,
            Self::Leaving => Liveness::Leaving,
            Self::Dead => Liveness::Dead,
        }
    }
}

/// What is claimed of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the instance.
    pub id: InstanceId,
    /// Life of the instance.
    pub incarnation: Incarnation,
    /// Refutations of the instance in this life.
    pub refutation: u32,
    /// What it is doing.
    pub standing: Standing,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address for frames.
    pub address: SocketAddr,
}

impl Record {
    /// Returns what orders claims of the same instance: a later life first, then a later
    /// refutation, then the graver standing.
    pub const fn rank(&self) -> (Incarnation, u32, Standing) {
        (self.incarnation, self.refutation, self.standing)
    }
}

/// Configuration that the sender holds.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Time since the store confirmed it, as far as the sender knows.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
    /// Hash over the members that the sender knows.
    pub roster: u64,
}

/// A payload on its way to all members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Payload {
    /// Instance that sent it first.
    pub origin: InstanceId,
    /// Life of the origin.
    pub incarnation: Incarnation,
    /// Number within the origin's life.
    pub number: u64,
    /// What it is for.
    pub topic: Topic,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// News that spreads from instance to instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rumour {
    /// Claim of a member.
    Member(Record),
    /// Payload for a part of the instances.
    Payload(Payload),
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for an acknowledgement with the same number.
    Ping(u64),
    /// Acknowledges a ping.
    Ack(u64),
    /// Carries only news.
    Gossip,
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// Sender's claim of itself.
    pub from: Record,
    /// Instance that the frame is meant for.
    pub to: InstanceId,
    /// Configuration that the sender holds.
    pub digest: Digest,
    /// Kind of the frame.
    pub body: Body,
    /// News.
    pub rumours: Vec<Rumour>,
}

/// What is asked over a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Question {
    /// Whether the instance answers.
    Check,
    /// Whether another instance answers the asked one.
    Relay(Record),
    /// Members that both sides know.
    Sync(Vec<Record>),
    /// Question of a part of the instance.
    Topic(Topic, Vec<u8>),
}

/// A question with who asks whom.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Number that the asked side chose for this connection.
    pub nonce: u64,
    /// Asking side's claim of itself.
    pub from: Record,
    /// Instance that is asked.
    pub to: InstanceId,
    /// The question.
    pub question: Question,
}

/// What came of a question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Yes or no.
    Reachable(bool),
    /// Members.
    Members(Vec<Record>),
    /// Answer of a part of the instance.
    Topic(Vec<u8>),
    /// The instance that was asked for is not here.
    Misaddressed,
    /// No part answers under the topic.
    NoResponder,
}

/// Answer to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Number of the request.
    pub nonce: u64,
    /// Answering side's claim of itself.
    pub from: Record,
    /// Configuration that the answering side holds.
    pub digest: Digest,
    /// What came of the question.
    pub outcome: Outcome,
}
