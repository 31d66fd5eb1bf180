//! Fault injection: draws the outcome of each call from fault probabilities and a seed.

use {
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Fault probabilities of a stand-in.
pub(crate) trait Faults: Copy + Default {
    /// Outcome of one call.
    type Outcome: Copy;
    /// Outcome if no fault is drawn.
    const NO_FAULT: Self::Outcome;

    /// Returns each fault with its probability, from 0 to 1.
    fn probabilities(self) -> impl IntoIterator<Item = (f64, Self::Outcome)>;
}

/// Draws outcomes with a seeded random number generator.
pub(crate) struct Injector<F> {
    state: Mutex<State<F>>,
}

struct State<F> {
    faults: F,
    rng: StdRng,
}

impl<F: Faults> Injector<F> {
    /// Sets the fault probabilities and reseeds the generator.
    pub(crate) fn set(&self, faults: F, seed: u64) {
        *self.state.lock() = State { faults, rng: StdRng::seed_from_u64(seed) };
    }

    /// Draws the outcome of the next call.
    pub(crate) fn next(&self) -> F::Outcome {
        let mut state = self.state.lock();
        let mut remaining: f64 = state.rng.random();
        for (probability, outcome) in state.faults.probabilities() {
            if remaining < probability {
                return outcome;
            }
            remaining -= probability;
        }
        F::NO_FAULT
    }
}

impl<F: Faults> Default for Injector<F> {
    fn default() -> Self {
        Self { state: Mutex::new(State { faults: F::default(), rng: StdRng::seed_from_u64(0) }) }
    }
}
