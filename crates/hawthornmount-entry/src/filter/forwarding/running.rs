//! Guard that keeps an attempt counted as running at its server.

use {
    hawthornmount_core::snapshot::Release,
    hawthornmount_policy::{Choice, Router, router::Outcome},
    std::{sync::Arc, time::Instant},
};

/// Keeps an attempt counted as running at its server, and reports its outcome to the router when
/// dropped.
pub struct Running {
    router: Arc<dyn Router>,
    choice: Choice,
    release: Option<Release>,
    outcome: Outcome,
}

impl Running {
    /// Creates a guard for an attempt that the router has just counted.
    pub fn new(router: &Arc<dyn Router>, choice: &Choice, release: Option<&Release>) -> Self {
        Self {
            router: router.clone(),
            choice: choice.clone(),
            release: release.cloned(),
            outcome: Outcome::Cancelled,
        }
    }

    /// Sets the outcome to report; without it, the attempt is reported as cancelled.
    pub const fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.router.record_outcome(
            &self.choice,
            self.release.as_ref(),
            self.outcome,
            Instant::now(),
        );
    }
}
