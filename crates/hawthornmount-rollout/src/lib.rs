//! Roll-outs, withdrawals and suspensions of versions, the evidence that they rest on, and the
//! orders to engines that follow from them.

pub mod driver;
pub mod evidence;
pub mod gossip;
pub mod inbox;
pub mod monitor;
pub mod order;
pub mod progress;
pub mod sample;
pub mod suspension;

pub use sample::Sample;

use {
    async_trait::async_trait,
    hawthornmount_core::snapshot::{Release, Share},
};

/// Judges versions by what requests saw of them.
#[async_trait]
pub trait Evaluator: Send + Sync {
    /// Takes what one request saw of a version. Never blocks.
    fn observe(&self, sample: Sample);

    /// Returns the suspended releases in order.
    fn suspended(&self) -> Vec<Release>;

    /// Returns the shares of versions under roll-out, in order of their releases.
    fn shares(&self) -> Vec<Share>;

    /// Waits until the suspended releases or the shares changed.
    async fn changed(&self) {
        std::future::pending::<()>().await;
    }
}
