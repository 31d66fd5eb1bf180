//! Roll-outs, withdrawals and suspensions of versions, the evidence on which they are based, and
//! the resulting orders to engines.

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

/// Evaluates versions by the outcomes of requests.
#[async_trait]
pub trait Evaluator: Send + Sync {
    /// Adds an observation of a version. Never blocks.
    fn observe(&self, sample: Sample);

    /// Returns the suspended releases, sorted.
    fn suspended(&self) -> Vec<Release>;

    /// Returns the traffic shares of the versions under roll-out, in order of their releases.
    fn shares(&self) -> Vec<Share>;

    /// Waits until the suspended releases or the shares have changed.
    async fn changed(&self) {
        std::future::pending::<()>().await;
    }
}
