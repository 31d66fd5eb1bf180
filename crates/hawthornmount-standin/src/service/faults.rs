//! Faults of the stand-in service.

use {crate::fault, std::time::Duration};

/// Fault probabilities, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that the service refuses a call and reports that it did not run.
    pub refuse: f64,
    /// Probability that the service runs a call and then aborts the response.
    pub cut: f64,
    /// Probability that the service runs a call and responds with another request's id.
    pub wrong_id: f64,
    /// Probability that the service runs a call and responds after `late_by`.
    pub late: f64,
    /// Delay of a late response.
    pub late_by: Duration,
}

/// Outcome of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The call runs and its response is sent.
    Respond,
    /// The call is refused before it runs.
    Refuse,
    /// The call runs and its response is aborted.
    Cut,
    /// The call runs and its response has another request's id.
    WrongId,
    /// The call runs and its response is sent after this delay.
    Late(Duration),
}

/// Draws the outcomes of the service's calls.
pub type Injector = fault::Injector<Faults>;

impl fault::Faults for Faults {
    type Outcome = Outcome;
    const NO_FAULT: Outcome = Outcome::Respond;

    fn probabilities(self) -> impl IntoIterator<Item = (f64, Outcome)> {
        [
            (self.refuse, Outcome::Refuse),
            (self.cut, Outcome::Cut),
            (self.wrong_id, Outcome::WrongId),
            (self.late, Outcome::Late(self.late_by)),
        ]
    }
}
