//! Messages between instances. They are sent as frames with a version, a keyed hash and a limit on
//! their size ([`hawthornmount_fleet::wire`]); an instance that receives a frame of another version
//! rejects it, and its sender reads the store instead.

use {
    super::bound,
    crate::follow::replica::{Cursor, Delta},
    hawthornmount_core::id::{InstanceId, Revision, ServiceId},
    hawthornmount_store::Stamp,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, serde_as},
    std::{sync::Arc, time::Duration},
};

/// Largest frame: the store's content, with a configuration of up to 1 MB.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Path to which frames are posted.
pub const PATH: &str = "/relay";

/// Times of the last confirmations by the clock of the instance that answers, which only that instance
/// interprets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Confirmation {
    /// Time of that of the whole content, in microseconds; 0 if there was none.
    pub content: u64,
    /// Time of that of the directory, in microseconds; 0 if there was none.
    pub directory: u64,
}

/// Request to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Random number that the response repeats.
    pub nonce: u64,
    /// Instance that sends the request.
    pub from: InstanceId,
    /// Instance that the request is addressed to; any other instance rejects it.
    pub to: InstanceId,
    /// What is asked for.
    pub query: Query,
}

/// Requests of an instance that are in flight at the old version of a service under a roll-out and
/// that a trial of the new version could use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InFlight {
    /// The service.
    pub service: ServiceId,
    /// Number of requests.
    pub requests: u32,
}

/// Request for what is newer than the known content.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Follow {
    /// Point up to which the sender has the content; `None` for the complete content.
    pub cursor: Option<Cursor>,
    /// Last confirmations that the sender got from this instance.
    pub confirmation: Option<Confirmation>,
    /// Time to wait for something newer.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "wait_us")]
    pub wait: Duration,
    /// Requests of the sender in flight, for each service under a roll-out.
    #[serde(deserialize_with = "bound::sequence")]
    pub in_flight: Vec<InFlight>,
}

/// What a request asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Query {
    /// Changes and confirmations after the known ones.
    Follow(Follow),
    /// Delivers the sender's report on a roll-out.
    Report {
        /// Service whose version is rolled out.
        service: ServiceId,
        /// Name under which the sender reports.
        reporter: Arc<str>,
        /// The report as JSON, as it is written to the store.
        report: Vec<u8>,
    },
    /// A part of a value that was deferred.
    Fetch(Fetch),
}

/// Request for a part of a large value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of the value; an instance that has a later one sends that, beginning at its start.
    pub revision: Revision,
    /// Position in the compressed value.
    pub offset: u32,
}

/// Part of a compressed value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Revision of the value.
    pub revision: Revision,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Position of the part in the compressed value.
    pub offset: u32,
    /// Length of the compressed value.
    pub length: u32,
    /// The part.
    pub bytes: Vec<u8>,
}

/// Response to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Response {
    /// Number of the request.
    pub nonce: u64,
    /// Result.
    pub outcome: Outcome,
}

/// Result of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// Changes after the cursor of the request.
    Update(Update),
    /// The report was taken.
    Received,
    /// Part of a value; `None` if the instance does not have it, or sends it to others at present.
    Part(Option<Part>),
}

/// Changes, and how recently the store confirmed that there are no others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Point up to which the sender of the request has the content after the changes.
    pub cursor: Cursor,
    /// The changes.
    pub delta: Delta,
    /// Last confirmations; `None` if there was none.
    pub confirmation: Option<Confirmation>,
    /// Time from the arrival of the request to the call to the store that the confirmation answers,
    /// in microseconds; negative if the call came first.
    pub confirmed_after_arrival_us: i64,
    /// The same for the call that confirmed the directory, which is the same one or a later one.
    pub directory_after_arrival_us: i64,
}

impl Update {
    /// Returns the point in the history of the store that the content has reached.
    pub const fn stamp(&self) -> Stamp {
        self.cursor.stamp
    }
}
