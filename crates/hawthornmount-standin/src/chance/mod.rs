//! Draws what happens to each answer of a stand-in, from chances and a seed.

use {
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Chances of the faults of a stand-in.
pub(crate) trait Chances: Copy + Default {
    /// What happens to one answer.
    type Fate: Copy;
    /// What happens if no fault is drawn.
    const WHOLE: Self::Fate;

    /// Returns each fault with its chance, from 0 to 1.
    fn faults(self) -> impl IntoIterator<Item = (f64, Self::Fate)>;
}

/// Source of fates.
pub(crate) struct Draw<C> {
    state: Mutex<State<C>>,
}

struct State<C> {
    chances: C,
    rng: StdRng,
}

impl<C: Chances> Draw<C> {
    /// Sets the chances and the seed.
    pub(crate) fn set(&self, chances: C, seed: u64) {
        *self.state.lock() = State { chances, rng: StdRng::seed_from_u64(seed) };
    }

    /// Draws what happens to the next answer.
    pub(crate) fn next(&self) -> C::Fate {
        let mut state = self.state.lock();
        let mut left: f64 = state.rng.random();
        for (chance, fate) in state.chances.faults() {
            if left < chance {
                return fate;
            }
            left -= chance;
        }
        C::WHOLE
    }
}

impl<C: Chances> Default for Draw<C> {
    fn default() -> Self {
        Self { state: Mutex::new(State { chances: C::default(), rng: StdRng::seed_from_u64(0) }) }
    }
}
