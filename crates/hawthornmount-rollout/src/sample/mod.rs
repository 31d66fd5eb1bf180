//! What one request saw of a version.

use {
    hawthornmount_core::{
        id::{DataCentreId, ServerId},
        snapshot::Release,
    },
    std::time::Duration,
};

/// What one request, or one late rating of it, saw of a version.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The version.
    pub release: Release,
    /// Server that answered.
    pub server: ServerId,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// What was seen.
    pub outcome: Outcome,
}

/// One observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer that took this long.
    Answered(Duration),
    /// The version failed: an error status or an answer that is not whole.
    Failed,
    /// The network or the server failed, which says nothing of the version.
    Unreachable,
    /// The rating service's verdict, from 0 to 1.
    Rated(f64),
}
