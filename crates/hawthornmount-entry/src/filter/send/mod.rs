//! Sends the request to servers until one gives a whole answer, or until no attempt is left that
//! is safe.

mod attempt;
mod dispatch;
mod running;

use {
    super::{Filter, Flow, pin, rate},
    crate::{
        answer::{self, Answer, Content},
        exchange::{Exchange, Kind},
        instance::Parts,
        trace,
    },
    async_trait::async_trait,
    attempt::{Attempt, Failure, RETRY_AFTER},
    dispatch::{Completed, Dispatch},
    hawthornmount_core::{
        id::ServerId,
        problem::Problem,
        reason::{Refusal, Retry},
        snapshot::Release,
        units::{MicroCost, TOKENS_PER_PRICE},
    },
    hawthornmount_policy::{Plan, Query, budget, eligibility},
    hawthornmount_rollout::{Sample, sample::Outcome},
    rand::RngExt,
    running::Running,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Attempts of one request, all candidates together.
const MAX_ATTEMPTS: usize = 4;
/// Longest time that a rating in line may take.
const RATING_TIMEOUT: Duration = Duration::from_millis(500);

pub struct Send {
    parts: Arc<Parts>,
}

/// Attempts of one request so far.
#[derive(Default)]
struct History {
    tried: Vec<ServerId>,
    attempts: usize,
    reason: Option<Retry>,
    /// Whether an attempt may have run.
    sent: bool,
}

impl History {
    /// Marks a problem if an attempt may have run, whatever the last one met.
    fn mark(&self, problem: Problem) -> Problem {
        if self.sent { problem.may_have_run() } else { problem }
    }
}

impl Send {
    pub fn new(parts: &Arc<Parts>) -> Self {
        Self { parts: parts.clone() }
    }

    /// Gets an answer and confirms that it is of the version that the session keeps.
    async fn complete(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let plan = std::mem::take(&mut exchange.plan);
        let mut history = History::default();
        let tried = self.try_candidates(exchange, &plan, &mut history).await;
        let (answer, release) = match tried {
            Err(problem) if problem.reason == Refusal::NoVersion => {
                let plan = self.plan_again(exchange)?;
                self.try_candidates(exchange, &plan, &mut history).await?
            }
            tried => tried?,
        };
        let (answer, release) = match pin::confirm(&self.parts.sessions, exchange, &release).await {
            None => (answer, release),
            Some(kept) => {
                self.charge(exchange, &answer, &release);
                let mut again = History { sent: true, ..History::default() };
                let again = self.serve(exchange, Some(&kept), &mut again).await?;
                (again, kept)
            }
        };
        exchange.answer = Some(answer);
        exchange.answered_by = Some(release);
        Ok(())
    }

    /// Plans on the present control state when every version of the first plan was withdrawn or
    /// suspended after it was made.
    fn plan_again(&self, exchange: &mut Exchange) -> Result<Plan, Problem> {
        exchange.snapshot = self.parts.cell.load();
        if let Some(pinned) = exchange.pinned.take() {
            exchange.moved_from = Some(pinned);
        }
        exchange.trace.step("every version of the plan was withdrawn meanwhile; planned again");
        let query = self.query(exchange);
        self.parts.router.plan(&exchange.snapshot, &query).map_err(withdrawn)
    }

    /// Tries the candidates in order; an answer that rates below the target is kept only for the
    /// case that the next candidates give none.
    async fn try_candidates(
        &self,
        exchange: &mut Exchange,
        plan: &Plan,
        history: &mut History,
    ) -> Result<(Answer, Release), Problem> {
        let mut problem = no_server(Refusal::NoServer);
        let mut poor = None;
        for (at, candidate) in plan.candidates.iter().enumerate() {
            if at >= plan.escalation_steps && poor.is_some() {
                break;
            }
            match self.serve(exchange, Some(&candidate.release), history).await {
                Ok(answer) => {
                    let last = at + 1 >= plan.escalation_steps;
                    if last || self.is_good(exchange, &answer, candidate, plan.quality_target).await
                    {
                        return Ok((answer, candidate.release.clone()));
                    }
                    self.charge(exchange, &answer, &candidate.release);
                    self.parts.metrics.count_retry(Retry::Escalation);
                    history.reason = Some(Retry::Escalation);
                    poor = Some((answer, candidate.release.clone()));
                }
                Err(failed) => problem = failed,
            }
        }
        let Some((answer, release)) = poor else { return Err(problem) };
        exchange.trace.step("no better answer came, the poor one goes out".to_owned());
        self.refund(exchange, &answer, &release);
        Ok((answer, release))
    }

    /// Tells whether an answer is good enough to go out.
    async fn is_good(
        &self,
        exchange: &mut Exchange,
        answer: &Answer,
        candidate: &hawthornmount_policy::Candidate,
        target: f64,
    ) -> bool {
        let Content::Whole(body) = &answer.content else { return true };
        let Some((_, text)) = answer::read_completion(body) else { return true };
        let Ok(left) = exchange.time_left() else { return true };
        let timeout = RATING_TIMEOUT.min(left / 2);
        let Some(rating) = self.parts.rater.rate(&text, timeout).await else {
            self.parts.router.record_missing_rating(Instant::now());
            return true;
        };
        let release = &candidate.release;
        let query = exchange.query(&self.parts.settings.data_centre, &self.parts.settings.region);
        self.parts.router.record_rating(&exchange.account, &query.task, release, rating);
        exchange.trace.step(format!("{} rates {rating:.2}, target {target:.2}", release.model));
        if rating < target {
            self.judge_dropped(exchange, release, rating);
        }
        rating >= target
    }

    /// Tells the judge of the rating of an answer that is dropped. It is sampled as the late ratings
    /// of the others are, so that dropping poor answers does not hide them.
    fn judge_dropped(&self, exchange: &Exchange, release: &Release, rating: f64) {
        if !rand::rng().random_bool(rate::SAMPLED) {
            return;
        }
        let last = exchange.trace.attempts.last();
        let server = last.map(|attempt| attempt.server.clone()).unwrap_or_default();
        let snapshot = &exchange.snapshot;
        let data_centre = snapshot.backend(&server).map(|one| one.data_centre.clone());
        self.parts.judge.observe(Sample {
            release: release.clone(),
            server,
            data_centre: data_centre.unwrap_or_default(),
            outcome: Outcome::Rated(rating),
        });
    }

    /// Counts the cost of an answer that the caller does not get.
    fn charge(&self, exchange: &mut Exchange, answer: &Answer, release: &Release) {
        exchange.cost += cost(exchange, answer, release);
    }

    /// Takes back what [`Send::charge`] counted, for an answer that goes out after all.
    fn refund(&self, exchange: &mut Exchange, answer: &Answer, release: &Release) {
        exchange.cost = exchange.cost.saturating_sub(cost(exchange, answer, release));
    }

    /// Tries the servers of one version, or of a service, as long as it is safe.
    async fn serve(
        &self,
        exchange: &mut Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Answer, Problem> {
        loop {
            let completed = self.send_once(exchange, release, history).await;
            let completed = completed.map_err(|problem| history.mark(problem))?;
            history.sent |= !matches!(&completed.result, Err(failure) if failure.is_unsent());
            let reason = if completed.hedge { Some(Retry::Hedge) } else { history.reason };
            self.observe(release, &completed);
            note(exchange, release, &completed, reason);
            let Completed { choice, result, running, .. } = completed;
            let failure = match result {
                Ok(answer) => {
                    if matches!(answer.content, Content::Events(_)) {
                        exchange.held.push(Box::new(running));
                    }
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            drop(running);
            history.tried.push(choice.server);
            let idempotent = is_idempotent(&exchange.kind);
            let safe = failure.is_unsent() || idempotent;
            let left = history.attempts < MAX_ATTEMPTS && exchange.time_left().is_ok();
            if !safe || !left || !self.parts.router.try_acquire_retry(Instant::now()) {
                return Err(history.mark(failure.problem(idempotent)));
            }
            self.parts.metrics.count_retry(failure.retry());
            history.reason = Some(failure.retry());
            let random = rand::random();
            tokio::time::sleep(budget::backoff(history.attempts, random)).await;
        }
    }

    /// Sends one attempt, and a second copy if it is slow and the request is idempotent.
    async fn send_once(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Completed, Problem> {
        let first = self.prepare(exchange, release, history)?;
        let after = match (release, &exchange.kind) {
            (Some(release), Kind::Completion(one)) if !one.stream => {
                self.parts.router.hedge_delay(release, &self.query(exchange))
            }
            _ => None,
        };
        let Some(after) = after else { return Ok(first.run(false).await) };
        let first_server = first.choice.server.clone();
        let second = || {
            history.tried.push(first_server);
            let dispatch = self.hedge(exchange, release, history);
            history.tried.pop();
            dispatch
        };
        let completed = dispatch::race(first, after, second).await;
        history.sent |= completed.raced;
        Ok(completed)
    }

    /// Returns a second copy of a slow request, if a server and the retry budget have room.
    fn hedge(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Option<Dispatch> {
        if history.attempts >= MAX_ATTEMPTS || !self.parts.router.try_acquire_retry(Instant::now())
        {
            return None;
        }
        let dispatch = self.prepare(exchange, release, history).ok()?;
        self.parts.metrics.count_retry(Retry::Hedge);
        Some(dispatch)
    }

    /// Chooses a server by the newest control state, not by that of the request's arrival, so that
    /// a version withdrawn meanwhile gets no further attempt.
    fn prepare(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Dispatch, Problem> {
        let snapshot = self.parts.cell.load();
        let query = self.query(exchange);
        let router = &self.parts.router;
        if let Some(release) = release
            && !eligibility::is_usable(&snapshot, &exchange.account, release)
        {
            return Err(withdrawn(Refusal::NoVersion));
        }
        let chosen = match (release, &exchange.kind) {
            (Some(release), _) => router.choose_server(&snapshot, &query, release, &history.tried),
            (None, Kind::Service(call)) => {
                router.choose_service_server(&snapshot, &query, &call.service, &history.tried)
            }
            (None, _) => Err(Refusal::NoServer),
        };
        let choice = chosen.map_err(no_server)?;
        let running = Running::new(router, &choice, release);
        history.attempts += 1;
        let attempt = Attempt::new(&self.parts, exchange, release, &choice, history.attempts);
        Ok(Dispatch { choice, attempt, running })
    }

    fn query(&self, exchange: &Exchange) -> Query {
        exchange.query(&self.parts.settings.data_centre, &self.parts.settings.region)
    }

    fn observe(&self, release: Option<&Release>, completed: &Completed) {
        let Some(release) = release else { return };
        let outcome = match &completed.result {
            Ok(_) => Outcome::Answered(completed.elapsed),
            Err(Failure::Status(_) | Failure::BadAnswer(_)) => Outcome::Failed,
            Err(_) => Outcome::Unreachable,
        };
        self.parts.judge.observe(Sample {
            release: release.clone(),
            server: completed.choice.server.clone(),
            data_centre: completed.choice.data_centre.clone(),
            outcome,
        });
    }
}

#[async_trait]
impl Filter for Send {
    fn name(&self) -> &'static str {
        "send"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        match &exchange.kind {
            Kind::Completion(_) => self.complete(exchange).await?,
            Kind::Service(_) => {
                let answer = self.serve(exchange, None, &mut History::default()).await?;
                exchange.answer = Some(answer);
            }
            Kind::Models => {}
        }
        Ok(Flow::Next)
    }
}

fn withdrawn(reason: Refusal) -> Problem {
    Problem::new(reason, "no version that the account may use can answer: ask your operator")
}

const fn is_idempotent(kind: &Kind) -> bool {
    match kind {
        Kind::Completion(_) | Kind::Models => true,
        Kind::Service(call) => call.idempotent,
    }
}

fn no_server(reason: Refusal) -> Problem {
    let detail = match reason {
        Refusal::NoVersion => "the version was withdrawn or suspended: send the request again",
        _ => "no server is up that can answer: try later",
    };
    Problem::new(reason, detail).retry_after(RETRY_AFTER)
}

/// Returns the price of an answer.
fn cost(exchange: &Exchange, answer: &Answer, release: &Release) -> MicroCost {
    let Content::Whole(body) = &answer.content else { return 0 };
    let usage = answer::read_completion(body).map(|(usage, _)| usage).unwrap_or_default();
    let price = exchange.snapshot.config.models.get(&release.model).map_or(0, |one| one.price);
    price * (usage.prompt_tokens + usage.completion_tokens) / TOKENS_PER_PRICE
}

fn note(
    exchange: &mut Exchange,
    release: Option<&Release>,
    completed: &Completed,
    reason: Option<Retry>,
) {
    let (model, version) = match (release, &exchange.kind) {
        (Some(release), _) => (release.model.clone(), release.version.clone()),
        (None, Kind::Service(call)) => (call.service.clone(), "".into()),
        (None, _) => ("".into(), "".into()),
    };
    let outcome = match &completed.result {
        Ok(answer) => format!("status {}", answer.status.as_u16()),
        Err(failure) => failure.to_string(),
    };
    if let Some(reason) = reason {
        log::debug!("sent again; request={} reason={reason}", exchange.id);
    }
    exchange.trace.attempts.push(trace::Attempt {
        model,
        version,
        server: completed.choice.server.clone(),
        reason: reason.map(|reason| reason.as_str().into()),
        outcome: outcome.into(),
        ms: u64::try_from(completed.elapsed.as_millis()).unwrap_or(u64::MAX),
    });
}
