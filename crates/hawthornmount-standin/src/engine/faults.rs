//! Faults of the stand-in engine's answers.

use crate::chance::{self, Draw};

/// Chances of faulty answers, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chances {
    /// The answer names another request.
    pub cross: f64,
    /// The answer is truncated, and yet of a valid length.
    pub truncate: f64,
    /// The connection breaks in the middle of a streamed answer.
    pub cut: f64,
}

/// What happens to one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It is whole.
    Whole,
    /// It names another request.
    Cross,
    /// It is truncated.
    Truncate,
    /// Its connection breaks.
    Cut,
}

/// Source of fates.
pub type Faults = Draw<Chances>;

impl chance::Chances for Chances {
    type Fate = Fate;
    const WHOLE: Fate = Fate::Whole;

    fn faults(self) -> impl IntoIterator<Item = (f64, Fate)> {
        [(self.cross, Fate::Cross), (self.truncate, Fate::Truncate), (self.cut, Fate::Cut)]
    }
}
