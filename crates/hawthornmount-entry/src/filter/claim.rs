//! Claims the only run of a non-idempotent call before a byte of it goes out.

use {
    super::{Filter, Finisher, Flow},
    crate::{
        answer::{Answer, Content, End},
        exchange::{Exchange, KEY_HEADER, Kind, ServiceCall},
        instance::Parts,
    },
    async_trait::async_trait,
    hawthornmount_core::{
        problem::{Execution, Problem},
        reason::Refusal,
    },
    hawthornmount_http::StatusCode,
    hawthornmount_ledger::{self as ledger, Claimed, Ledger, Outcome, Ticket},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// Largest body that is kept for a repeated call, in bytes.
const MAX_KEPT_BODY: usize = 4_096;
/// When a caller should ask again for a call that still runs.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that an answer waits for the record of how its call ended.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after its deadline in which an attempt still records how it ended.
const END_MARGIN: Duration = Duration::from_secs(5);

pub struct Claim {
    ledger: Arc<dyn Ledger>,
}

impl Claim {
    pub fn new(parts: &Parts) -> Self {
        Self { ledger: parts.ledger.clone() }
    }
}

#[async_trait]
impl Filter for Claim {
    fn name(&self) -> &'static str {
        "claim"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let Kind::Service(call) = &exchange.kind else { return Ok(Flow::Next) };
        if call.idempotent {
            return Ok(Flow::Next);
        }
        let Some(key) = exchange.header(KEY_HEADER) else {
            return without_key(exchange, call).map(|()| Flow::Next);
        };
        let claim = ledger::Claim {
            account: exchange.account.clone(),
            key: key.into(),
            attempt: exchange.id.clone(),
            digest: digest(call, &exchange.body),
            until_ms: until_ms(exchange),
        };
        match self.ledger.claim(claim).await {
            Ok(Claimed::First(ticket)) => {
                exchange.trace.step("the call is the first with its key");
                exchange
                    .finishers
                    .push(Box::new(Settle { ledger: self.ledger.clone(), ticket: ticket.clone() }));
                exchange.ticket = Some(ticket);
                Ok(Flow::Next)
            }
            Ok(Claimed::Ended { outcome, .. }) => replay(exchange, outcome),
            Ok(Claimed::Running { .. }) => Err(running()),
            Ok(Claimed::Conflict) => Err(Problem::new(
                Refusal::KeyConflict,
                "the key was used with another call: use a new key",
            )),
            Err(error) => Err(Problem::new(
                Refusal::StoreUnavailable,
                format!("the call can't be claimed, so it was not run: {error}"),
            )
            .retry_after(RETRY_AFTER)),
        }
    }

    async fn failed(&self, exchange: &mut Exchange, problem: &Problem) {
        let Some(ticket) = exchange.ticket.take() else { return };
        let outcome = match problem.ran {
            Execution::NotRun => Outcome::NotRun,
            Execution::Unknown => Outcome::Unknown,
        };
        settle(&self.ledger, &ticket, outcome).await;
    }
}

/// Returns when the attempt has ended at the latest, in milliseconds since the epoch.
fn until_ms(exchange: &Exchange) -> u64 {
    let left = exchange.time_left().unwrap_or_default() + END_MARGIN;
    let until = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default() + left;
    u64::try_from(until.as_millis()).unwrap_or(u64::MAX)
}

fn without_key(exchange: &Exchange, call: &ServiceCall) -> Result<(), Problem> {
    let config = &exchange.snapshot.config;
    let by_service = config.services.get(&call.service).is_some_and(|one| one.require_key);
    let by_account = config.accounts.get(&exchange.account).is_some_and(|one| one.require_key);
    if by_service || by_account {
        let detail = "this call may not be repeated: send an Idempotency-Key header";
        return Err(Problem::new(Refusal::KeyRequired, detail));
    }
    Ok(())
}

fn replay(exchange: &mut Exchange, outcome: Outcome) -> Result<Flow, Problem> {
    match outcome {
        Outcome::Done { status, content_type, body, .. } => {
            exchange.trace.step("the first call with the key is done; its outcome is repeated");
            exchange.replayed = true;
            exchange.answer = Some(Answer {
                status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
                content_type,
                content: Content::Whole(body.unwrap_or_default().into()),
            });
            Ok(Flow::Answered)
        }
        Outcome::Unknown => Err(Problem::new(
            Refusal::KeyUnknown,
            "the first call with this key may have run: ask the service for its state",
        )
        .may_have_run()),
        Outcome::NotRun => Err(running()),
    }
}

fn running() -> Problem {
    let detail = "the first call with this key has not ended: ask again later";
    Problem::new(Refusal::KeyRunning, detail).may_have_run().retry_after(RETRY_AFTER)
}

fn digest(call: &ServiceCall, body: &[u8]) -> Arc<str> {
    let mut hasher = blake3::Hasher::new();
    for part in [call.service.as_bytes(), call.method.as_bytes(), call.path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str().into()
}

struct Settle {
    ledger: Arc<dyn Ledger>,
    ticket: Ticket,
}

#[async_trait]
impl Finisher for Settle {
    async fn finish(&self, end: &End) -> Result<(), Problem> {
        let body = end.body.clone().unwrap_or_default();
        let outcome = Outcome::Done {
            status: end.status,
            content_type: end.content_type.clone(),
            digest: blake3::hash(&body).to_hex().as_str().into(),
            body: (body.len() <= MAX_KEPT_BODY).then(|| body.to_vec()),
        };
        settle(&self.ledger, &self.ticket, outcome).await;
        Ok(())
    }
}

/// Records how the call ended. An answer does not wait for a slow store; the record is written
/// behind its back then.
async fn settle(ledger: &Arc<dyn Ledger>, ticket: &Ticket, outcome: Outcome) {
    let (ledger, ticket) = (ledger.clone(), ticket.clone());
    let settled = tokio::spawn(async move {
        if let Err(error) = ledger.settle(&ticket, outcome).await {
            let attempt = &ticket.claim.attempt;
            log::warn!("the end of a call is not recorded; request={attempt} cause={error}");
        }
    });
    let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
}
