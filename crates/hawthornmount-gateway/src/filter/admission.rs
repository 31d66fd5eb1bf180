//! Rejects requests that arrive too late during a graceful shutdown.

use {
    super::{Exchange, Filter},
    crate::instance::Components,
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::{sync::Arc, time::Duration},
};

/// Delay after which a caller can retry, at another instance.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Filter that rejects requests that might not finish before the process exits.
pub struct Admission {
    components: Arc<Components>,
}

impl Admission {
    /// Creates the filter.
    pub fn new(components: &Arc<Components>) -> Self {
        Self { components: components.clone() }
    }
}

#[async_trait]
impl Filter for Admission {
    async fn apply(&self, _exchange: &mut Exchange) -> Result<(), Problem> {
        if !self.components.refuses_requests() {
            return Ok(());
        }
        let detail = "the instance is stopping: send to another one";
        Err(Problem::new(Refusal::Stopping, detail).retry_after(RETRY_AFTER))
    }
}
