//! Refuses requests that arrive too late in a planned stop.

use {
    super::{Exchange, Filter},
    crate::instance::Parts,
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::{sync::Arc, time::Duration},
};

/// When a caller may come back: at once, to another instance.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Refuses requests that might not end before the process does.
pub struct Open {
    parts: Arc<Parts>,
}

impl Open {
    /// Creates the filter.
    pub fn new(parts: &Arc<Parts>) -> Self {
        Self { parts: parts.clone() }
    }
}

#[async_trait]
impl Filter for Open {
    async fn apply(&self, _exchange: &mut Exchange) -> Result<(), Problem> {
        if !self.parts.refuses_requests() {
            return Ok(());
        }
        let detail = "the instance is stopping: send to another one";
        Err(Problem::new(Refusal::Stopping, detail).retry_after(RETRY_AFTER))
    }
}
