//! Draws what happens to each answer of a stand-in, from chances and a seed.

use {
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Probabilities of the faults of a stand-in.
pub(crate) trait Faults: Copy + Default {
    /// What happens to one answer.
    type Outcome: Copy;
    /// What happens if no fault is drawn.
    const NO_FAULT: Self::Outcome;

    /// Returns each fault with its chance, from 0 to 1.
    fn probabilities(self) -> impl IntoIterator<Item = (f64, Self::Outcome)>;
}

/// Source of fates.
pub(crate) struct Injector<F> {
    state: Mutex<State<F>>,
}

struct State<F> {
    faults: F,
    rng: StdRng,
}

impl<F: Faults> Injector<F> {
    /// Sets the chances and the seed.
    pub(crate) fn set(&self, faults: F, seed: u64) {
        *self.state.lock() = State { faults, rng: StdRng::seed_from_u64(seed) };
    }

    /// Draws what happens to the next answer.
    pub(crate) fn next(&self) -> F::Outcome {
        let mut state = self.state.lock();
        let mut left: f64 = state.rng.random();
        for (chance, fate) in state.faults.probabilities() {
            if left < chance {
                return fate;
            }
            left -= chance;
        }
        F::NO_FAULT
    }
}

impl<F: Faults> Default for Injector<F> {
    fn default() -> Self {
        Self { state: Mutex::new(State { faults: F::default(), rng: StdRng::seed_from_u64(0) }) }
    }
}
