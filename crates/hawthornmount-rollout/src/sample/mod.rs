//! Observation of a version by one request.

use {
    hawthornmount_core::{
        id::{DataCentreId, ServerId},
        snapshot::Release,
    },
    std::time::Duration,
};

/// Observation of a version by one request, or by a rating that arrived after its answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The version.
    pub release: Release,
    /// Server that answered.
    pub server: ServerId,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// What was observed.
    pub outcome: Outcome,
}

/// Outcome of a request or rating.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer, with its latency.
    Answered(Duration),
    /// The version failed: an error status or an incomplete answer.
    Failed,
    /// The network or the server failed, which is no evidence against the version.
    Unreachable,
    /// Rating of an answer by the rating service, from 0 (bad) to 1 (good).
    Rated(f64),
}
