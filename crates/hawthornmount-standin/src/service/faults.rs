//! Faults of the stand-in service.

use {
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
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
pub struct Faults {
    state: Mutex<(Chances, StdRng)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self { state: Mutex::new((Chances::default(), StdRng::seed_from_u64(0))) }
    }
}

impl Faults {
    /// Sets the chances and the seed.
    pub fn set(&self, chances: Chances, seed: u64) {
        *self.state.lock() = (chances, StdRng::seed_from_u64(seed));
    }

    pub(super) fn next(&self) -> Fate {
        let mut state = self.state.lock();
        let (chances, rng) = &mut *state;
        let mut left: f64 = rng.random();
        let fates = [
            (chances.refuse, Fate::Refuse),
            (chances.lose, Fate::Lose),
            (chances.cross, Fate::Cross),
            (chances.late, Fate::Late(chances.late_by)),
        ];
        for (chance, fate) in fates {
            if left < chance {
                return fate;
            }
            left -= chance;
        }
        Fate::Answer
    }
}
