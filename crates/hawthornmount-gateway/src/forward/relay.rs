//! Relays an event stream to the caller as it arrives, and resumes it at another server when it is
//! interrupted.

use {
    super::{
        Forwarder, Job, Progress, attempt::Attempt, deadline_exceeded, obstacle, race,
        resume::Resumption, server_failed, upstream::Upstream,
    },
    crate::{
        filter::{self, Truncated},
        limit::cold::Cause,
        rollout::evidence::Signal,
        sse::Splitter,
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    hawthornmount_core::{
        problem::Problem,
        reason::{Refusal, Retry},
    },
    hawthornmount_http::connection,
    hawthornmount_policy::speed::Measure,
    http::HeaderValue,
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Longest gap between two events if the route configures none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(2);
/// Time without events after which a server counts as unresponsive, as a multiple of the longest
/// gap between two events.
const UNRESPONSIVE_GAPS: u32 = 2;
/// Time without a first event after which a server counts as unresponsive, as a multiple of the
/// target latency.
const UNRESPONSIVE_TARGETS: u32 = 2;

/// Time after the deadline of a request at which the connection to its server is closed, if its caller
/// takes no events before.
pub const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Number of chunks of events over which the mean event gap of a server is measured.
const EVENT_GAP_CHUNKS: u32 = 8;

/// A stream that is relayed to the caller.
pub struct Relay {
    pub(super) forwarder: Arc<Forwarder>,
    pub(super) job: Arc<Job>,
    pub(super) progress: Progress,
    /// Why the last server that sent events was given up.
    pub(super) cause: Retry,
    /// Attempt at the current server.
    pub(super) attempt: Attempt,
    pub(super) upstream: Option<Upstream>,
    /// Content type that the caller was told; `None` if there is none.
    pub(super) content_type: Option<HeaderValue>,
    /// Whether the current server has been silent for too long since its last event.
    is_silent: bool,
    pub(super) splitter: Splitter,
    /// Number of chunks of complete events that were sent to the caller.
    relayed: usize,
    /// Measurement of the event gap of the current server: the time of its first chunk of events,
    /// and the number of chunks that it has sent.
    gap_measurement: Option<(Instant, u32)>,
    /// Time at which events last arrived, from any server.
    last_event: Instant,
    /// Time since which the relay waits for a complete event of the current server.
    pub(super) silent_since: Instant,
}

/// Result of reading from the current server.
pub(super) enum Step {
    /// Complete events for the caller.
    Events(Bytes),
    /// No complete event yet.
    Incomplete,
    /// The stream has ended.
    End,
    /// The stream was interrupted.
    Broken(Retry),
    /// The server has been silent for too long; the stream may go on.
    Silent,
    /// The deadline of the request has passed.
    Expired,
}

impl Relay {
    /// Creates a relay of a stream whose head has arrived.
    pub fn new(
        forwarder: Arc<Forwarder>,
        job: Arc<Job>,
        mut progress: Progress,
        attempt: Attempt,
        mut upstream: Upstream,
        content_type: Option<HeaderValue>,
    ) -> Self {
        upstream.close_at(job.deadline() + CLOSE_DELAY);
        let splitter = Splitter::new(job.resume_after()).within(forwarder.capacity.clone());
        progress.begin(&attempt);
        Self {
            forwarder,
            job,
            progress,
            cause: Retry::CutAnswer,
            attempt,
            upstream: Some(upstream),
            content_type,
            is_silent: false,
            splitter,
            relayed: 0,
            gap_measurement: None,
            last_event: Instant::now(),
            silent_since: Instant::now(),
        }
    }

    /// Returns the body of the response to the caller, once its first event or its end has arrived.
    ///
    /// # Errors
    ///
    /// Returns the progress and a problem if the stream fails before.
    pub async fn start(mut self) -> Result<filter::Body, (Progress, Problem)> {
        let first = match self.next().await {
            Some(Ok(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Err(Truncated)) if Instant::now() >= self.job.deadline() => {
                return Err((self.progress, deadline_exceeded()));
            }
            Some(Err(Truncated)) => return Err((self.progress, server_failed())),
            None => None,
        };
        let relay = first.is_some().then_some(self);
        let rest = stream::unfold(relay, |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(truncated)) => Some((Err(truncated), None)),
                None => None,
            }
        });
        Ok(StreamBody::new(stream::iter(first).chain(rest)).boxed_unsync())
    }

    /// Returns the next events for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        // Time in which the caller took no events is not the server's.
        self.silent_since = Instant::now();
        loop {
            let resumption = match self.step().await {
                Step::Events(bytes) => Resumption::Events(bytes),
                Step::Incomplete => Resumption::Continued,
                Step::End => Resumption::Ended,
                Step::Expired => {
                    self.log_expired();
                    if self.is_silent {
                        self.give_up();
                    }
                    self.upstream = None;
                    return Some(Err(Truncated));
                }
                Step::Silent => {
                    self.record_silence();
                    self.resume(Retry::ServerTimeout).await
                }
                Step::Broken(cause) => {
                    self.abandon_server(cause);
                    self.resume(cause).await
                }
            };
            match resumption {
                Resumption::Continued => {}
                Resumption::Events(bytes) => {
                    if !self.attempt.is_passed() {
                        self.forwarder.path.record_contact(&self.job.service);
                    }
                    self.is_silent = false;
                    self.log_long_gap();
                    self.relayed += 1;
                    self.record_event_gap();
                    self.record_piece();
                    return Some(Ok(bytes));
                }
                Resumption::Ended => {
                    if let Some(upstream) = self.upstream.take() {
                        if self.relayed > 0 && upstream.is_delimited {
                            self.forwarder.record_proof(&self.job);
                        }
                        upstream.finish(&self.forwarder);
                    }
                    return None;
                }
                Resumption::Failed(reason) if self.upstream.is_some() => {
                    race::log_kept_server(&self.job, &self.progress, reason);
                }
                Resumption::Failed(reason) => {
                    if self.relayed > 0 {
                        self.log_truncation(reason);
                    } else {
                        race::log_unanswered(&self.job, &self.progress);
                    }
                    return Some(Err(Truncated));
                }
            }
        }
    }

    /// Reads the next piece of the stream from the current server. Bytes that complete no event don't
    /// extend the time for it.
    async fn step(&mut self) -> Step {
        let deadline = self.job.deadline();
        let end = self.silence_timeout().map_or(deadline, |timeout| self.silent_since + timeout);
        let end = end.min(deadline);
        let Some(upstream) = &mut self.upstream else { return Step::Broken(Retry::CutAnswer) };
        if Instant::now() < end {
            let read = read(&self.job, upstream, &mut self.splitter);
            if let Ok(step) = timeout_at(end.into(), read).await {
                return step;
            }
        }
        if end == deadline { Step::Expired } else { Step::Silent }
    }

    /// Logs that the stream is ended at the deadline of the request.
    fn log_expired(&self) {
        let Some(upstream) = &self.upstream else { return };
        log::info!(
            "stream ended at its deadline; id={} route={} server={} version={} events={} silent_ms={}",
            self.job.id,
            self.job.route.id,
            upstream.server.id,
            upstream.server.version,
            self.relayed,
            self.silent_since.elapsed().as_millis(),
        );
    }

    /// Logs a gap between events that is longer than the route allows.
    fn log_long_gap(&mut self) {
        let gap = std::mem::replace(&mut self.last_event, Instant::now()).elapsed();
        let Some(allowed) = self.job.route.config.event_gap else { return };
        let Some(upstream) = self.upstream.as_ref().filter(|_| self.relayed > 0 && gap > allowed)
        else {
            return;
        };
        log::info!(
            "paused too long; id={} route={} server={} version={} pause_ms={} events={} attempts={} \
             retry={}",
            self.job.id,
            self.job.route.id,
            upstream.server.id,
            upstream.server.version,
            gap.as_millis(),
            self.relayed,
            self.progress.attempts,
            self.progress.retry_reason.map_or("none", Retry::as_str),
        );
    }

    /// Logs and counts a stream that ends before its last event: why its server was given up, and why
    /// no other server took over.
    fn log_truncation(&self, reason: Refusal) {
        let cause = self.cause;
        self.forwarder.metrics.dropped.with_label_values(&["stream", cause.as_str()]).inc();
        log::info!(
            "stream truncated; id={} route={} cause={cause} silent_ms={} events={} \
             not_resumed={reason} {}",
            self.job.id,
            self.job.route.id,
            self.last_event.elapsed().as_millis(),
            self.relayed,
            obstacle::Fields(&self.progress),
        );
    }

    /// Records the mean event gap of the current server as evidence, once per server.
    fn record_event_gap(&mut self) {
        let (since, count) = self.gap_measurement.get_or_insert_with(|| (Instant::now(), 0));
        *count += 1;
        if *count != EVENT_GAP_CHUNKS {
            return;
        }
        let gap = since.elapsed() / (EVENT_GAP_CHUNKS - 1);
        self.forwarder.record_evidence(&self.job, &self.attempt, Signal::EventGap(gap));
        if self.forwarder.adaptation.is_on() && !self.attempt.is_passed() {
            let model = self.job.model(self.attempt.level);
            let seconds = gap.as_secs_f64();
            self.forwarder.record_measure(&self.attempt, Measure::EventGap, model, seconds);
        }
    }

    /// Records that the answer of the current server goes on.
    fn record_piece(&mut self) {
        let now = Instant::now();
        if self.upstream.as_mut().is_some_and(|upstream| upstream.start.record_piece(now)) {
            self.forwarder.record_proof(&self.job);
        }
    }

    /// Returns the time in which the next event has to arrive before the server counts as
    /// unresponsive, or `None` if the stream can't be resumed at another server.
    fn silence_timeout(&self) -> Option<Duration> {
        let route = &self.job.route.config;
        let is_last = self.progress.attempts >= self.job.attempts
            && !self.progress.can_go_back(route, Instant::now());
        if !route.resumable || is_last {
            return None;
        }
        let timeout = if self.relayed == 0 {
            route.target_latency * UNRESPONSIVE_TARGETS
        } else {
            route.event_gap.unwrap_or(DEFAULT_EVENT_GAP) * UNRESPONSIVE_GAPS
        };
        // Another instance moves the stream from a silent server itself.
        Some(if self.attempt.is_passed() { timeout * 2 } else { timeout })
    }

    /// Records that the current server is silent, once until it goes on. It is kept until another
    /// one takes the stream.
    fn record_silence(&mut self) {
        self.silent_since = Instant::now();
        if !std::mem::replace(&mut self.is_silent, true) {
            self.record_failure(Retry::ServerTimeout);
        }
    }

    /// Records the failure of the current server and closes the connection to it, which also
    /// cancels the request there.
    fn abandon_server(&mut self, cause: Retry) {
        if self.upstream.is_some() {
            self.record_failure(cause);
            self.exclude_server();
            if cause == Retry::CutAnswer && !self.attempt.is_passed() {
                self.forwarder.path.record_failure(&self.job.service);
                self.record_break();
            }
            self.give_up();
        }
    }

    /// Records that the connection of the current server broke.
    fn record_break(&self) {
        if let Some(upstream) = &self.upstream {
            self.forwarder.limits.assume_cold(&upstream.server, Cause::Absence);
            self.forwarder.record_break(&self.job, &upstream.server, &upstream.start);
        }
    }

    /// Records a failure of the current server, which is then not chosen for another attempt.
    fn record_failure(&mut self, cause: Retry) {
        let server = &self.attempt.server;
        self.forwarder.record_failure(&self.job, server, cause.as_str());
        self.progress.tried.push(server.id.clone());
        self.progress.retry_reason = Some(cause);
        self.cause = cause;
    }

    /// Excludes the current server, which has failed, from further attempts.
    pub(super) fn exclude_server(&mut self) {
        self.progress.failed.push(self.attempt.server.id.clone());
    }

    /// Closes the connection to the current server, whose answer counts as broken.
    pub(super) fn give_up(&mut self) {
        if self.upstream.take().is_some() {
            self.progress.end(&self.attempt.marker);
            self.forwarder.record_evidence(&self.job, &self.attempt, Signal::Broken);
        }
        self.is_silent = false;
        self.gap_measurement = None;
        self.splitter.discard_partial_event();
    }
}

/// Reads the next piece of a stream, and logs why it can't be relayed any further.
pub(super) async fn read(job: &Job, upstream: &mut Upstream, splitter: &mut Splitter) -> Step {
    let broken = |server: &str, cause: &str| {
        log::info!("stream broke; id={} server={server} cause={cause}", job.id);
        Step::Broken(Retry::CutAnswer)
    };
    if let Some(fault) = splitter.fault() {
        return broken(&upstream.server.id, &fault.to_string());
    }
    let frame = tokio::select! {
        biased;
        fault = splitter.yielded() => return broken(&upstream.server.id, &fault.to_string()),
        frame = upstream.frame() => frame,
    };
    match frame {
        None if splitter.has_partial_event() || upstream.is_without_events() => {
            Step::Broken(Retry::CutAnswer)
        }
        None => Step::End,
        Some(Err(error)) => broken(&upstream.server.id, &connection::describe(&error)),
        Some(Ok(frame)) => match frame.into_data() {
            Err(_trailers) => Step::Incomplete,
            Ok(bytes) => match splitter.push(&bytes) {
                Ok(events) if events.count == 0 => Step::Incomplete,
                Ok(events) => {
                    upstream.allow_event();
                    Step::Events(events.bytes)
                }
                Err(fault) => broken(&upstream.server.id, &fault.to_string()),
            },
        },
    }
}
