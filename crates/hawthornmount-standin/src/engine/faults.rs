//! Injected faults of the stand-in engine's answers.

use crate::fault;

/// Fault probabilities, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that the response has another request's id.
    pub wrong_id: f64,
    /// Probability that the answer is truncated although the HTTP body is complete.
    pub truncate: f64,
    /// Probability that the connection breaks in the middle of a streamed answer.
    pub cut: f64,
}

/// Outcome of one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// The response has another request's id.
    WrongId,
    /// The answer is truncated although the HTTP body is complete.
    Truncate,
    /// The connection breaks in the middle of a streamed answer.
    Cut,
}

/// Draws the outcomes of the engine's answers.
pub type Injector = fault::Injector<Faults>;

impl fault::Faults for Faults {
    type Outcome = Outcome;
    const NO_FAULT: Outcome = Outcome::Complete;

    fn probabilities(self) -> impl IntoIterator<Item = (f64, Outcome)> {
        [
            (self.wrong_id, Outcome::WrongId),
            (self.truncate, Outcome::Truncate),
            (self.cut, Outcome::Cut),
        ]
    }
}
