//! Faults of the stand-in service.

use {crate::fault, std::time::Duration};

/// Probabilities of faults, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The service refuses and says that it did not run the call.
    pub refuse: f64,
    /// The service runs the call and its answer is cut.
    pub cut: f64,
    /// The service runs the call and its answer names another request.
    pub wrong_id: f64,
    /// The service runs the call and answers late.
    pub late: f64,
    /// How late it answers then.
    pub late_by: Duration,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is answered.
    Answer,
    /// It is refused before it runs.
    Refuse,
    /// It runs and its answer is cut.
    Cut,
    /// It runs and its answer names another request.
    WrongId,
    /// It runs and is answered after this time.
    Late(Duration),
}

/// Source of fates.
pub type Injector = fault::Injector<Faults>;

impl fault::Faults for Faults {
    type Outcome = Outcome;
    const NO_FAULT: Outcome = Outcome::Answer;

    fn probabilities(self) -> impl IntoIterator<Item = (f64, Outcome)> {
        [
            (self.refuse, Outcome::Refuse),
            (self.cut, Outcome::Cut),
            (self.wrong_id, Outcome::WrongId),
            (self.late, Outcome::Late(self.late_by)),
        ]
    }
}
