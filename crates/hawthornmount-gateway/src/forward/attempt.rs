//! A single attempt: forwards a request to one server, or passes it to another instance.

use {
    super::{
        Forwarder, Job, Progress,
        guard::{InFlightGuard, PrefillGuard},
        job::Marker,
        preflight::{Denial, Destination, Knowledge, Request},
        response::Received,
        upstream::Success,
    },
    crate::{
        cascade::Level,
        filter::Response,
        limit::cold::Cause,
        load::Load,
        message::{EventId, ForwardHead},
        path::neighbour::Neighbour,
        registry::Server,
    },
    bytes::Bytes,
    hawthornmount_core::reason::Retry,
    hawthornmount_http::connection::{self, Connection},
    http::HeaderMap,
    http_body_util::Full,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which a connection to a server has to be established. The longest round trip between
/// regions takes some tens of milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// An attempt at one server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: Arc<Server>,
    /// Instance to which the request is passed in place of a server; `server` is its address then.
    pub neighbour: Option<Arc<Neighbour>>,
    /// Number of servers to which it may send the request: one, or what the other instance may use.
    pub servers: u32,
    /// Level of the cascade whose model is requested, if the router chooses the model.
    pub level: Option<Level>,
    /// Whether the request is part of the trial of a version, which fills one server after the
    /// other to test the version under load.
    pub is_trial: bool,
    /// Prompt tokens that the server has not cached.
    pub uncached_tokens: u32,
    /// Prefill time of the uncached tokens, in milliseconds.
    pub prefill_ms: f64,
    /// Wait that was expected when the server was chosen.
    pub expected_wait: Duration,
    /// The same at a server of the usual speed in the data centre, in milliseconds.
    pub usual_wait_ms: f64,
    /// Load that the server reported with its response.
    pub reported_load: Option<Load>,
    /// Why the request is sent again; `None` for the first attempt.
    pub cause: Option<Retry>,
    /// Whether the server was tried before.
    pub is_return: bool,
    /// Whether a new connection is opened: on an open one, the answer to an earlier attempt of the
    /// request could be taken for that to this one.
    pub needs_connection: bool,
    /// When the server was chosen.
    pub chosen_at: Instant,
    /// Marks when the request may have reached the server.
    pub marker: Marker,
}

/// Outcome of an attempt.
pub enum Outcome {
    /// The server responded with success.
    Success(Box<Success>),
    /// The server ran the request and responded with a failure.
    Failed(Response),
    /// The server did not run the request and never will.
    Refused,
    /// Nothing of the request was sent.
    Unsent,
    /// The rate limit of the server had no room, so nothing of the request was sent.
    Limited,
    /// Another instance did not forward the request.
    Declined,
    /// The request may have run.
    Unknown(Retry),
    /// The key could not be confirmed, so nothing of the request was sent.
    KeyUnconfirmed,
    /// The server may not take the request any more, so nothing of it was sent.
    Withheld,
}

impl Attempt {
    /// Returns whether the request is passed to another instance.
    pub const fn is_passed(&self) -> bool {
        self.neighbour.is_some()
    }
}

impl Progress {
    /// Records that the server of an attempt that is still running is silent.
    pub(super) fn record_silence(&mut self, attempt: &Attempt) {
        self.tried.push(attempt.server.id.clone());
        self.retry_reason = Some(Retry::ServerTimeout);
        self.replacement = Some(Retry::ServerTimeout);
    }

    /// Records the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, attempt: &Attempt, outcome: &Outcome) {
        self.end(&attempt.marker);
        self.tried.push(attempt.server.id.clone());
        if !matches!(
            outcome,
            Outcome::Success(_) | Outcome::Refused | Outcome::Unknown(Retry::ServerTimeout)
        ) {
            self.failed.push(attempt.server.id.clone());
        }
        self.may_have_run |=
            matches!(outcome, Outcome::Success(_) | Outcome::Failed(_) | Outcome::Unknown(_));
        let reason = match outcome {
            Outcome::Success(_) | Outcome::KeyUnconfirmed => return,
            Outcome::Failed(_) => Some(Retry::ServerError),
            Outcome::Unknown(cause) => Some(*cause),
            Outcome::Refused => {
                self.record_refusal(attempt, Instant::now());
                Some(Retry::ServerRefused)
            }
            Outcome::Unsent => {
                // A server to which nothing was sent doesn't count as an attempt.
                self.take_back(attempt);
                Some(Retry::Connect)
            }
            Outcome::Declined => {
                self.take_back(attempt);
                self.declines += 1;
                Some(Retry::NeighbourDeclined)
            }
            Outcome::Limited => {
                self.take_back(attempt);
                Some(Retry::RateLimited)
            }
            Outcome::Withheld => {
                self.take_back(attempt);
                Some(Retry::Withheld)
            }
        };
        self.retry_reason = reason;
        self.replacement = reason;
    }
}

impl Forwarder {
    /// Sends the request to a server and waits for its response. A connection from the pool that
    /// turns out to be closed before anything was sent is replaced by another one.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        attempt: &mut Attempt,
        resume_after: Option<EventId>,
    ) -> Outcome {
        let server = attempt.server.clone();
        let server = &server;
        let in_flight = {
            let is_trial_sized = job.is_trial_sized(self.adaptation.is_on());
            let destination = (&server.id, &job.service);
            InFlightGuard::new(&self.loads, destination, is_trial_sized, &self.path)
        };
        let _prefill = PrefillGuard::new(&self.loads, &server.id, attempt.prefill_ms);
        let mut pooled = if attempt.needs_connection { None } else { self.pool.take(&server.id) };
        let mut has_passed = false;
        loop {
            let is_reused = pooled.is_some();
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => match Connection::open_bounded(server.address, CONNECT_TIMEOUT).await {
                    Ok(connection) => {
                        self.record_contact(attempt);
                        connection
                    }
                    Err(failure) => {
                        self.record_link_failure(attempt);
                        return self.record_unsent(job, attempt, &failure);
                    }
                },
            };
            if let Err(denial) = self.check_handover(job, attempt) {
                self.pool.put(&server.id, connection, None);
                return match denial {
                    Denial::Key => Outcome::KeyUnconfirmed,
                    Denial::Region | Denial::Evacuated | Denial::Withdrawn => Outcome::Withheld,
                };
            }
            let request = self.request(job, attempt, resume_after);
            // A connection that broke before anything was sent has passed already.
            if !has_passed && !attempt.is_passed() && !self.limits.pass(server) {
                self.pool.put(&server.id, connection, None);
                return Outcome::Limited;
            }
            has_passed = true;
            self.loads.lock().stats(&server.id).record_prompt(
                job.model(attempt.level),
                &job.request.prompt,
                Instant::now(),
            );
            self.log_limited(job, attempt);
            attempt.marker.set_sent();
            attempt.reported_load = None;
            let wait = self.begin_wait(job, attempt);
            match connection.send(request).await {
                Ok(response) => {
                    self.record_contact(attempt);
                    if let Some(wait) = wait {
                        wait.end(response.status().is_success());
                    }
                    let received = Received { connection, response, in_flight, is_reused };
                    return self.handle_response(job, received, attempt).await;
                }
                Err(failure) if failure.is_unsent() => {
                    attempt.marker.clear();
                    if !is_reused {
                        return self.record_unsent(job, attempt, &failure);
                    }
                }
                Err(failure) => {
                    self.record_link_failure(attempt);
                    self.record_failure(job, server, &failure.to_string());
                    if !attempt.is_passed() {
                        self.limits.assume_cold(server, Cause::Absence);
                        self.record_unanswered(job, attempt);
                    }
                    return Outcome::Unknown(Retry::CutAnswer);
                }
            }
        }
    }

    /// Records that the server of an attempt was reached, as evidence on the links.
    fn record_contact(&self, attempt: &Attempt) {
        if !attempt.is_passed() {
            self.path.record_contact(&attempt.server.service);
        }
    }

    /// Records that the connection of an attempt failed, as evidence on the links.
    pub(super) fn record_link_failure(&self, attempt: &Attempt) {
        if !attempt.is_passed() {
            self.path.record_failure(&attempt.server.service);
        }
    }

    /// Logs an attempt at a server that states a rate limit.
    fn log_limited(&self, job: &Job, attempt: &Attempt) {
        if let Some(rate) = self.limits.rate(&attempt.server) {
            log::info!(
                "sent to a server with a rate limit; id={} route={} server={} rate={rate} cause={}",
                job.id,
                job.route.id,
                attempt.server.id,
                attempt.cause.map_or("first", Retry::as_str),
            );
        }
    }

    /// Checks that the request may still be handed to the destination of an attempt.
    fn check_handover(&self, job: &Job, attempt: &Attempt) -> Result<(), Denial> {
        let view = self.cell.load();
        let knowledge =
            Knowledge { view: &view, freshness: &self.freshness, regions: &self.regions };
        let request = Request {
            key: job.request.key.as_deref(),
            principal: job.principal.as_ref(),
            route: &job.route,
        };
        let destination = match &attempt.neighbour {
            Some(neighbour) => Destination::Instance(&neighbour.data_centre),
            None => Destination::Server(&attempt.server),
        };
        knowledge.check(&request, destination).inspect_err(|denial| {
            log::info!(
                "not handed over; id={} route={} server={} data_centre={} regions={} cause={denial}",
                job.id,
                job.route.id,
                attempt.server.id,
                attempt.server.data_centre,
                self.allowed_regions(&view, job),
            );
        })
    }

    /// Returns the headers with which a request is sent to a server.
    fn forward_headers(
        &self,
        job: &Job,
        attempt: &Attempt,
        resume_after: Option<EventId>,
    ) -> HeaderMap {
        let model = attempt.level.and_then(|level| job.route.config.ladder.get(level));
        let forward_head = ForwardHead {
            server: attempt.server.id.clone(),
            account: job.principal.as_ref().map(|principal| principal.account.clone()),
            model: model.cloned(),
            rank: job.rank(),
            time_left: job.time_left(),
            resume_after,
        };
        self.dialect.forward_headers(&job.headers, &forward_head)
    }

    /// Returns the request as it is sent to a server, or passed to another instance.
    fn request(
        &self,
        job: &Job,
        attempt: &Attempt,
        resume_after: Option<EventId>,
    ) -> http::Request<Full<Bytes>> {
        let headers = match &attempt.neighbour {
            Some(neighbour) => self.passed_headers(job, attempt, neighbour, resume_after),
            None => self.forward_headers(job, attempt, resume_after),
        };
        let mut request = http::Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.target.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Records a failure of a server to which nothing could be sent.
    fn record_unsent(
        &self,
        job: &Job,
        attempt: &Attempt,
        failure: &connection::Failure,
    ) -> Outcome {
        if !attempt.is_passed() {
            self.limits.assume_cold(&attempt.server, Cause::Absence);
        }
        self.record_failure(job, &attempt.server, &failure.to_string());
        Outcome::Unsent
    }

    /// Logs a failure of a server and records it in the load statistics.
    pub(super) fn record_failure(&self, job: &Job, server: &Server, cause: &str) {
        log::info!(
            "server failed; id={} route={} server={} version={} digest={:016x} cause={cause}",
            job.id,
            job.route.id,
            server.id,
            server.version,
            job.digest
        );
        self.loads.lock().stats(&server.id).record_failure(Instant::now());
    }
}

/// Returns a load in the format of log lines.
pub(super) fn format_load(load: Option<Load>) -> String {
    load.map_or_else(|| "unknown".to_owned(), |load| load.to_string())
}
