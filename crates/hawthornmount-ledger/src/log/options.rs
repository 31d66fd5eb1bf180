//! Options of the sharded log.

use std::time::Duration;

/// Options of the sharded log. All instances of a fleet must use the same.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of shards.
    pub shards: u32,
    /// Time for which claims and pins wait for further operations to write in the same segment.
    pub batch_window: Duration,
    /// Time for which the outcome of a call waits for further operations to write in the same
    /// segment.
    pub settle_batch_window: Duration,
    /// Time allowed for an operation, retries of failed writes included.
    pub operation_timeout: Duration,
    /// Time allowed for the shard's owner to answer before the instance writes by itself.
    pub forward_timeout: Duration,
    /// Time for which claims and pins are kept after their last change.
    pub retention: Duration,
    /// Check that is disabled, to show that the tests detect the fault that results; `None`
    /// outside such tests.
    pub mutation: Option<Mutation>,
}

/// Check that can be disabled, to show that the tests detect the fault that results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// Writes a segment even if another writer has written one of the same number.
    NoSegmentGuard,
    /// Takes a write whose answer was lost as applied, without reading it back.
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
