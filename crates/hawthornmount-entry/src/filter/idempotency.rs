//! Idempotency keys: a non-idempotent call with a key is claimed in the ledger before a byte of it
//! is sent to a server, so that it runs at most once.

use {
    super::{AnswerHook, Filter, Flow},
    crate::{
        answer::{Answer, Content, Summary},
        exchange::{Exchange, IDEMPOTENCY_KEY_HEADER, Kind, ServiceCall},
        instance::Components,
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

/// Maximum size of an answer body that is stored to be replayed to a repeated call.
const MAX_REPLAYED_BODY_BYTES: usize = 4_096;
/// Value of `Retry-After` if the first call with the key still runs, or if the claim failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time that an answer waits until the outcome of its call is recorded.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after its deadline in which a call may still record its outcome.
const OUTCOME_MARGIN: Duration = Duration::from_secs(5);

/// Filter that claims non-idempotent calls.
pub struct Idempotency {
    ledger: Arc<dyn Ledger>,
}

impl Idempotency {
    pub fn new(components: &Components) -> Self {
        Self { ledger: components.ledger.clone() }
    }
}

#[async_trait]
impl Filter for Idempotency {
    fn name(&self) -> &'static str {
        "claim"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let Kind::Service(call) = &exchange.kind else { return Ok(Flow::Next) };
        if call.idempotent {
            return Ok(Flow::Next);
        }
        let Some(key) = exchange.header(IDEMPOTENCY_KEY_HEADER) else {
            return check_key_not_required(exchange, call).map(|()| Flow::Next);
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
                exchange.answer_hooks.push(Box::new(OutcomeRecorder {
                    ledger: self.ledger.clone(),
                    ticket: ticket.clone(),
                }));
                exchange.ticket = Some(ticket);
                Ok(Flow::Next)
            }
            Ok(Claimed::Ended { outcome, .. }) => replay(exchange, outcome),
            Ok(Claimed::Running { .. }) => Err(key_running()),
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

    async fn on_failure(&self, exchange: &mut Exchange, problem: &Problem) {
        let Some(ticket) = exchange.ticket.take() else { return };
        let outcome = match problem.ran {
            Execution::NotRun => Outcome::NotRun,
            Execution::Unknown => Outcome::Unknown,
        };
        settle(&self.ledger, &ticket, outcome).await;
    }
}

/// Returns the time after which the call no longer runs, in milliseconds since the Unix epoch.
fn until_ms(exchange: &Exchange) -> u64 {
    let left = exchange.time_left().unwrap_or_default() + OUTCOME_MARGIN;
    let until = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default() + left;
    u64::try_from(until.as_millis()).unwrap_or(u64::MAX)
}

/// Refuses a call without a key if the service or the account requires one.
fn check_key_not_required(exchange: &Exchange, call: &ServiceCall) -> Result<(), Problem> {
    let config = &exchange.snapshot.config;
    let by_service = config.services.get(&call.service).is_some_and(|service| service.require_key);
    let by_account =
        config.accounts.get(&exchange.account).is_some_and(|account| account.require_key);
    if by_service || by_account {
        let detail = "this call may not be repeated: send an Idempotency-Key header";
        return Err(Problem::new(Refusal::KeyRequired, detail));
    }
    Ok(())
}

/// Answers a repeated call with the stored outcome of the first call.
fn replay(exchange: &mut Exchange, outcome: Outcome) -> Result<Flow, Problem> {
    match outcome {
        Outcome::Done { status, content_type, body, .. } => {
            exchange.trace.step("the first call with the key is done; its outcome is repeated");
            exchange.replayed = true;
            exchange.answer = Some(Answer {
                status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
                content_type,
                content: Content::Buffered(body.unwrap_or_default().into()),
            });
            Ok(Flow::Answered)
        }
        Outcome::Unknown => Err(Problem::new(
            Refusal::KeyUnknown,
            "the first call with this key may have run: ask the service for its state",
        )
        .execution_unknown()),
        Outcome::NotRun => Err(key_running()),
    }
}

fn key_running() -> Problem {
    let detail = "the first call with this key has not ended: ask again later";
    Problem::new(Refusal::KeyRunning, detail).execution_unknown().retry_after(RETRY_AFTER)
}

/// Returns a hash that identifies the call. The length is hashed before each part, so that the
/// boundaries between the parts are unambiguous.
fn digest(call: &ServiceCall, body: &[u8]) -> Arc<str> {
    let mut hasher = blake3::Hasher::new();
    for part in [call.service.as_bytes(), call.method.as_bytes(), call.path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str().into()
}

/// Records the outcome of a call when its answer is complete.
struct OutcomeRecorder {
    ledger: Arc<dyn Ledger>,
    ticket: Ticket,
}

#[async_trait]
impl AnswerHook for OutcomeRecorder {
    async fn on_complete(&self, summary: &Summary) -> Result<(), Problem> {
        let body = summary.body.clone().unwrap_or_default();
        let outcome = Outcome::Done {
            status: summary.status,
            content_type: summary.content_type.clone(),
            digest: blake3::hash(&body).to_hex().as_str().into(),
            body: (body.len() <= MAX_REPLAYED_BODY_BYTES).then(|| body.to_vec()),
        };
        settle(&self.ledger, &self.ticket, outcome).await;
        Ok(())
    }
}

/// Records the outcome of the call. If the store takes longer than [`SETTLE_TIMEOUT`], the answer
/// is sent before the record is written.
async fn settle(ledger: &Arc<dyn Ledger>, ticket: &Ticket, outcome: Outcome) {
    let (ledger, ticket) = (ledger.clone(), ticket.clone());
    let task = tokio::spawn(async move {
        if let Err(error) = ledger.settle(&ticket, outcome).await {
            let attempt = &ticket.claim.attempt;
            log::warn!("failed to record the outcome of a call; request={attempt} cause={error}");
        }
    });
    let _ = tokio::time::timeout(SETTLE_TIMEOUT, task).await;
}
