//! A single attempt: forwards a request to one server and evaluates its response.

use {
    super::{
        Class, Forwarder, Job, Progress, classify, full_body,
        guard::{InFlightGuard, PrefillGuard},
        job::Marker,
    },
    crate::{
        cascade::Level,
        filter::Response,
        load::Load,
        message::{EventId, ForwardHead, ResponseHead},
        path::neighbour::Neighbour,
        quarantine::start::Start,
        registry::Server,
        sse::MAX_EVENT_BYTES,
    },
    bytes::Bytes,
    hawthornmount_core::{config::Kind, reason::Retry},
    hawthornmount_http::connection::{self, Closing, Connection},
    http::{HeaderMap, StatusCode, header},
    http_body::Frame,
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which a connection to a server has to be established. The longest round trip between
/// regions takes some tens of milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response that is buffered completely, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest body of a refusal that is read to reuse its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time in which the body of a refusal has to end for its connection to be reused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// An attempt at one server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: Arc<Server>,
    /// Instance to which the request is passed in place of a server; `server` is its address then.
    pub neighbour: Option<Arc<Neighbour>>,
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
    /// Load that the server reported with its response.
    pub reported_load: Option<Load>,
    /// Why the request is sent again; `None` for the first attempt.
    pub cause: Option<Retry>,
    /// Whether the server was tried before.
    pub is_return: bool,
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
        };
        self.retry_reason = reason;
        self.replacement = reason;
    }
}

/// A successful response; the body may still be arriving.
pub struct Success {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as the server sent them.
    pub headers: HeaderMap,
    /// Parsed head of the response.
    pub head: ResponseHead,
    /// Body of the response.
    pub body: Body,
}

/// Body of a successful response.
pub enum Body {
    /// The complete body.
    Complete(Bytes),
    /// A body that is still arriving.
    Streaming(Box<Upstream>),
}

/// A body that is still arriving, with its connection; dropping it closes the connection.
pub struct Upstream {
    body: Incoming,
    /// Server that sends the body.
    pub server: Arc<Server>,
    /// Progress of the answer.
    pub start: Start,
    /// Whether the end of the body is marked, so that it can be told from a connection that broke.
    pub is_delimited: bool,
    connection: Connection,
    head: ResponseHead,
    /// Closes the connection at the deadline of the request.
    closing: Option<Closing>,
    _in_flight: InFlightGuard,
}

impl Upstream {
    /// Returns whether a stream that ends now broke off before its first event.
    pub const fn is_without_events(&self) -> bool {
        !self.is_delimited && !self.start.has_pieces()
    }

    /// Reads the next piece of the body.
    pub async fn frame(&mut self) -> Option<hyper::Result<Frame<Bytes>>> {
        self.connection.read_frame(&mut self.body).await
    }

    /// Allows the server to send another event.
    pub fn allow_event(&self) {
        self.connection.allow(MAX_EVENT_BYTES);
    }

    /// Closes the connection at a time unless the body has ended by then, also while no one reads it.
    pub fn close_at(&mut self, time: Instant) {
        self.closing = Some(self.connection.close_at(time));
    }

    /// Returns the connection to the pool after the body was read to its end.
    pub fn finish(self, forwarder: &Forwarder) {
        drop(self.closing);
        forwarder.return_connection(&self.server, self.connection, &self.head);
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
        let in_flight = InFlightGuard::new(&self.loads, &server.id, job, &self.path);
        let _prefill = PrefillGuard::new(&self.loads, &server.id, attempt.prefill_ms);
        let mut pooled = self.pool.take(&server.id);
        let mut has_passed = false;
        loop {
            let is_reused = pooled.is_some();
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => match Connection::open(server.address, CONNECT_TIMEOUT).await {
                    Ok(connection) => {
                        self.record_contact(attempt);
                        connection
                    }
                    Err(failure) => {
                        self.record_link_failure(attempt);
                        return self.record_unsent(job, server, &failure);
                    }
                },
            };
            if !self.may_send(job) {
                return Outcome::KeyUnconfirmed;
            }
            let request = self.request(job, attempt, resume_after);
            self.loads.lock().stats(&server.id).record_prompt(
                job.model(attempt.level),
                &job.request.prompt,
                Instant::now(),
            );
            // A connection that broke before anything was sent has passed already.
            if !has_passed && !attempt.is_passed() && !self.limits.pass(server) {
                return Outcome::Limited;
            }
            has_passed = true;
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
                        return self.record_unsent(job, server, &failure);
                    }
                }
                Err(failure) => {
                    self.record_link_failure(attempt);
                    self.record_failure(job, server, &failure.to_string());
                    if !attempt.is_passed() {
                        self.record_unanswered(job, server);
                    }
                    return Outcome::Unknown(Retry::CutAnswer);
                }
            }
        }
    }

    /// Records that the server of an attempt was reached, as evidence on the links.
    fn record_contact(&self, attempt: &Attempt) {
        if !attempt.is_passed() {
            self.path.record_contact();
        }
    }

    /// Records that the connection of an attempt failed, as evidence on the links.
    pub(super) fn record_link_failure(&self, attempt: &Attempt) {
        if !attempt.is_passed() {
            self.path.record_failure();
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

    /// Returns whether the key of a request is valid under a configuration that is recent enough.
    /// The key is checked against the current configuration, because the request may have waited
    /// since its key was looked up.
    fn may_send(&self, job: &Job) -> bool {
        !job.requires_key()
            || (self.freshness.is_within_revocation_bound()
                && job.is_key_valid_in(&self.cell.load()))
    }

    /// Returns the request as it is sent to a server.
    fn request(
        &self,
        job: &Job,
        attempt: &Attempt,
        resume_after: Option<EventId>,
    ) -> http::Request<Full<Bytes>> {
        if let Some(neighbour) = &attempt.neighbour {
            return self.passed_request(job, neighbour, resume_after);
        }
        let model = attempt.level.and_then(|level| job.route.config.ladder.get(level));
        let forward_head = ForwardHead {
            server: attempt.server.id.clone(),
            account: job.principal.as_ref().map(|principal| principal.account.clone()),
            model: model.cloned(),
            rank: job.rank(),
            time_left: job.deadline().saturating_duration_since(Instant::now()),
            resume_after,
        };
        let mut request = http::Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.target.clone();
        *request.headers_mut() = self.dialect.forward_headers(&job.headers, &forward_head);
        request
    }

    /// Evaluates a response whose head has arrived, and reads its body unless it is a stream.
    async fn handle_response(
        &self,
        job: &Job,
        received: Received,
        attempt: &mut Attempt,
    ) -> Outcome {
        let server = &attempt.server;
        let Received { connection, response, in_flight, is_reused } = received;
        let (parts, body) = response.into_parts();
        let head = self.dialect.parse_response(&parts);
        let now = Instant::now();
        let declined = attempt
            .neighbour
            .as_ref()
            .and_then(|neighbour| self.declined(job, neighbour, &parts.headers));
        let class = classify(&job.id, parts.status, &head, is_reused);
        if !attempt.is_passed() {
            self.record_statements(job, attempt, parts.status, &head, class);
        } else if let Some(rejections) = head.brittle {
            // The servers of a service are brittle together.
            self.limits.record_brittle(&job.id, server, rejections);
        }
        if let Some(outcome) = declined {
            let upstream = Upstream {
                body,
                server: server.clone(),
                start: Start::new(now),
                is_delimited: true,
                connection,
                head,
                closing: None,
                _in_flight: in_flight,
            };
            if matches!(outcome, Outcome::Declined) {
                attempt.marker.clear();
            }
            self.drain(job, upstream).await;
            return outcome;
        }
        if let Class::Invalid(cause) = class {
            self.record_failure(job, server, cause.as_str());
            return Outcome::Unknown(cause);
        }
        attempt.reported_load = head.load;
        if let Some(load) = head.load.filter(|_| !attempt.is_passed()) {
            self.loads.lock().stats(&server.id).record_report(load, now);
        }
        let (server, start) = (server.clone(), Start::new(now));
        let is_delimited = parts.headers.contains_key(header::CONTENT_LENGTH)
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        let upstream = Upstream {
            body,
            server,
            start,
            is_delimited,
            connection,
            head,
            closing: None,
            _in_flight: in_flight,
        };
        let server = &upstream.server.clone();
        match class {
            Class::Refused => {
                log::debug!("request refused by server; id={} server={}", job.id, server.id);
                if parts.status == StatusCode::MISDIRECTED_REQUEST {
                    self.loads.lock().stats(&server.id).record_failure(now);
                }
                attempt.marker.clear();
                self.drain(job, upstream).await;
                Outcome::Refused
            }
            Class::Failure => {
                self.handle_failure(job, parts.status, &parts.headers, upstream).await
            }
            Class::Success | Class::Invalid(_) => {
                self.loads.lock().stats(&server.id).record_success();
                let is_stream = job.route.config.kind == Kind::Stream;
                let head = upstream.head.clone();
                let body = if is_stream {
                    upstream.allow_event();
                    Body::Streaming(Box::new(upstream))
                } else {
                    match self.read_body(upstream, MAX_BODY_BYTES).await {
                        Ok(bytes) => {
                            if is_delimited {
                                self.record_proof(job);
                            }
                            Body::Complete(bytes)
                        }
                        Err(cause) => {
                            self.record_failure(job, server, &cause);
                            self.record_break(job, server, &start);
                            return Outcome::Unknown(Retry::CutAnswer);
                        }
                    }
                };
                let success = Success { status: parts.status, headers: parts.headers, head, body };
                Outcome::Success(Box::new(success))
            }
        }
    }

    /// Records that a server is leaving, wants no requests for a time, or has a rate limit.
    fn record_statements(
        &self,
        job: &Job,
        attempt: &Attempt,
        status: StatusCode,
        head: &ResponseHead,
        class: Class,
    ) {
        // Another server may have answered at the address if the expected one is gone.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let (server, now) = (&attempt.server, Instant::now());
        let is_answer = !matches!(class, Class::Invalid(_));
        if let Some(sent_at) = attempt.marker.sent_at().filter(|_| is_answer) {
            self.limits.record_answer(&job.id, server, head.rate_limit, sent_at);
        }
        if let Some(rejections) = head.brittle.filter(|_| is_answer) {
            self.limits.record_brittle(&job.id, server, rejections);
        }
        let mut loads = self.loads.lock();
        if class == Class::Refused {
            self.limits.record_rejection(server, loads.stats(&server.id).in_flight);
        }
        if head.is_leaving && loads.record_leaving(&server.id, server.start_ms) {
            log::info!("server is leaving; id={} server={}", job.id, server.id);
        }
        if let Some(time) = head.retry_after {
            loads.stats(&server.id).close(time, now);
            log::info!(
                "server turns requests away; id={} server={} for_ms={}",
                job.id,
                server.id,
                time.as_millis()
            );
        }
    }

    /// Logs a failure response of a server and reads its body.
    async fn handle_failure(
        &self,
        job: &Job,
        status: StatusCode,
        headers: &HeaderMap,
        upstream: Upstream,
    ) -> Outcome {
        let server = upstream.server.clone();
        log::info!(
            "failure response; id={} route={} server={} version={} status={status} load={}",
            job.id,
            job.route.id,
            server.id,
            server.version,
            format_load(upstream.head.load)
        );
        match self.read_body(upstream, MAX_BODY_BYTES).await {
            Ok(bytes) => {
                let mut response = http::Response::new(full_body(bytes));
                *response.status_mut() = status;
                *response.headers_mut() = self.dialect.caller_headers(headers);
                Outcome::Failed(response)
            }
            Err(cause) => {
                self.record_failure(job, &server, &cause);
                Outcome::Unknown(Retry::CutAnswer)
            }
        }
    }

    /// Reads a body of at most `limit` bytes to its end and returns its connection to the pool.
    async fn read_body(&self, mut upstream: Upstream, limit: usize) -> Result<Bytes, String> {
        let read = upstream.connection.read_body(&mut upstream.body, limit).await;
        let bytes = read.map_err(|failure| failure.cause().to_string())?;
        upstream.finish(self);
        Ok(bytes)
    }

    /// Reads the body of a refusal, so that its connection can be reused.
    async fn drain(&self, job: &Job, upstream: Upstream) {
        let server = upstream.server.clone();
        let read = self.read_body(upstream, MAX_REFUSAL_BYTES);
        let cause = match tokio::time::timeout(REFUSAL_TIMEOUT, read).await {
            Ok(Ok(_unused)) => return,
            Ok(Err(cause)) => format!("refusal without its whole body: {cause}"),
            Err(_elapsed) => {
                format!("the body of a refusal took over {} ms", REFUSAL_TIMEOUT.as_millis())
            }
        };
        self.record_failure(job, &server, &cause);
    }

    /// Returns a connection to the pool, unless the server closes it.
    fn return_connection(&self, server: &Server, connection: Connection, head: &ResponseHead) {
        if !head.closes_connection {
            self.pool.put(&server.id, connection, head.keep_alive);
        }
    }

    /// Records a failure of a server to which nothing could be sent.
    fn record_unsent(&self, job: &Job, server: &Server, failure: &connection::Failure) -> Outcome {
        self.record_failure(job, server, &failure.to_string());
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

/// A response whose head has arrived and has not been evaluated yet.
struct Received {
    connection: Connection,
    response: connection::Response,
    in_flight: InFlightGuard,
    is_reused: bool,
}
