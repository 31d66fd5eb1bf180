//! Attempts of one request at several servers, until one gives a response that can be returned.

use {
    super::{
        Forwarder, Job, Progress,
        attempt::{Attempt, Outcome, Success},
        deadline_exceeded,
        guard::WaitGuard,
        handover::{Event, Handover},
        key_unconfirmed, server_failed,
    },
    crate::{
        rollout::{Phase, evidence::Signal, waits::Wait},
        time,
    },
    hawthornmount_core::{
        problem::Problem,
        reason::{Refusal, Retry},
    },
    std::time::{Duration, Instant},
    tokio::time::timeout_at,
};

impl Forwarder {
    /// Returns the answer of the first server that gives one, or an answer of low confidence if the
    /// larger model gives none.
    pub(super) async fn try_servers(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Result<(Attempt, Success), Problem> {
        let mut handover = Handover::default();
        let raced = self.race_servers(job, progress, &mut handover);
        let result = timeout_at(job.deadline().into(), raced).await;
        let result = result.unwrap_or_else(|_elapsed| Err(deadline_exceeded()));
        self.give_up_silent(job, progress, &mut handover);
        result.or_else(|problem| {
            let (attempt, success) = handover.take_answer().ok_or(problem)?;
            // A stream that breaks is resumed with the model that began it.
            progress.level = attempt.level;
            Ok((attempt, success))
        })
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
            if handover.needs_server() {
                match self.next_attempt(job, progress) {
                    Ok(attempt) => {
                        let timeout = if handover.has_answer() {
                            job.attempt_timeout(attempt.expected_wait)
                        } else {
                            self.attempt_timeout(job, progress, &attempt)
                        };
                        handover.start(self, job, attempt, timeout);
                    }
                    Err(problem) if handover.is_empty() || handover.has_answer() => {
                        return Err(problem);
                    }
                    Err(problem) => {
                        if handover.keep() {
                            log_kept_server(job, problem.reason);
                        }
                    }
                }
            }
            let (attempt, outcome, began) = match handover.next().await {
                Event::Ended { attempt, outcome, began } => (attempt, outcome, began),
                Event::Silent(attempt) => {
                    let mut loads = self.loads.lock();
                    loads.stats(&attempt.server.id).record_failure(Instant::now());
                    progress.record_silence(&attempt);
                    continue;
                }
                Event::Recheck => continue,
                Event::GivenUp(attempt) => {
                    let outcome = Outcome::Unknown(Retry::ServerTimeout);
                    self.record_outcome(job, progress, &attempt, &outcome);
                    continue;
                }
            };
            self.record_outcome(job, progress, &attempt, &outcome);
            if matches!(outcome, Outcome::Success(_)) {
                self.record_start(job, &attempt, began.elapsed());
                self.give_up_silent(job, progress, handover);
            }
            match outcome {
                Outcome::Success(success) => {
                    let Some(level) = self.escalate(job, progress, &success) else {
                        return Ok((attempt, *success));
                    };
                    handover.keep_answer(attempt, success);
                    progress.level = Some(level);
                    progress.tried.clear();
                    progress.retry_reason = Some(Retry::Escalation);
                    continue;
                }
                Outcome::Failed(response) => progress.server_failure = Some(response),
                Outcome::Unknown(_) => {}
                Outcome::Refused | Outcome::Unsent => continue,
                Outcome::KeyUnconfirmed if handover.is_empty() => return Err(key_unconfirmed()),
                Outcome::KeyUnconfirmed => continue,
            }
            if !job.route.config.is_idempotent() {
                return Err(server_failed());
            }
        }
    }

    /// Gives up the attempts whose servers are silent.
    fn give_up_silent(&self, job: &Job, progress: &mut Progress, handover: &mut Handover<'_>) {
        for silent in handover.take_silent() {
            let outcome = Outcome::Unknown(Retry::ServerTimeout);
            self.record_outcome(job, progress, &silent, &outcome);
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
            Outcome::Success(_) | Outcome::Refused | Outcome::Unsent | Outcome::KeyUnconfirmed => {}
        }
    }

    /// Counts a request as waiting, while a roll-out compares the versions. As for latencies, the
    /// requests of a trial are not compared.
    pub(super) fn begin_wait(&self, job: &Job, attempt: &Attempt) -> Option<WaitGuard> {
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

    /// Records the time until a server began its response.
    fn record_start(&self, job: &Job, attempt: &Attempt, time: Duration) {
        let model = job.model(attempt.level);
        self.prefill_times.lock().record(model, attempt.uncached_tokens, time);
        self.record_evidence(job, attempt, Signal::Started(time));
    }
}

/// Logs that a silent server is kept, and why no other one takes the request.
pub fn log_kept_server(job: &Job, reason: Refusal) {
    log::info!(
        "kept a silent server; id={} route={} waited_ms={} no_other={reason}",
        job.id,
        job.route.id,
        job.arrived.elapsed().as_millis(),
    );
}
