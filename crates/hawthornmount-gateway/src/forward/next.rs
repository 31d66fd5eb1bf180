//! Decision whether a request is sent to another server.

use {
    super::{
        Forwarder, Job, Progress, RETRY_AFTER, attempt::Attempt, detour::no_path,
        obstacle::Obstacle,
    },
    crate::{budget::Cause, view::View},
    hawthornmount_core::{
        problem::Problem,
        reason::{Refusal, Retry},
    },
    hawthornmount_http::StatusCode,
    hawthornmount_policy::residency::Regions,
    std::time::{Duration, Instant},
};

/// Delay after which a caller can retry a request that may not be served where servers are left:
/// about the time in which a server starts, or an operator's change is in force.
const REGION_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Forwarder {
    /// Returns the time in which the current attempt has to start its response; the last attempt is
    /// limited only by the deadline of the request.
    pub(super) fn attempt_timeout(
        &self,
        job: &Job,
        progress: &Progress,
        attempt: &Attempt,
    ) -> Option<Duration> {
        let route = &job.route.config;
        let is_last =
            progress.attempts >= job.attempts && !progress.can_go_back(route, Instant::now());
        if is_last {
            None
        } else {
            job.attempt_timeout(attempt.expected_wait, self.adaptation.is_on())
        }
    }

    /// Chooses the server for the next attempt, and counts it against the attempts of the route and
    /// the retry budget.
    pub(super) fn next_attempt(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Result<Attempt, Problem> {
        self.check_quarantine(job)
            .inspect_err(|_| progress.obstacle = Some(Obstacle::Quarantine))?;
        if (progress.attempts > 0 || progress.may_run()) && self.is_suspected(job) {
            progress.obstacle = Some(Obstacle::Suspicion);
            return Err(overloaded());
        }
        let Some(attempt) = self.choose(job, progress) else {
            let closed_for = self.closed_for(job);
            let route = &job.route.config;
            progress.obstacle = Some(if progress.attempts >= job.attempts {
                Obstacle::Attempts
            } else if closed_for.is_some() {
                Obstacle::ServersClosed
            } else if progress.may_ask_others(route) {
                Obstacle::NoServer
            } else {
                Obstacle::Refusals
            });
            if progress.attempts < job.attempts && self.path.is_cut_off(&job.service) {
                return Err(no_path(&job.service));
            }
            let view = self.cell.load();
            let is_excluded = self.allowed_servers(&view, job).is_empty()
                && (!view.evacuated.is_empty() || !view.servers(&job.service).is_empty());
            return Err(if is_excluded {
                region_unavailable(&job.service, &self.allowed_regions(&view, job), &view)
            } else if let Some(time) = closed_for {
                overloaded().retry_after(time)
            } else if progress.retry_reason.is_some() {
                overloaded()
            } else {
                no_server(&job.service)
            });
        };
        if let Some(cause) = progress.retry_reason {
            // A request that no server received is not a retry.
            let is_retry = match cause {
                Retry::Connect => progress.attempts > 0,
                // The retry was taken from the budget when the response was dropped, or when the
                // server or the instance was chosen that did not take the request.
                Retry::Escalation
                | Retry::RateLimited
                | Retry::NeighbourDeclined
                | Retry::Withheld => false,
                _ => true,
            };
            if is_retry && !self.take_retry(job, Cause::Failure) {
                progress.obstacle = Some(Obstacle::Budget);
                return Err(overloaded());
            }
            self.metrics.count_retry(cause);
        }
        progress.count(&attempt);
        progress.obstacle = None;
        progress.begin(&attempt);
        Ok(attempt)
    }
}

/// Returns the problem of a request that can't be retried, because the attempts, the servers or the
/// retry budget are exhausted.
fn overloaded() -> Problem {
    let mut problem = Problem::new(Refusal::Overloaded, "the servers have no room: come back")
        .retry_after(RETRY_AFTER);
    problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    problem
}

/// Returns the problem of a request that no server may take: those of its regions are gone, or their
/// data centres are evacuated.
fn region_unavailable(service: &str, regions: &Regions, view: &View) -> Problem {
    let evacuated = view.evacuated.join(",");
    let detail = format!(
        "no server of {service} may serve the request: come back; regions={regions} \
         evacuated={}",
        if evacuated.is_empty() { "none" } else { &evacuated }
    );
    Problem::new(Refusal::RegionUnavailable, detail).retry_after(REGION_RETRY_AFTER)
}

fn no_server(service: &str) -> Problem {
    let detail = format!("no server of {service} takes requests: come back");
    Problem::new(Refusal::NoServer, detail).retry_after(RETRY_AFTER)
}
