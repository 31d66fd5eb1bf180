//! Options of the sharded log.

use std::time::Duration;

/// Options of the sharded log; all instances of a fleet have the same.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of shards.
    pub shards: u32,
    /// Time for which a claim waits for others to share its write.
    pub batch_window: Duration,
    /// Time for which the end of a call waits for others to share its write.
    pub settle_batch_window: Duration,
    /// Time in which an operation has to be granted.
    pub operation_timeout: Duration,
    /// Time in which a shard's owner has to answer before the instance writes itself.
    pub forward_timeout: Duration,
    /// Time for which claims and pins are kept after their last change.
    pub retention: Duration,
    /// Check that is switched off, to show that the proofs notice it.
    pub mutation: Option<Mutation>,
}

/// A check that can be switched off, to show that the proofs notice it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// A segment is written even if another writer took its number.
    NoSegmentGuard,
    /// A write whose answer was lost counts as done.
    NoReadBack,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shards: 2,
            batch_window: Duration::ZERO,
            settle_batch_window: Duration::from_millis(25),
            operation_timeout: Duration::from_secs(5),
            forward_timeout: Duration::from_millis(500),
            retention: Duration::from_secs(24 * 60 * 60),
            mutation: None,
        }
    }
}
