//! Count of an attempt as running at its server.

use {
    hawthornmount_core::snapshot::Release,
    hawthornmount_policy::{Choice, Router, router::Outcome},
    std::{sync::Arc, time::Instant},
};

/// Keeps an attempt counted as running at its server until it is dropped.
pub struct Running {
    router: Arc<dyn Router>,
    choice: Choice,
    release: Option<Release>,
    ended: Outcome,
}

impl Running {
    /// Takes over an attempt that the router has counted.
    pub fn new(router: &Arc<dyn Router>, choice: &Choice, release: Option<&Release>) -> Self {
        Self {
            router: router.clone(),
            choice: choice.clone(),
            release: release.cloned(),
            ended: Outcome::Cancelled,
        }
    }

    /// Sets how the attempt ended; an attempt that is dropped before was cancelled.
    pub const fn set(&mut self, ended: Outcome) {
        self.ended = ended;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.router.record_outcome(&self.choice, self.release.as_ref(), self.ended, Instant::now());
    }
}
