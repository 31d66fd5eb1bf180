//! Evaluation of a server's response: whether it answers the request, and what it states.

use {
    super::{
        Class, Forwarder, Job,
        attempt::{Attempt, Outcome, format_load},
        classify, full_body,
        guard::InFlightGuard,
        upstream::{Body, Success, Upstream},
    },
    crate::{
        limit::cold::Cause, message::ResponseHead, quarantine::start::Start, registry::Server,
    },
    bytes::Bytes,
    hawthornmount_core::{config::Kind, reason::Retry},
    hawthornmount_http::connection::{self, Connection},
    http::{HeaderMap, StatusCode, header},
    std::time::{Duration, Instant},
};

/// Largest response that is buffered completely, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest body of a failure, in bytes. It describes the failure.
const MAX_FAILURE_BYTES: usize = 256 << 10;
/// Largest body of a refusal that is read to reuse its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time in which the body of a refusal has to end for its connection to be reused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// A response whose head has arrived and has not been evaluated yet.
pub struct Received {
    pub connection: Connection,
    pub response: connection::Response,
    pub in_flight: InFlightGuard,
    pub is_reused: bool,
}

impl Forwarder {
    /// Evaluates a response whose head has arrived, and reads its body unless it is a stream.
    pub(super) async fn handle_response(
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
        if let (Class::Invalid(cause), None) = (class, &declined) {
            self.record_failure(job, server, cause.as_str());
            return Outcome::Unknown(cause);
        }
        if let Some(load) = head.load.filter(|_| !attempt.is_passed()) {
            if load.slowdown_percent.is_some() {
                self.adaptation.record_statement(&server.id);
            }
            attempt.reported_load = Some(load);
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
        if let Some(outcome) = declined {
            if matches!(outcome, Outcome::Declined) {
                attempt.marker.clear();
            }
            self.drain(job, upstream).await;
            return outcome;
        }
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
                            if !attempt.is_passed() {
                                self.record_break(job, server, &start);
                            }
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
        if let Some(remaining) = head.cold_remaining.filter(|_| is_answer) {
            self.limits.record_cold(server, remaining, Cause::Answer);
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
        if self.adaptation.is_on() {
            self.loads.lock().stats(&server.id).record_error(Instant::now());
        }
        match self.read_body(upstream, MAX_FAILURE_BYTES).await {
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
        let read =
            upstream.connection.read_held_body(&mut upstream.body, limit, &self.capacity).await;
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
    pub(super) fn return_connection(
        &self,
        server: &Server,
        connection: Connection,
        head: &ResponseHead,
    ) {
        if !head.closes_connection {
            self.pool.put(&server.id, connection, head.keep_alive);
        }
    }
}
