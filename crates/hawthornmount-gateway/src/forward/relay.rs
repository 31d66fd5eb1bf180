//! Passes a stream of events on as it arrives, and goes on at another server when one breaks off.

use {
    super::{
        Forwarder, Job, Progress,
        attempt::{Body, Outcome, Upstream},
    },
    crate::{
        filter::{self, Truncated},
        rollout::evidence::Sign,
        sse::Splitter,
    },
    bytes::Bytes,
    futures::stream,
    hawthornmount_core::reason::Retry,
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest pause between two events if the route names none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(2);
/// Pauses, in multiples of the longest one that is on time, after which a server counts as mute.
const SILENCE_GAPS: u32 = 2;
/// Whole servers' pauses that the first event may take before the server counts as mute.
const FIRST_EVENT_TARGETS: u32 = 2;

/// Events after which the pace of a server's events is known.
const PACE_EVENTS: u32 = 8;

/// A stream on its way to the caller.
pub struct Relay {
    forwarder: Arc<Forwarder>,
    job: Arc<Job>,
    progress: Progress,
    upstream: Option<Upstream>,
    splitter: Splitter,
    passed: usize,
    /// When the first event of the present server came, and how many have come since.
    pace_start: Option<(Instant, u32)>,
    /// When the last events came, from any server.
    last_event: Instant,
}

/// What a source gave.
enum Step {
    /// Events for the caller.
    Events(Bytes),
    /// Part of an event.
    Incomplete,
    /// The stream has ended.
    End,
    /// The stream broke off.
    Broken(Retry),
}

impl Relay {
    /// Creates the relay of a stream whose head has arrived.
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
            passed: 0,
            pace_start: None,
            last_event: Instant::now(),
        }
    }

    /// Returns the body that the caller gets.
    pub fn into_body(self) -> filter::Body {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(cut)) => Some((Err(cut), None)),
                None => None,
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.log_long_pause();
                    self.passed += 1;
                    self.record_pace();
                    return Some(Ok(bytes));
                }
                Step::Incomplete => {}
                Step::End => {
                    if let Some(upstream) = self.upstream.take() {
                        upstream.finish(&self.forwarder);
                    }
                    return None;
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

    async fn step(&mut self) -> Step {
        let timeout = self.silence_timeout();
        let Some(upstream) = &mut self.upstream else { return Step::Broken(Retry::CutAnswer) };
        let frame = match timeout {
            Some(timeout) => match tokio::time::timeout(timeout, upstream.body.frame()).await {
                Ok(frame) => frame,
                Err(_elapsed) => return Step::Broken(Retry::ServerTimeout),
            },
            None => upstream.body.frame().await,
        };
        match frame {
            None if self.splitter.has_partial_event() => Step::Broken(Retry::CutAnswer),
            None => Step::End,
            Some(Err(_)) => Step::Broken(Retry::CutAnswer),
            Some(Ok(frame)) => match frame.into_data() {
                Err(_trailers) => Step::Incomplete,
                Ok(bytes) => match self.splitter.push(&bytes) {
                    Ok(events) if events.count == 0 => Step::Incomplete,
                    Ok(events) => Step::Events(events.bytes),
                    Err(_fault) => Step::Broken(Retry::CutAnswer),
                },
            },
        }
    }

    /// Leaves a line for a pause between events that is longer than the route allows.
    fn log_long_pause(&mut self) {
        let pause = std::mem::replace(&mut self.last_event, Instant::now()).elapsed();
        let Some(allowed) = self.job.route.config.event_gap else { return };
        let Some(upstream) = self.upstream.as_ref().filter(|_| self.passed > 0 && pause > allowed)
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
            pause.as_millis(),
            self.passed,
            self.progress.attempts,
            self.progress.retry_reason.map_or("none", Retry::as_str),
        );
    }

    /// Takes note of the pace of the events, once for each server.
    fn record_pace(&mut self) {
        let (since, count) = self.pace_start.get_or_insert_with(|| (Instant::now(), 0));
        *count += 1;
        if *count != PACE_EVENTS {
            return;
        }
        let gap = since.elapsed() / (PACE_EVENTS - 1);
        if let Some(upstream) = &self.upstream {
            self.forwarder.record_evidence(
                &self.job,
                &self.progress,
                &upstream.server,
                Sign::Paced(gap),
            );
        }
    }

    /// Returns how long the next event may take before the server counts as mute, while the stream
    /// can be resumed elsewhere.
    fn silence_timeout(&self) -> Option<Duration> {
        let route = &self.job.route.config;
        if !route.resumable || self.progress.attempts >= route.attempts {
            return None;
        }
        if self.passed == 0 {
            return Some(route.target_latency * FIRST_EVENT_TARGETS);
        }
        Some(route.event_gap.unwrap_or(DEFAULT_EVENT_GAP) * SILENCE_GAPS)
    }

    /// Closes the connection to the present server, which also ends the run there.
    fn abandon_server(&mut self, cause: Retry) {
        if let Some(upstream) = self.upstream.take() {
            self.forwarder.record_evidence(
                &self.job,
                &self.progress,
                &upstream.server,
                Sign::Broken,
            );
            self.forwarder.record_failure(&self.job, &upstream.server, cause.as_str());
            self.progress.tried.push(upstream.server.id.clone());
        }
        self.pace_start = None;
        self.splitter.discard_partial_event();
        self.progress.retry_reason = Some(cause);
    }

    /// Goes on at another server after the last whole event.
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
            let outcome = match tokio::time::timeout_at(job.deadline().into(), attempt).await {
                Ok(outcome) => outcome,
                Err(_elapsed) => return false,
            };
            self.progress.record_outcome(&server.id, &outcome);
            match outcome {
                Outcome::Success(success) => match success.body {
                    Body::Streaming(upstream) => {
                        self.upstream = Some(upstream);
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
