//! Judge that never suspends a version and runs no roll-out.

use {
    crate::{Judge, Sample},
    async_trait::async_trait,
    hawthornmount_core::snapshot::{Release, Share},
};

/// Judge that never suspends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quiet;

#[async_trait]
impl Judge for Quiet {
    fn observe(&self, _sample: Sample) {}

    fn suspended(&self) -> Vec<Release> {
        Vec::new()
    }

    fn shares(&self) -> Vec<Share> {
        Vec::new()
    }
}
