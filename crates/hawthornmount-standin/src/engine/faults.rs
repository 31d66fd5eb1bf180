//! Faults of the stand-in engine's answers.

use crate::fault;

/// Probabilities of faulty answers, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The answer names another request.
    pub wrong_id: f64,
    /// The answer is truncated, and yet of a valid length.
    pub truncate: f64,
    /// The connection breaks in the middle of a streamed answer.
    pub cut: f64,
}

/// What happens to one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is whole.
    Whole,
    /// It names another request.
    WrongId,
    /// It is truncated.
    Truncate,
    /// Its connection breaks.
    Cut,
}

/// Source of fates.
pub type Injector = fault::Injector<Faults>;

impl fault::Faults for Faults {
    type Outcome = Outcome;
    const NO_FAULT: Outcome = Outcome::Whole;

    fn probabilities(self) -> impl IntoIterator<Item = (f64, Outcome)> {
        [
            (self.wrong_id, Outcome::WrongId),
            (self.truncate, Outcome::Truncate),
            (self.cut, Outcome::Cut),
        ]
    }
}
