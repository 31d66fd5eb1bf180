//! Passes requests to other instances: while this one reaches no server, or where the limits of the
//! servers leave it no room.

use {
    super::{
        Forwarder, Job, Progress,
        attempt::{Attempt, Outcome},
        job::Marker,
    },
    crate::{
        message::EventId,
        path::{
            links::Reach,
            neighbour::Neighbour,
            pass::{ATTEMPTS, NO_PATH, PASS, Pass, RAN, RAN_NO, digest},
        },
        registry::{Readiness, Server},
    },
    hawthornmount_core::reason::Retry,
    http::HeaderMap,
    rand::seq::IndexedRandom,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Instances that may decline one request.
const MAX_DECLINES: u32 = 3;
/// Time that the way back from another instance takes.
const WAY_BACK: Duration = Duration::from_millis(30);

impl Forwarder {
    /// Checks the path to the servers when that is due, and adapts to what it finds; never returns.
    pub async fn watch_path(&self) {
        let adapt = |reach| match reach {
            // Connections that are mute now may carry late bytes once the servers are reached again.
            Reach::CutOff => self.pool.clear(),
            // The failures were those of the links.
            Reach::Servers => self.loads.lock().forgive(),
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
        let neighbour = self.path.choose_neighbour(&self.data_centre, load)?;
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
        let (instances, cut_off) = self.path.neighbour_counts();
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
        let ran = headers.get(RAN)?;
        let has_path = !headers.contains_key(NO_PATH);
        if !has_path {
            self.path.record_cut_off(neighbour);
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
