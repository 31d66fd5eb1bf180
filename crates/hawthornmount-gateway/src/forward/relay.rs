//! Relays an event stream to the caller as it arrives, and resumes it at another server when it is
//! interrupted.

use {
    super::{
        Forwarder, Job, Progress,
        attempt::{Body, Outcome, Upstream},
    },
    crate::{
        filter::{self, Truncated},
        rollout::evidence::Signal,
        sse::Splitter,
    },
    bytes::Bytes,
    futures::stream,
    hawthornmount_core::reason::Retry,
    hawthornmount_http::connection,
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

/// Number of chunks of events over which the mean event gap of a server is measured.
const EVENT_GAP_CHUNKS: u32 = 8;

/// A stream that is relayed to the caller.
pub struct Relay {
    forwarder: Arc<Forwarder>,
    job: Arc<Job>,
    progress: Progress,
    upstream: Option<Upstream>,
    splitter: Splitter,
    /// Number of chunks of complete events that were sent to the caller.
    relayed: usize,
    /// Measurement of the event gap of the current server: the time of its first chunk of events,
    /// and the number of chunks that it has sent.
    gap_measurement: Option<(Instant, u32)>,
    /// Time at which events last arrived, from any server.
    last_event: Instant,
    /// Time since which the relay waits for a complete event of the current server.
    silent_since: Instant,
}

/// Result of reading from the current server.
enum Step {
    /// Complete events for the caller.
    Events(Bytes),
    /// No complete event yet.
    Incomplete,
    /// The stream has ended.
    End,
    /// The stream was interrupted.
    Broken(Retry),
    /// The deadline of the request has passed.
    Expired,
}

impl Relay {
    /// Creates a relay of a stream whose head has arrived.
    pub fn new(
        forwarder: Arc<Forwarder>,
        job: Arc<Job>,
        progress: Progress,
        upstream: Upstream,
    ) -> Self {
        let splitter = Splitter::new(job.resume_after());
        Self {
            forwarder,
            job,
            progress,
            upstream: Some(upstream),
            splitter,
            relayed: 0,
            gap_measurement: None,
            last_event: Instant::now(),
            silent_since: Instant::now(),
        }
    }

    /// Returns the body of the response to the caller.
    pub fn into_body(self) -> filter::Body {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(truncated)) => Some((Err(truncated), None)),
                None => None,
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next events for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        // Time in which the caller took no events is not the server's.
        self.silent_since = Instant::now();
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.log_long_gap();
                    self.relayed += 1;
                    self.record_event_gap();
                    return Some(Ok(bytes));
                }
                Step::Incomplete => {}
                Step::End => {
                    if let Some(upstream) = self.upstream.take() {
                        upstream.finish(&self.forwarder);
                    }
                    return None;
                }
                Step::Expired => {
                    self.log_expired();
                    self.upstream = None;
                    return Some(Err(Truncated));
                }
                Step::Broken(cause) => {
                    self.abandon_server(cause);
                    if !self.resume().await {
                        return Some(Err(Truncated));
                    }
                }
            }
        }
    }

    /// Reads the next piece of the stream from the current server.
    async fn step(&mut self) -> Step {
        let timeout = self.silence_timeout();
        let Some(upstream) = &mut self.upstream else { return Step::Broken(Retry::CutAnswer) };
        let deadline = self.job.deadline();
        let silence_end = timeout.map(|timeout| self.silent_since + timeout);
        let end = silence_end.map_or(deadline, |end| end.min(deadline));
        // Bytes that complete no event don't extend the time.
        let frame = if Instant::now() < end {
            timeout_at(end.into(), upstream.frame()).await.ok()
        } else {
            None
        };
        let Some(frame) = frame else {
            return if end == deadline {
                Step::Expired
            } else {
                Step::Broken(Retry::ServerTimeout)
            };
        };
        match frame {
            None if self.splitter.has_partial_event() => Step::Broken(Retry::CutAnswer),
            None => Step::End,
            Some(Err(error)) => self.broken(&connection::describe(&error)),
            Some(Ok(frame)) => match frame.into_data() {
                Err(_trailers) => Step::Incomplete,
                Ok(bytes) => match self.splitter.push(&bytes) {
                    Ok(events) if events.count == 0 => Step::Incomplete,
                    Ok(events) => {
                        upstream.allow_event();
                        Step::Events(events.bytes)
                    }
                    Err(fault) => self.broken(&fault.to_string()),
                },
            },
        }
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

    /// Logs why the stream of the current server can't be relayed any further.
    fn broken(&self, cause: &str) -> Step {
        let server = self.upstream.as_ref().map_or("none", |upstream| &*upstream.server.id);
        log::info!("stream broke; id={} server={server} cause={cause}", self.job.id);
        Step::Broken(Retry::CutAnswer)
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

    /// Records the mean event gap of the current server as evidence, once per server.
    fn record_event_gap(&mut self) {
        let (since, count) = self.gap_measurement.get_or_insert_with(|| (Instant::now(), 0));
        *count += 1;
        if *count != EVENT_GAP_CHUNKS {
            return;
        }
        let gap = since.elapsed() / (EVENT_GAP_CHUNKS - 1);
        if let Some(upstream) = &self.upstream {
            self.forwarder.record_evidence(
                &self.job,
                &self.progress,
                &upstream.server,
                Signal::EventGap(gap),
            );
        }
    }

    /// Returns the time in which the next event has to arrive before the server counts as
    /// unresponsive, or `None` if the stream can't be resumed at another server.
    fn silence_timeout(&self) -> Option<Duration> {
        let route = &self.job.route.config;
        if !route.resumable || self.progress.attempts >= route.attempts {
            return None;
        }
        if self.relayed == 0 {
            return Some(route.target_latency * UNRESPONSIVE_TARGETS);
        }
        Some(route.event_gap.unwrap_or(DEFAULT_EVENT_GAP) * UNRESPONSIVE_GAPS)
    }

    /// Records the failure of the current server and closes the connection to it, which also
    /// cancels the request there.
    fn abandon_server(&mut self, cause: Retry) {
        if let Some(upstream) = self.upstream.take() {
            self.forwarder.record_evidence(
                &self.job,
                &self.progress,
                &upstream.server,
                Signal::Broken,
            );
            self.forwarder.record_failure(&self.job, &upstream.server, cause.as_str());
            self.progress.tried.push(upstream.server.id.clone());
        }
        self.gap_measurement = None;
        self.splitter.discard_partial_event();
        self.progress.retry_reason = Some(cause);
    }

    /// Resumes the stream at another server after the last complete event, and returns whether that
    /// succeeded.
    async fn resume(&mut self) -> bool {
        if !self.job.route.config.resumable {
            return false;
        }
        loop {
            let Ok(server) = self.forwarder.next_server(&self.job, &mut self.progress) else {
                return false;
            };
            let (job, after) = (self.job.clone(), self.splitter.last_id());
            let attempt = self.forwarder.attempt(&job, &server, &mut self.progress, after);
            let outcome = match timeout_at(job.deadline().into(), attempt).await {
                Ok(outcome) => outcome,
                Err(_elapsed) => return false,
            };
            self.progress.record_outcome(&server.id, &outcome);
            match outcome {
                Outcome::Success(success) => match success.body {
                    Body::Streaming(upstream) => {
                        self.upstream = Some(upstream);
                        self.silent_since = Instant::now();
                        return true;
                    }
                    Body::Complete(_) => return false,
                },
                Outcome::KeyUnconfirmed => return false,
                Outcome::Refused | Outcome::Unsent | Outcome::Failed(_) | Outcome::Unknown(_) => {}
            }
        }
    }
}
