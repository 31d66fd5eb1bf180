//! Quality signals by which versions are compared.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Quality signal by which versions are compared.
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
    /// Every signal, in the order of [`Tally::counts`](super::Tally::counts).
    pub const ALL: [Self; 3] = [Self::Failure, Self::Rating, Self::Latency];
}
