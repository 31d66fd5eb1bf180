//! Refuses, before it runs, a request whose usage record would find no room.

use {
    super::{Filter, Flow},
    crate::{exchange::Exchange, instance::Parts},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_ledger::Ledger,
    std::{sync::Arc, time::Duration},
};

/// When a caller should come back.
const RETRY_AFTER: Duration = Duration::from_secs(5);

pub struct Room {
    ledger: Arc<dyn Ledger>,
}

impl Room {
    pub fn new(parts: &Parts) -> Self {
        Self { ledger: parts.ledger.clone() }
    }
}

#[async_trait]
impl Filter for Room {
    fn name(&self) -> &'static str {
        "room"
    }

    async fn apply(&self, _exchange: &mut Exchange) -> Result<Flow, Problem> {
        let room = self.ledger.check_room();
        room.map(|()| Flow::Next).map_err(|error| {
            Problem::new(Refusal::UsageBacklog, error.to_string()).retry_after(RETRY_AFTER)
        })
    }
}
