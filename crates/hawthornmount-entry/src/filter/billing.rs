//! Bills each request once, before the last byte of its answer is sent.

use {
    super::{AnswerHook, Filter, Flow},
    crate::{
        answer::Summary,
        exchange::{Exchange, Kind},
        instance::Components,
    },
    async_trait::async_trait,
    hawthornmount_core::{
        id::{AccountId, ModelId, RequestId, VersionId},
        problem::Problem,
        reason::Refusal,
        units::{MicroCost, TOKENS_PER_PRICE},
    },
    hawthornmount_ledger::{self as ledger, Usage},
    std::{sync::Arc, time::SystemTime},
};

/// Filter that registers the hook that writes the usage record.
pub struct Billing {
    components: Arc<Components>,
}

impl Billing {
    pub fn new(components: &Arc<Components>) -> Self {
        Self { components: components.clone() }
    }
}

#[async_trait]
impl Filter for Billing {
    fn name(&self) -> &'static str {
        "bill"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let (model, version) = match (&exchange.kind, &exchange.answered_by) {
            (Kind::Service(call), _) => (call.service.clone(), "".into()),
            (_, Some(release)) => (release.model.clone(), release.version.clone()),
            _ => return Ok(Flow::Next),
        };
        let config = &exchange.snapshot.config;
        let price = match &exchange.kind {
            Kind::Service(call) => Price::PerCall(
                config.services.get(&call.service).map_or(0, |service| service.price),
            ),
            _ => Price::PerTokens(config.models.get(&model).map_or(0, |model| model.price)),
        };
        exchange.answer_hooks.push(Box::new(UsageRecorder {
            components: self.components.clone(),
            request: exchange.id.clone(),
            account: exchange.account.clone(),
            model,
            version,
            price,
            earlier_cost: exchange.cost,
        }));
        Ok(Flow::Next)
    }
}

enum Price {
    PerCall(MicroCost),
    /// Price of [`TOKENS_PER_PRICE`] tokens.
    PerTokens(MicroCost),
}

/// Writes the usage record of one request.
struct UsageRecorder {
    components: Arc<Components>,
    request: RequestId,
    account: AccountId,
    model: ModelId,
    version: VersionId,
    price: Price,
    /// Cost of the earlier answers that the caller does not get.
    earlier_cost: MicroCost,
}

#[async_trait]
impl AnswerHook for UsageRecorder {
    async fn on_complete(&self, summary: &Summary) -> Result<(), Problem> {
        let price = self.price(summary);
        let cost = self.earlier_cost + price;
        let usage = self.usage(summary, price, cost);
        self.components.ledger.record(usage).await.map_err(|error| refusal(&error))?;
        self.components.journal.set_price(&self.request, price, cost);
        Ok(())
    }

    /// Records the cost of a stream that ended early, which is not billed to the account.
    async fn on_abort(&self, summary: &Summary) {
        let cost = self.earlier_cost + self.price(summary);
        let usage = self.usage(summary, 0, cost);
        self.components.journal.set_price(&self.request, 0, cost);
        if let Err(error) = self.components.ledger.record(usage).await {
            log::warn!(
                "failed to record the cost of a cut stream; request={} cause={error}",
                self.request
            );
        }
    }
}

impl UsageRecorder {
    fn price(&self, summary: &Summary) -> MicroCost {
        let tokens = summary.usage.prompt_tokens + summary.usage.completion_tokens;
        match self.price {
            Price::PerCall(price) => price,
            Price::PerTokens(price) => price * tokens / TOKENS_PER_PRICE,
        }
    }

    fn usage(&self, summary: &Summary, billed: MicroCost, cost: MicroCost) -> Usage {
        Usage {
            request: self.request.clone(),
            account: self.account.clone(),
            model: self.model.clone(),
            version: self.version.clone(),
            prompt_tokens: summary.usage.prompt_tokens,
            completion_tokens: summary.usage.completion_tokens,
            billed,
            cost,
            at_ms: unix_time_ms(),
        }
    }
}

fn refusal(error: &ledger::Error) -> Problem {
    let reason = match error {
        ledger::Error::Backlog { .. } => Refusal::UsageBacklog,
        ledger::Error::Unavailable { .. } | ledger::Error::Unknown { .. } => {
            Refusal::StoreUnavailable
        }
    };
    Problem::new(reason, format!("the request can't be billed, so its answer is held: {error}"))
        .execution_unknown()
}

/// Returns the current time, in milliseconds since the Unix epoch.
pub(super) fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
