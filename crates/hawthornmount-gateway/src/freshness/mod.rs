//! Proof that the configuration in force is recent.
//!
//! A key that the operator takes away has to stop working within a bound on every instance, also on
//! one that is cut off or was suspended. A request with a key may therefore only be handed to a
//! server while the store has confirmed, by an answer to a question that was asked less than the
//! bound ago, that nothing newer exists. The age is measured from the moment of the question, with
//! a clock that counts suspensions.

use {
    hawthornmount_core::clock::Clock,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Longest time between the check of the fence and the arrival of the request at its server.
const MARGIN: Duration = Duration::from_millis(150);

/// Part of the time in which a configuration has to be in force up to which the last confirmation
/// still says what does not exist; the rest is for the way of the request.
const FRESH_PART: f64 = 0.8;

/// Age of the configuration's last confirmation.
pub struct Freshness {
    clock: Arc<dyn Clock>,
    bound: Duration,
    fresh: Duration,
    /// Microseconds of the boot clock at which the last confirmed question was asked; 0 if none.
    asked: AtomicU64,
}

impl Freshness {
    /// Creates a fence that is closed until the first confirmation; `bound` is the longest age at
    /// which a key may be trusted, `propagation` the time in which a configuration has to be in
    /// force.
    pub fn new(clock: Arc<dyn Clock>, bound: Duration, propagation: Duration) -> Self {
        Self {
            clock,
            bound: bound.saturating_sub(MARGIN),
            fresh: propagation.mul_f64(FRESH_PART),
            asked: AtomicU64::new(0),
        }
    }

    /// Returns the present time for [`Freshness::confirm`].
    pub fn now(&self) -> Duration {
        self.clock.boot()
    }

    /// Takes note that a question asked at `asked` was answered and nothing newer exists.
    pub fn confirm(&self, asked: Duration) {
        let micros = u64::try_from(asked.as_micros()).unwrap_or(0);
        self.asked.fetch_max(micros, Ordering::SeqCst);
    }

    /// Returns the age of the last confirmation.
    pub fn age(&self) -> Duration {
        match self.asked.load(Ordering::SeqCst) {
            0 => Duration::MAX,
            asked => self.clock.boot().saturating_sub(Duration::from_micros(asked)),
        }
    }

    /// Tells whether keys may be trusted now.
    pub fn is_within_revocation_bound(&self) -> bool {
        self.age() < self.bound
    }

    /// Tells whether the configuration is recent enough to say that something does not exist: an
    /// older one may lack what was added meanwhile.
    pub fn is_within_propagation_bound(&self) -> bool {
        self.age() < self.fresh
    }
}
