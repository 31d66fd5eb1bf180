//! Time of the runtime, which tests can simulate.

use std::time::Instant;

/// Returns the current time.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
