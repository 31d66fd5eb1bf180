//! Passes requests to other instances: while this one reaches no server, or where the limits of the
//! servers leave it no room.

use {
    super::{
        Forwarder, Job, Progress, RETRY_AFTER,
        attempt::{Attempt, Outcome},
        job::Marker,
    },
    crate::{
        message::EventId,
        path::{
            links::Reach,
            neighbour::{MAX_DECLINES, Neighbour, Query},
            pass::{ATTEMPTS, NO_PATH, PASS, Pass, RAN, RAN_NO, digest},
        },
        registry::{Readiness, Server},
    },
    hawthornmount_core::{
        id::{ServerId, ServiceId},
        problem::Problem,
        reason::{Refusal, Retry},
    },
    http::HeaderMap,
    rand::seq::IndexedRandom,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time that the way back from another instance takes.
const WAY_BACK: Duration = Duration::from_millis(30);

impl Forwarder {
    /// Checks the path to the servers when that is due, and adapts to what it finds; never returns.
    pub async fn watch_path(&self) {
        let adapt = |service: &ServiceId, reach| {
            let view = self.cell.load();
            let is_of_service =
                |id: &ServerId| view.servers(service).iter().any(|server| server.id == *id);
            match reach {
                // Connections that are mute now may carry late bytes once the servers are reached again.
                Reach::CutOff => self.pool.remove(is_of_service),
                // The failures were those of the links.
                Reach::Servers => self.loads.lock().forgive(is_of_service),
            }
        };
        self.path.run(adapt).await;
    }

    /// Chooses an instance that holds a share of the limits of a server, if all servers of the service
    /// have limits. One whose own shares are used up asks another one once.
    pub(super) fn choose_holder(&self, job: &Job, progress: &Progress) -> Option<Attempt> {
        let (view, now) = (self.cell.load(), Instant::now());
        let servers = self.allowed_servers(&view, job);
        if servers.iter().any(|server| !self.limits.is_limited(server, now)) {
            return None;
        }
        let holds_share = servers.iter().any(|server| self.limits.holds_share(server, now));
        if holds_share && progress.declines > 0 {
            return None;
        }
        let holders = self.limits.holders(servers.choose(&mut rand::rng())?, now);
        self.choose_neighbour(job, progress, |neighbour| holders.contains(&neighbour.id))
    }

    /// Chooses an instance for the next attempt among those for which `is_asked` is true; returns
    /// `None` if there is none left to try. The body goes only to regions in which the request may be
    /// served: the region of the caller may be another one than that of this instance.
    pub(super) fn choose_neighbour(
        &self,
        job: &Job,
        progress: &Progress,
        is_asked: impl Fn(&Neighbour) -> bool,
    ) -> Option<Attempt> {
        // The answer to a request without an id could not be recognized.
        if job.is_passed || job.request.id.is_none() || progress.declines >= MAX_DECLINES {
            return None;
        }
        let now = Instant::now();
        let regions = self.allowed_regions(&self.cell.load(), job);
        let load = |neighbour: &Neighbour| {
            if !is_asked(neighbour) || !self.is_in(&neighbour.data_centre, &regions) {
                return None;
            }
            let mut loads = self.loads.lock();
            let stats = loads.stats(&neighbour.destination);
            let is_usable =
                !progress.tried.contains(&neighbour.destination) && !stats.is_avoided(now);
            is_usable.then_some(stats.in_flight)
        };
        let query = Query {
            service: &job.service,
            data_centre: &self.data_centre,
            is_declined: progress.declines > 0,
        };
        let neighbour = self.path.choose_neighbour(query, load)?;
        Some(Attempt {
            server: Arc::new(destination(&neighbour, job)),
            neighbour: Some(neighbour),
            servers: passed_attempts(job.attempts.saturating_sub(progress.attempts)),
            level: progress.level,
            is_trial: false,
            uncached_tokens: 0,
            prefill_ms: 0.0,
            expected_wait: Duration::ZERO,
            usual_wait_ms: 0.0,
            reported_load: None,
            cause: progress.retry_reason,
            is_return: false,
            needs_connection: false,
            chosen_at: now,
            marker: Marker::default(),
        })
    }

    /// Logs that a request is not passed to another instance although this one reaches no server.
    pub(super) fn log_no_neighbour(&self, job: &Job, progress: &Progress) {
        let (instances, cut_off) = self.path.neighbour_counts(&job.service);
        log::info!(
            "no instance takes the request; id={} service={} declines={} attempts={} instances={instances} \
             cut_off={cut_off}",
            job.id,
            job.service,
            progress.declines,
            progress.attempts
        );
    }

    /// Returns the headers with which a request is passed to another instance.
    pub(super) fn passed_headers(
        &self,
        job: &Job,
        attempt: &Attempt,
        neighbour: &Neighbour,
        resume_after: Option<EventId>,
    ) -> HeaderMap {
        let time_left = job.time_left().saturating_sub(WAY_BACK);
        let pass = Pass {
            from: self.instance.clone(),
            to: neighbour.id.clone(),
            request: job.id.clone(),
            head: digest(&job.method, &job.target),
        };
        let mut headers = self.dialect.passed_headers(&job.headers, time_left, resume_after);
        headers.insert(PASS, pass.seal(&neighbour.secret));
        headers.insert(ATTEMPTS, attempt.servers.into());
        headers
    }

    /// Returns the outcome of an attempt whose request another instance refused itself; `None` if the
    /// answer is a server's.
    pub(super) fn declined(
        &self,
        job: &Job,
        neighbour: &Neighbour,
        headers: &HeaderMap,
    ) -> Option<Outcome> {
        let Some(ran) = headers.get(RAN) else {
            self.path.record_neighbour(neighbour, &job.service, true);
            return None;
        };
        let has_path = !headers.contains_key(NO_PATH);
        if !has_path {
            self.path.record_neighbour(neighbour, &job.service, false);
        }
        log::info!(
            "another instance gave no answer; id={} instance={} ran={} has_path={has_path}",
            job.id,
            neighbour.id,
            ran.to_str().unwrap_or("invalid")
        );
        if ran == RAN_NO {
            Some(Outcome::Declined)
        } else {
            Some(Outcome::Unknown(Retry::ServerError))
        }
    }
}

/// Returns how many of the servers that are left another instance may use. Some are left for the case
/// that it ends without an answer, since it can't state then how many it has used.
fn passed_attempts(left: u32) -> u32 {
    left.div_ceil(2).max(1)
}

/// Returns an instance as the destination of a request.
fn destination(neighbour: &Neighbour, job: &Job) -> Server {
    Server {
        id: neighbour.destination.clone(),
        start_ms: 0,
        service: job.service.clone(),
        address: neighbour.address,
        data_centre: neighbour.data_centre.clone(),
        version: "none".into(),
        slots: 1,
        readiness: Readiness::Ready,
        cold_remaining: Duration::ZERO,
    }
}

/// Returns the problem of a request whose service this instance does not reach, and which no other
/// instance takes.
pub(super) fn no_path(service: &str) -> Problem {
    let detail = format!("no server of {service} is reached: come back");
    Problem::new(Refusal::NoPath, detail).retry_after(RETRY_AFTER)
}
