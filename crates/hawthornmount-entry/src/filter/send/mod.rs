//! Sends the request to servers until one gives a whole answer, or until no attempt is left that
//! is safe.

mod attempt;

use {
    super::{Filter, Flow, pin},
    crate::{
        answer::{self, Answer, Content},
        exchange::{Exchange, Kind},
        instance::Parts,
        trace,
    },
    async_trait::async_trait,
    attempt::{Attempt, Failure},
    hawthornmount_core::{
        id::ServerId,
        problem::Problem,
        reason::{Refusal, Retry},
        snapshot::Release,
        units::PRICED_TOKENS,
    },
    hawthornmount_policy::{Choice, Plan, plan::Ended, rule},
    hawthornmount_rollout::{Sample, sample::Seen},
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
        let (answer, release) = match pin::confirm(&*self.parts.ledger, exchange, &release).await {
            None => (answer, release),
            Some(kept) => {
                self.charge(exchange, &answer, &release);
                let again = self.serve(exchange, Some(&kept), &mut History::default()).await?;
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
        let settings = &self.parts.settings;
        let query = exchange.query(&settings.data_centre, &settings.region);
        self.parts.router.plan(&exchange.snapshot, &query).map_err(withdrawn)
    }

    /// Tries the candidates in order; an answer that rates below the target is dropped when the
    /// next candidate is asked.
    async fn try_candidates(
        &self,
        exchange: &mut Exchange,
        plan: &Plan,
        history: &mut History,
    ) -> Result<(Answer, Release), Problem> {
        let mut problem = Problem::new(Refusal::NoServer, "no server of an allowed version is up");
        for (at, candidate) in plan.candidates.iter().enumerate() {
            match self.serve(exchange, Some(&candidate.release), history).await {
                Ok(answer) => {
                    let last = at + 1 == plan.candidates.len();
                    if last || self.is_good(exchange, &answer, candidate, plan.quality_target).await
                    {
                        return Ok((answer, candidate.release.clone()));
                    }
                    self.charge(exchange, &answer, &candidate.release);
                    self.parts.metrics.retry(Retry::Escalation);
                    history.reason = Some(Retry::Escalation);
                }
                Err(failed) => problem = failed,
            }
        }
        Err(problem)
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
        let Some(rating) = self.parts.rater.rate(&text, timeout).await else { return true };
        let release = &candidate.release;
        let query = exchange.query(&self.parts.settings.data_centre, &self.parts.settings.region);
        self.parts.router.rated(&exchange.account, &query.task, release, rating);
        exchange.trace.step(format!("{} rates {rating:.2}, target {target:.2}", release.model));
        rating >= target
    }

    /// Counts the cost of an answer that the caller does not get.
    fn charge(&self, exchange: &mut Exchange, answer: &Answer, release: &Release) {
        let Content::Whole(body) = &answer.content else { return };
        let usage = answer::read_completion(body).map(|(usage, _)| usage).unwrap_or_default();
        let price = exchange.snapshot.config.models.get(&release.model).map_or(0, |one| one.price);
        exchange.cost += price * (usage.prompt_tokens + usage.completion_tokens) / PRICED_TOKENS;
    }

    /// Tries the servers of one version, or of a service, as long as it is safe.
    async fn serve(
        &self,
        exchange: &mut Exchange,
        release: Option<&Release>,
        history: &mut History,
    ) -> Result<Answer, Problem> {
        loop {
            let choice = self.choose(exchange, release, &history.tried)?;
            history.attempts += 1;
            let started = Instant::now();
            let attempt = Attempt::new(&self.parts, exchange, release, &choice, history.attempts);
            let result = attempt.run().await;
            self.learn(release, &choice, &result, started);
            note(exchange, release, &choice, history.reason, &result, started);
            let failure = match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            history.tried.push(choice.server);
            let retry = failure.retry();
            let safe = failure.is_unsent() || is_idempotent(&exchange.kind);
            let left = history.attempts < MAX_ATTEMPTS && exchange.time_left().is_ok();
            if !safe || !left || !self.parts.router.may_retry(Instant::now()) {
                return Err(failure.problem(is_idempotent(&exchange.kind)));
            }
            self.parts.metrics.retry(retry);
            history.reason = Some(retry);
        }
    }

    fn choose(
        &self,
        exchange: &Exchange,
        release: Option<&Release>,
        tried: &[ServerId],
    ) -> Result<Choice, Problem> {
        let settings = &self.parts.settings;
        let query = exchange.query(&settings.data_centre, &settings.region);
        let router = &self.parts.router;
        let present = self.parts.cell.load();
        if let Some(release) = release
            && !rule::is_usable(&present, &exchange.account, release)
        {
            return Err(withdrawn(Refusal::NoVersion));
        }
        let chosen = match (release, &exchange.kind) {
            (Some(release), _) => router.choose(&present, &query, release, tried),
            (None, Kind::Service(call)) => {
                router.choose_service(&present, &query, &call.service, tried)
            }
            (None, _) => Err(Refusal::NoServer),
        };
        chosen.map_err(|reason| Problem::new(reason, "no server is up that can answer: try later"))
    }

    fn learn(
        &self,
        release: Option<&Release>,
        choice: &Choice,
        result: &Result<Answer, Failure>,
        started: Instant,
    ) {
        let elapsed = started.elapsed();
        let (ended, seen) = match result {
            Ok(_) => (Ended::Answered(elapsed), Seen::Answered(elapsed)),
            Err(Failure::Refused) => (Ended::Full, Seen::Unreachable),
            Err(Failure::Status(_) | Failure::BadAnswer(_)) => {
                (Ended::Failed(elapsed), Seen::Failed)
            }
            Err(_) => (Ended::Failed(elapsed), Seen::Unreachable),
        };
        self.parts.router.ended(&choice.server, release, ended, Instant::now());
        if let Some(release) = release {
            self.parts.judge.observe(Sample {
                release: release.clone(),
                server: choice.server.clone(),
                data_centre: choice.data_centre.clone(),
                seen,
            });
        }
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

fn note(
    exchange: &mut Exchange,
    release: Option<&Release>,
    choice: &Choice,
    reason: Option<Retry>,
    result: &Result<Answer, Failure>,
    started: Instant,
) {
    let (model, version) = match (release, &exchange.kind) {
        (Some(release), _) => (release.model.clone(), release.version.clone()),
        (None, Kind::Service(call)) => (call.service.clone(), "".into()),
        (None, _) => ("".into(), "".into()),
    };
    let outcome = match result {
        Ok(answer) => format!("status {}", answer.status.as_u16()),
        Err(failure) => failure.to_string(),
    };
    exchange.trace.attempts.push(trace::Attempt {
        model,
        version,
        server: choice.server.clone(),
        reason: reason.map(|reason| reason.as_str().into()),
        outcome: outcome.into(),
        ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
}
