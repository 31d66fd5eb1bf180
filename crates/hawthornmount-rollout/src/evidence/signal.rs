//! What a version is judged by.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What a version is judged by.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Failed answers.
    #[display("failures")]
    Failure,
    /// Ratings of answers.
    #[display("ratings")]
    Rating,
    /// Slow answers.
    #[display("latency")]
    Latency,
}

impl Signal {
    /// Every signal, in order.
    pub const ALL: [Self; 3] = [Self::Failure, Self::Rating, Self::Latency];
}
