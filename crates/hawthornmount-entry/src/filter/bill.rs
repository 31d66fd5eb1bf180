//! Bills the request once, before the last byte of its answer goes out.

use {
    super::{Filter, Finisher, Flow},
    crate::{
        answer::End,
        exchange::{Exchange, Kind},
        instance::Parts,
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

pub struct Bill {
    parts: Arc<Parts>,
}

impl Bill {
    pub fn new(parts: &Arc<Parts>) -> Self {
        Self { parts: parts.clone() }
    }
}

#[async_trait]
impl Filter for Bill {
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
            Kind::Service(call) => {
                Price::Call(config.services.get(&call.service).map_or(0, |one| one.price))
            }
            _ => Price::Tokens(config.models.get(&model).map_or(0, |one| one.price)),
        };
        exchange.finishers.push(Box::new(Record {
            parts: self.parts.clone(),
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
    Call(MicroCost),
    Tokens(MicroCost),
}

struct Record {
    parts: Arc<Parts>,
    request: RequestId,
    account: AccountId,
    model: ModelId,
    version: VersionId,
    price: Price,
    earlier_cost: MicroCost,
}

#[async_trait]
impl Finisher for Record {
    async fn finish(&self, end: &End) -> Result<(), Problem> {
        let price = self.price(end);
        let cost = self.earlier_cost + price;
        let usage = self.usage(end, price, cost);
        self.parts.ledger.record(usage).await.map_err(|error| refused(&error))?;
        self.parts.journal.bill(&self.request, price, cost);
        Ok(())
    }

    async fn cut(&self, end: &End) {
        let cost = self.earlier_cost + self.price(end);
        let usage = self.usage(end, 0, cost);
        self.parts.journal.bill(&self.request, 0, cost);
        if let Err(error) = self.parts.ledger.record(usage).await {
            log::warn!("a cost is not recorded; request={} cause={error}", self.request);
        }
    }
}

impl Record {
    fn price(&self, end: &End) -> MicroCost {
        let tokens = end.usage.prompt_tokens + end.usage.completion_tokens;
        match self.price {
            Price::Call(price) => price,
            Price::Tokens(price) => price * tokens / TOKENS_PER_PRICE,
        }
    }

    fn usage(&self, end: &End, billed: MicroCost, cost: MicroCost) -> Usage {
        Usage {
            request: self.request.clone(),
            account: self.account.clone(),
            model: self.model.clone(),
            version: self.version.clone(),
            prompt_tokens: end.usage.prompt_tokens,
            completion_tokens: end.usage.completion_tokens,
            billed,
            cost,
            at_ms: now_ms(),
        }
    }
}

fn refused(error: &ledger::Error) -> Problem {
    let reason = match error {
        ledger::Error::Backlog { .. } => Refusal::UsageBacklog,
        ledger::Error::Unavailable { .. } | ledger::Error::Unknown { .. } => {
            Refusal::StoreUnavailable
        }
    };
    Problem::new(reason, format!("the request can't be billed, so its answer is held: {error}"))
        .may_have_run()
}

pub(super) fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
