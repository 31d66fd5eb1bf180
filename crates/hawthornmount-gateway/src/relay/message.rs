//! Messages between instances. They are sent as frames with a version, a keyed hash and a limit on
//! their size ([`hawthornmount_fleet::wire`]); an instance that receives a frame of another version
//! rejects it, and its sender reads the store instead.

use {
    super::bound,
    crate::follow::replica::{Cursor, Delta},
    hawthornmount_core::id::{InstanceId, ServiceId},
    hawthornmount_store::Stamp,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, serde_as},
    std::{sync::Arc, time::Duration},
};

/// Largest frame: the store's content, with a configuration of up to 1 MB.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Path to which frames are posted.
pub const PATH: &str = "/relay";

/// Time of a confirmation by the clock of the instance that answers, which only that instance
/// interprets.
pub type Confirmation = u64;

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
    /// Last confirmation that the sender got from this instance.
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
}

/// Changes, and how recently the store confirmed that there are no others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Point up to which the sender of the request has the content after the changes.
    pub cursor: Cursor,
    /// The changes.
    pub delta: Delta,
    /// Last confirmation; `None` if there was none.
    pub confirmation: Option<Confirmation>,
    /// Time from the arrival of the request to the call to the store that the confirmation answers,
    /// in microseconds; negative if the call came first.
    pub confirmed_after_arrival_us: i64,
}

impl Update {
    /// Returns the point in the history of the store that the content has reached.
    pub const fn stamp(&self) -> Stamp {
        self.cursor.stamp
    }
}
