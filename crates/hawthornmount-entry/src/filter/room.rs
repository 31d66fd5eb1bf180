//! Refuses, before it runs, a request whose usage record would find no room.

use {
    super::{Filter, Flow, bill},
    crate::{exchange::Exchange, instance::Parts},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_ledger::{Ledger, Usage},
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
        let room = self.ledger.check_capacity();
        room.map(|()| Flow::Next).map_err(|error| {
            Problem::new(Refusal::UsageBacklog, error.to_string()).retry_after(RETRY_AFTER)
        })
    }

    /// Records the cost of what ran for a request that got no answer.
    async fn failed(&self, exchange: &mut Exchange, _problem: &Problem) {
        if exchange.cost == 0 {
            return;
        }
        let usage = Usage {
            request: exchange.id.clone(),
            account: exchange.account.clone(),
            model: "".into(),
            version: "".into(),
            prompt_tokens: 0,
            completion_tokens: 0,
            billed: 0,
            cost: exchange.cost,
            at_ms: bill::now_ms(),
        };
        let ledger = self.ledger.clone();
        tokio::spawn(async move {
            if let Err(error) = ledger.record(usage).await {
                log::warn!("a cost is not recorded; cause={error}");
            }
        });
    }
}
