//! Attempts of one request at several servers, until one gives a response that can be returned.

use {
    super::{
        Forwarder, Job, Progress,
        attempt::{Attempt, Outcome},
        deadline_exceeded,
        guard::WaitGuard,
        handover::{Event, Handover, RECHECK_INTERVAL},
        key_unconfirmed, obstacle, server_failed,
        upstream::Success,
    },
    crate::{
        message::EventId,
        rollout::{Phase, evidence::Signal, waits::Wait},
        time,
    },
    hawthornmount_core::{
        id::{ModelId, ServerId},
        problem::Problem,
        reason::{Refusal, Retry},
    },
    hawthornmount_policy::speed::Measure,
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout_at},
};

/// Time that is added to the measured and the expected time until a response starts, in milliseconds, so
/// that short ones don't give large ratios.
const MEASURE_BASE_MS: f64 = 50.0;

/// The answer to a request.
pub struct Answer {
    /// Attempt at the server that answers.
    pub attempt: Attempt,
    /// The answer.
    pub success: Success,
    /// An answer of low confidence, which is kept until the other one's first event.
    pub spare: Option<(Attempt, Success)>,
}

/// An answer that has begun.
pub struct Begun {
    /// Attempt at the server that answers.
    pub attempt: Attempt,
    /// The answer.
    pub success: Box<Success>,
    /// Time until the answer began.
    pub time: Duration,
}

impl Forwarder {
    /// Returns the answer of the first server that gives one, or an answer of low confidence if the
    /// larger model gives none.
    pub(super) async fn try_servers(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Result<Answer, Problem> {
        let mut handover = Handover::default();
        let raced = self.race_servers(job, progress, &mut handover);
        let timed = async {
            let result = timeout_at(job.deadline().into(), raced).await;
            result.unwrap_or_else(|_elapsed| Err(deadline_exceeded()))
        };
        let result = self.until_end(timed).await;
        self.end_attempts(job, progress, &mut handover);
        let spare = handover.take_answer();
        match (result, spare) {
            (Ok((attempt, success)), spare) => Ok(Answer { attempt, success, spare }),
            (Err(_), Some((attempt, success))) => {
                // A stream that breaks is resumed with the model that began it.
                progress.level = attempt.level;
                Ok(Answer { attempt, success, spare: None })
            }
            (Err(problem), None) => {
                log_unanswered(job, progress);
                Err(problem)
            }
        }
    }

    /// Tries servers until one gives a response that can be returned to the caller. A server that
    /// does not respond in time is kept until another one has taken the request.
    async fn race_servers<'a>(
        &'a self,
        job: &'a Job,
        progress: &mut Progress,
        handover: &mut Handover<'a>,
    ) -> Result<(Attempt, Success), Problem> {
        loop {
            self.settle_path(job, progress.retry_reason).await;
            let started = self.start_attempt(job, progress, handover, job.resume_after());
            if let Err(problem) = started {
                if handover.has_answer() || !self.can_wait(job, progress) {
                    return Err(problem);
                }
                sleep(RECHECK_INTERVAL).await;
                continue;
            }
            let event = handover.next().await;
            let Some(Begun { attempt, success, time }) =
                self.settle(job, progress, handover, event)?
            else {
                continue;
            };
            self.record_start(job, &attempt, time);
            let Some(level) = self.escalate(job, progress, &attempt, &success) else {
                return Ok((attempt, *success));
            };
            handover.keep_answer(attempt, success);
            progress.level = Some(level);
            progress.tried.clear();
            progress.failed.clear();
            progress.refused.clear();
            progress.retry_reason = Some(Retry::Escalation);
        }
    }

    /// Returns whether a server that was tried before may take the request later.
    pub(super) fn can_wait(&self, job: &Job, progress: &Progress) -> bool {
        let view = self.cell.load();
        let allowed = self.allowed_servers(&view, job);
        let is_known = |id: &ServerId| allowed.iter().any(|server| server.id == *id);
        job.route.config.is_idempotent() && progress.can_wait(&job.route.config, is_known)
    }

    /// Waits until it is known whether the failure of the last attempt was that of its server or of the
    /// links.
    pub(super) async fn settle_path(&self, job: &Job, cause: Option<Retry>) {
        if matches!(cause, Some(Retry::Connect | Retry::CutAnswer)) {
            self.path.settle(&job.service).await;
        }
    }

    /// Starts an attempt at another server if the servers of all running attempts are silent. A
    /// stream begins after the event `after`.
    ///
    /// # Errors
    ///
    /// Returns a problem if there is no other server, and no attempt is running whose answer can be
    /// waited for.
    pub(super) fn start_attempt<'a>(
        &'a self,
        job: &'a Job,
        progress: &mut Progress,
        handover: &mut Handover<'a>,
        after: Option<EventId>,
    ) -> Result<(), Problem> {
        if !handover.needs_server() {
            return Ok(());
        }
        match self.next_attempt(job, progress) {
            Ok(attempt) => {
                let timeout = if handover.has_answer() {
                    job.attempt_timeout(attempt.expected_wait, false)
                } else {
                    self.attempt_timeout(job, progress, &attempt)
                };
                handover.start(self, job, attempt, timeout, after);
            }
            Err(problem) if handover.is_empty() || handover.has_answer() => return Err(problem),
            Err(problem) => {
                if handover.keep() {
                    log_kept_server(job, progress, problem.reason);
                }
            }
        }
        Ok(())
    }

    /// Records what happened to an attempt, and returns the answer if one has begun.
    ///
    /// # Errors
    ///
    /// Returns a problem if the request can't be sent to another server.
    pub(super) fn settle(
        &self,
        job: &Job,
        progress: &mut Progress,
        handover: &mut Handover<'_>,
        event: Event,
    ) -> Result<Option<Begun>, Problem> {
        let (attempt, outcome, began) = match event {
            Event::Ended { attempt, outcome, began } => (attempt, outcome, began),
            Event::Silent(attempt) => {
                self.loads.lock().stats(&attempt.server.id).record_failure(Instant::now());
                progress.record_silence(&attempt);
                return Ok(None);
            }
            Event::Recheck => return Ok(None),
            Event::GivenUp(attempt) => {
                let outcome = Outcome::Unknown(Retry::ServerTimeout);
                self.record_outcome(job, progress, &attempt, &outcome);
                return Ok(None);
            }
        };
        self.record_outcome(job, progress, &attempt, &outcome);
        match outcome {
            Outcome::Success(success) => {
                self.end_attempts(job, progress, handover);
                return Ok(Some(Begun { attempt, success, time: began.elapsed() }));
            }
            Outcome::Failed(response) => progress.server_failure = Some(response),
            Outcome::Unknown(_) => {}
            Outcome::Refused
            | Outcome::Unsent
            | Outcome::Limited
            | Outcome::Declined
            | Outcome::Withheld => {
                return Ok(None);
            }
            Outcome::KeyUnconfirmed if handover.is_empty() => return Err(key_unconfirmed()),
            Outcome::KeyUnconfirmed => return Ok(None),
        }
        if job.route.config.is_idempotent() { Ok(None) } else { Err(server_failed()) }
    }

    /// Ends the attempts that are still running. Those of silent servers end unanswered.
    pub(super) fn end_attempts(
        &self,
        job: &Job,
        progress: &mut Progress,
        handover: &mut Handover<'_>,
    ) {
        for (attempt, is_silent) in handover.take_running() {
            if is_silent {
                let outcome = Outcome::Unknown(Retry::ServerTimeout);
                self.record_outcome(job, progress, &attempt, &outcome);
            } else {
                progress.abandon(&attempt.marker);
            }
        }
    }

    /// Records the outcome of an attempt, also as evidence.
    fn record_outcome(
        &self,
        job: &Job,
        progress: &mut Progress,
        attempt: &Attempt,
        outcome: &Outcome,
    ) {
        progress.record_outcome(attempt, outcome);
        match outcome {
            Outcome::Failed(_) => self.record_evidence(job, attempt, Signal::Failed),
            Outcome::Unknown(_) => self.record_evidence(job, attempt, Signal::Broken),
            Outcome::Success(_)
            | Outcome::Refused
            | Outcome::Unsent
            | Outcome::Limited
            | Outcome::Declined
            | Outcome::Withheld
            | Outcome::KeyUnconfirmed => {}
        }
    }

    /// Counts a request as waiting, while a roll-out compares the versions. As for latencies, the
    /// requests of a trial are not compared.
    pub(super) fn begin_wait(&self, job: &Job, attempt: &Attempt) -> Option<WaitGuard> {
        if attempt.is_passed() {
            return None;
        }
        let view = self.cell.load();
        let split = view.split(&job.service)?;
        let is_compared = split.phase < Phase::Full && !attempt.is_trial;
        let wait = || Wait {
            service: job.service.clone(),
            version: attempt.server.version.clone(),
            route: job.route.id.clone(),
            uncached_tokens: attempt.uncached_tokens,
            sent_at: time::now(),
        };
        is_compared.then(|| WaitGuard::new(&self.evidence, wait()))
    }

    /// Records a measurement of the server of an attempt.
    pub(super) fn record_measure(
        &self,
        attempt: &Attempt,
        measure: Measure,
        model: Option<&ModelId>,
        value: f64,
    ) {
        let mut loads = self.loads.lock();
        loads.record_measure(&attempt.server, measure, model, value, Instant::now());
    }

    /// Records the time until a server began its response.
    fn record_start(&self, job: &Job, attempt: &Attempt, time: Duration) {
        if attempt.is_passed() {
            return;
        }
        let model = job.model(attempt.level);
        self.prefill_times.lock().record(model, attempt.uncached_tokens, time);
        if self.adaptation.is_on() && attempt.uncached_tokens > 0 {
            let taken_ms = time.as_secs_f64() * 1_000.0;
            let ratio = (taken_ms + MEASURE_BASE_MS) / (attempt.usual_wait_ms + MEASURE_BASE_MS);
            self.record_measure(attempt, Measure::Start, None, ratio);
        }
        self.record_evidence(job, attempt, Signal::Started(time));
    }
}

/// Logs that a silent server is kept, and why no other one takes the request.
pub fn log_kept_server(job: &Job, progress: &Progress, reason: Refusal) {
    log::info!(
        "kept a silent server; id={} route={} waited_ms={} no_other={reason} {}",
        job.id,
        job.route.id,
        job.arrived.elapsed().as_millis(),
        obstacle::Fields(progress),
    );
}

/// Logs how the attempts ended of a request that may have run and gets no answer.
pub fn log_unanswered(job: &Job, progress: &Progress) {
    if progress.may_run() {
        log::info!(
            "no server answered; id={} route={} waited_ms={} {}",
            job.id,
            job.route.id,
            job.arrived.elapsed().as_millis(),
            obstacle::Fields(progress),
        );
    }
}
