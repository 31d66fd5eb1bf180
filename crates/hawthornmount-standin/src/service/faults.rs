//! Faults of the stand-in service.

use {
    crate::chance::{self, Draw},
    std::time::Duration,
};

/// Chances of faults, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chances {
    /// The service refuses and says that it did not run the call.
    pub refuse: f64,
    /// The service runs the call and its answer is cut.
    pub lose: f64,
    /// The service runs the call and its answer names another request.
    pub cross: f64,
    /// The service runs the call and answers late.
    pub late: f64,
    /// How late it answers then.
    pub late_by: Duration,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It is answered.
    Answer,
    /// It is refused before it runs.
    Refuse,
    /// It runs and its answer is cut.
    Lose,
    /// It runs and its answer names another request.
    Cross,
    /// It runs and is answered after this time.
    Late(Duration),
}

/// Source of fates.
pub type Faults = Draw<Chances>;

impl chance::Chances for Chances {
    type Fate = Fate;
    const WHOLE: Fate = Fate::Answer;

    fn faults(self) -> impl IntoIterator<Item = (f64, Fate)> {
        [
            (self.refuse, Fate::Refuse),
            (self.lose, Fate::Lose),
            (self.cross, Fate::Cross),
            (self.late, Fate::Late(self.late_by)),
        ]
    }
}
