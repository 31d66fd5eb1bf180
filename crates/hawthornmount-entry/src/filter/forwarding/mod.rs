//! Forwarding: sends the request to servers until one gives a complete answer, or until another
//! attempt is not safe or not allowed.

mod attempt;
mod dispatch;
mod running;

use {
    super::{Filter, Flow, affinity, rating},
    crate::{
        answer::{self, Answer, Content},
        exchange::{Exchange, Kind},
        instance::Components,
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

/// Maximum number of attempts of one request, over all candidates.
const MAX_ATTEMPTS: usize = 4;
/// Maximum time that an answer waits for its rating.
const RATING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that is left to deliver a poor answer when no better one has come.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Filter that forwards requests to servers.
pub struct Forwarding {
    components: Arc<Components>,
}

/// State of the attempts of one request so far.
#[derive(Default)]
struct History {
    /// Servers that failed, which get no further attempt.
    tried: Vec<ServerId>,
    attempts: usize,
    /// Reason of the next attempt; `None` for the first one.
    retry_reason: Option<Retry>,
    /// Whether an attempt may have run.
    may_have_run: bool,
}

impl History {
    /// Returns `problem`, marked as that of a request that may have run if any attempt may have,
    /// even if the last one did not.
    fn mark_possible_run(&self, problem: Problem) -> Problem {
        if self.may_have_run { problem.execution_unknown() } else { problem }
    }
}

/// Returns the time until which a better answer is waited for while a poor one is ready.
fn before_delivery(deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(Instant::now());
    deadline - DELIVERY_TIME.min(left / 4)
}

impl Forwarding {
    pub fn new(components: &Arc<Components>) -> Self {
        Self { components: components.clone() }
    }

    /// Gets the answer to a completion and pins the session to its release. If the session was
    /// pinned to another release meanwhile, gets the answer from that one.
    async fn answer_completion(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let plan = std::mem::take(&mut exchange.plan);
        let mut history = History::default();
        let result = self.try_candidates(exchange, &plan, &mut history).await;
        let (answer, release) = match result {
            Err(problem) if problem.reason == Refusal::NoVersion => {
                let plan = self.replan(exchange)?;
                self.try_candidates(exchange, &plan, &mut history).await?
            }
            result => result?,
        };
        let (answer, release) =
            match affinity::pin_release(&self.components.sessions, exchange, &release).await {
                None => (answer, release),
                Some(pinned) => {
                    self.add_cost(exchange, &answer, &release);
                    let mut history = History { may_have_run: true, ..History::default() };
                    let answer = self.try_servers(exchange, Some(&pinned), &mut history).await?;
                    (answer, pinned)
                }
            };
        exchange.answer = Some(answer);
        exchange.answered_by = Some(release);
        Ok(())
    }

    /// Plans again with the current control state, because every version of the first plan was
    /// withdrawn or suspended since then.
    fn replan(&self, exchange: &mut Exchange) -> Result<Plan, Problem> {
        exchange.snapshot = self.components.snapshot.load();
        if let Some(pinned) = exchange.pinned.take() {
            exchange.moved_from = Some(pinned);
        }
        exchange.trace.step("every version of the plan was withdrawn meanwhile; planned again");
        let query = self.query(exchange);
        self.components.router.plan(&exchange.snapshot, &query).map_err(no_version)
    }

    /// Tries the candidates in order. An answer rated below the quality target is returned only if
    /// the next candidates give none.
    async fn try_candidates(
        &self,
        exchange: &mut Exchange,
        plan: &Plan,
        history: &mut History,
    ) -> Result<(Answer, Release), Problem> {
        let mut problem = no_server(Refusal::NoServer);
        let mut below_target = None;
        for (position, candidate) in plan.candidates.iter().enumerate() {
            if position >= plan.escalation_steps && below_target.is_some() {
                break;
            }
            let deadline = exchange.deadline;
            if below_target.is_some() {
                exchange.deadline = before_delivery(deadline);
            }
            let result = self.try_servers(exchange, Some(&candidate.release), history).await;
            exchange.deadline = deadline;
            match result {
                Ok(answer) => {
                    let is_last = position + 1 >= plan.escalation_steps;
                    if is_last
                        || self
                            .meets_target(exchange, &answer, candidate, plan.quality_target)
                            .await
                    {
                        return Ok((answer, candidate.release.clone()));
                    }
                    self.add_cost(exchange, &answer, &candidate.release);
                    self.components.metrics.count_retry(Retry::Escalation);
                    history.retry_reason = Some(Retry::Escalation);
                    below_target = Some((answer, candidate.release.clone()));
                }
                Err(error) => problem = error,
            }
        }
        let Some((answer, release)) = below_target else { return Err(problem) };
        exchange.trace.step("no better answer came, the poor one goes out".to_owned());
        self.subtract_cost(exchange, &answer, &release);
        Ok((answer, release))
    }

    /// Returns whether the answer is rated at least `target`. An answer that is not rated in time
    /// or can't be rated passes.
    async fn meets_target(
        &self,
        exchange: &mut Exchange,
        answer: &Answer,
        candidate: &hawthornmount_policy::Candidate,
        target: f64,
    ) -> bool {
        let Content::Buffered(body) = &answer.content else { return true };
        let Some((_, text)) = answer::read_completion(body) else { return true };
        let Ok(left) = exchange.time_left() else { return true };
        let timeout = RATING_TIMEOUT.min(left / 2);
        let Some(rating) = self.components.rater.rate(&text, timeout).await else {
            self.components.router.record_missing_rating(Instant::now());
            return true;
        };
        let release = &candidate.release;
        let query =
            exchange.query(&self.components.settings.data_centre, &self.components.settings.region);
        self.components.router.record_rating(&exchange.account, &query.task, release, rating);
        exchange.trace.step(format!("{} rates {rating:.2}, target {target:.2}", release.model));
        if rating < target {
            self.report_low_rating(exchange, release, rating);
        }
        rating >= target
    }

    /// Reports a rating below the target to the evaluator. These answers are sampled at the same
    /// ratio as delivered ones, so that discarding poor answers does not hide them from the
    /// evaluator.
    fn report_low_rating(&self, exchange: &Exchange, release: &Release, rating: f64) {
        if !rand::rng().random_bool(rating::SAMPLE_RATIO) {
            return;
        }
        let last_attempt = exchange.trace.attempts.last();
        let server = last_attempt.map(|attempt| attempt.server.clone()).unwrap_or_default();
        let snapshot = &exchange.snapshot;
        let data_centre = snapshot.backend(&server).map(|backend| backend.data_centre.clone());
        self.components.evaluator.observe(Sample {
            release: release.clone(),
            server,
            data_centre: data_centre.unwrap_or_default(),
            outcome: Outcome::Rated(rating),
        });
    }

    /// Adds the cost of an answer that the caller does not get.
    fn add_cost(&self, exchange: &mut Exchange, answer: &Answer, release: &Release) {
        exchange.cost += cost(exchange, answer, release);
    }

    /// Subtracts what [`Forwarding::add_cost`] added, for an answer that the caller gets after all.
    fn subtract_cost(&self, exchange: &mut Exchange, answer: &Answer, release: &Release) {
        exchange.cost = exchange.cost.saturating_sub(cost(exchange, answer, release));
    }

    /// Tries the servers of one version, or of a service, until one answers or another attempt is
    /// not safe or not allowed.
    async fn try_servers(
        &self,
        exchange: &mut Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Answer, Problem> {
        loop {
            let completed = self.run_attempt(exchange, release, history).await;
            let completed = completed.map_err(|problem| history.mark_possible_run(problem))?;
            history.may_have_run |=
                !matches!(&completed.result, Err(failure) if failure.cannot_have_run());
            let reason = if completed.is_hedge { Some(Retry::Hedge) } else { history.retry_reason };
            self.report_attempt(release, &completed);
            record_attempt(exchange, release, &completed, reason);
            let Completed { choice, result, running, .. } = completed;
            let failure = match result {
                Ok(answer) => {
                    if matches!(answer.content, Content::Streamed(_)) {
                        exchange.guards.push(Box::new(running));
                    }
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            drop(running);
            history.tried.push(choice.server);
            let idempotent = is_idempotent(&exchange.kind);
            let is_safe = failure.cannot_have_run() || idempotent;
            let has_attempts = history.attempts < MAX_ATTEMPTS && exchange.time_left().is_ok();
            if !is_safe || !has_attempts {
                return Err(history.mark_possible_run(failure.problem(idempotent)));
            }
            if !self.components.router.try_acquire_retry(Instant::now()) {
                log::info!("no retry: the retry budget is used up; request={}", exchange.id);
                exchange.trace.step("no retry: the retry budget is used up");
                return Err(history.mark_possible_run(failure.problem(idempotent)));
            }
            self.components.metrics.count_retry(failure.retry_reason());
            history.retry_reason = Some(failure.retry_reason());
            let random = rand::random();
            tokio::time::sleep(budget::backoff(history.attempts, random)).await;
        }
    }

    /// Runs one attempt, and a second copy of a completion that is not streamed if the first one is
    /// slow.
    async fn run_attempt(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Completed, Problem> {
        let first = self.prepare(exchange, release, history)?;
        let hedge_delay = match (release, &exchange.kind) {
            (Some(release), Kind::Completion(completion)) if !completion.stream => {
                self.components.router.hedge_delay(release, &self.query(exchange))
            }
            _ => None,
        };
        let Some(delay) = hedge_delay else { return Ok(first.run(false).await) };
        let first_server = first.choice.server.clone();
        let second = || {
            history.tried.push(first_server);
            let dispatch = self.prepare_hedge(exchange, release, history);
            history.tried.pop();
            dispatch
        };
        let completed = dispatch::race(first, delay, second).await;
        history.may_have_run |= completed.has_other_copy;
        Ok(completed)
    }

    /// Prepares a second copy of a slow request, if the retry budget allows it and a server can be
    /// chosen.
    fn prepare_hedge(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Option<Dispatch> {
        if history.attempts >= MAX_ATTEMPTS
            || !self.components.router.try_acquire_retry(Instant::now())
        {
            return None;
        }
        let dispatch = self.prepare(exchange, release, history).ok()?;
        self.components.metrics.count_retry(Retry::Hedge);
        Some(dispatch)
    }

    /// Prepares an attempt at a server chosen by the current control state. The state at the
    /// arrival of the request is not used, so that a version withdrawn since then gets no further
    /// attempt.
    fn prepare(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Dispatch, Problem> {
        let snapshot = self.components.snapshot.load();
        let query = self.query(exchange);
        let router = &self.components.router;
        if let Some(release) = release
            && !eligibility::is_usable(&snapshot, &exchange.account, release)
        {
            return Err(no_version(Refusal::NoVersion));
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
        let attempt = Attempt::new(&self.components, exchange, release, &choice, history.attempts);
        Ok(Dispatch { choice, attempt, running })
    }

    fn query(&self, exchange: &Exchange) -> Query {
        exchange.query(&self.components.settings.data_centre, &self.components.settings.region)
    }

    /// Reports the result of an attempt of a version to the evaluator.
    fn report_attempt(&self, release: Option<&Release>, completed: &Completed) {
        let Some(release) = release else { return };
        let outcome = match &completed.result {
            Ok(_) => Outcome::Answered(completed.elapsed),
            Err(Failure::Status(_) | Failure::BadAnswer(_)) => Outcome::Failed,
            Err(_) => Outcome::Unreachable,
        };
        self.components.evaluator.observe(Sample {
            release: release.clone(),
            server: completed.choice.server.clone(),
            data_centre: completed.choice.data_centre.clone(),
            outcome,
        });
    }
}

#[async_trait]
impl Filter for Forwarding {
    fn name(&self) -> &'static str {
        "send"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        match &exchange.kind {
            Kind::Completion(_) => self.answer_completion(exchange).await?,
            Kind::Service(_) => {
                let answer = self.try_servers(exchange, None, &mut History::default()).await?;
                exchange.answer = Some(answer);
            }
            Kind::Models => {}
        }
        Ok(Flow::Next)
    }
}

fn no_version(reason: Refusal) -> Problem {
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

/// Returns the cost of an answer that is not streamed; a streamed one is not counted.
fn cost(exchange: &Exchange, answer: &Answer, release: &Release) -> MicroCost {
    let Content::Buffered(body) = &answer.content else { return 0 };
    let usage = answer::read_completion(body).map(|(usage, _)| usage).unwrap_or_default();
    let price = exchange.snapshot.config.models.get(&release.model).map_or(0, |model| model.price);
    price * (usage.prompt_tokens + usage.completion_tokens) / TOKENS_PER_PRICE
}

/// Adds an attempt to the trace of the request.
fn record_attempt(
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
        Err(failure) => {
            log::info!(
                "attempt failed; request={} server={} model={model} version={version} ms={} \
                 cause={failure}",
                exchange.id,
                completed.choice.server,
                completed.elapsed.as_millis(),
            );
            failure.to_string()
        }
    };
    if let Some(reason) = reason {
        log::debug!("retried; request={} reason={reason}", exchange.id);
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
