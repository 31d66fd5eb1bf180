//! Faults of the stand-in engine's answers.

use {
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

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
            (chances.cross, Fate::Cross),
            (chances.truncate, Fate::Truncate),
            (chances.cut, Fate::Cut),
        ];
        for (chance, fate) in fates {
            if left < chance {
                return fate;
            }
            left -= chance;
        }
        Fate::Whole
    }
}
