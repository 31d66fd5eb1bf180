//! Refuses a request, before it runs, if too many usage records wait for the store to take another
//! one.

use {
    super::{Filter, Flow, billing},
    crate::{exchange::Exchange, instance::Components},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_ledger::{Ledger, Usage},
    std::{sync::Arc, time::Duration},
};

/// Value of `Retry-After` of refused requests.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Filter that checks the backlog of usage records.
pub struct Backlog {
    ledger: Arc<dyn Ledger>,
}

impl Backlog {
    pub fn new(components: &Components) -> Self {
        Self { ledger: components.ledger.clone() }
    }
}

#[async_trait]
impl Filter for Backlog {
    fn name(&self) -> &'static str {
        "room"
    }

    async fn apply(&self, _exchange: &mut Exchange) -> Result<Flow, Problem> {
        let checked = self.ledger.check_capacity();
        checked.map(|()| Flow::Next).map_err(|error| {
            Problem::new(Refusal::UsageBacklog, error.to_string()).retry_after(RETRY_AFTER)
        })
    }

    /// Records the cost of discarded answers for a request that ended with a problem.
    async fn on_failure(&self, exchange: &mut Exchange, _problem: &Problem) {
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
            at_ms: billing::unix_time_ms(),
        };
        let ledger = self.ledger.clone();
        tokio::spawn(async move {
            if let Err(error) = ledger.record(usage).await {
                log::warn!("failed to record the cost of a failed request; cause={error}");
            }
        });
    }
}
