//! Passes a stream of events on as it arrives, and goes on at another server when one breaks off.

use {
    super::{
        Course, Forwarder, Job,
        attempt::{Body, Outcome, Source},
    },
    crate::{
        events::Splitter,
        filter::{self, CutOff},
        rollout::evidence::Signal,
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
const DEFAULT_GAP: Duration = Duration::from_secs(2);
/// Pauses, in multiples of the longest one that is on time, after which a server counts as mute.
const MUTE_GAPS: u32 = 2;
/// Whole servers' pauses that the first event may take before the server counts as mute.
const MUTE_FIRST: u32 = 2;

/// Events after which the pace of a server's events is known.
const PACE_EVENTS: u32 = 8;

/// A stream on its way to the caller.
pub struct Relay {
    forwarder: Arc<Forwarder>,
    job: Arc<Job>,
    course: Course,
    source: Option<Source>,
    splitter: Splitter,
    passed: usize,
    /// When the first event of the present server came, and how many have come since.
    paced: Option<(Instant, u32)>,
    /// When the last events came, from any server.
    heard: Instant,
}

/// What a source gave.
enum Step {
    /// Events for the caller.
    Events(Bytes),
    /// Part of an event.
    Part,
    /// The stream has ended.
    End,
    /// The stream broke off.
    Broken(Retry),
}

impl Relay {
    /// Creates the relay of a stream whose head has arrived.
    pub fn new(forwarder: Arc<Forwarder>, job: Arc<Job>, course: Course, source: Source) -> Self {
        let splitter = Splitter::new(job.resume_after());
        Self {
            forwarder,
            job,
            course,
            source: Some(source),
            splitter,
            passed: 0,
            paced: None,
            heard: Instant::now(),
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

    async fn next(&mut self) -> Option<Result<Bytes, CutOff>> {
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.note_pause();
                    self.passed += 1;
                    self.pace();
                    return Some(Ok(bytes));
                }
                Step::Part => {}
                Step::End => {
                    if let Some(source) = self.source.take() {
                        source.finish(&self.forwarder);
                    }
                    return None;
                }
                Step::Broken(cause) => {
                    self.leave(cause);
                    if !self.resume().await {
                        return Some(Err(CutOff));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let patience = self.patience();
        let Some(source) = &mut self.source else { return Step::Broken(Retry::CutAnswer) };
        let frame = match patience {
            Some(patience) => match tokio::time::timeout(patience, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_elapsed) => return Step::Broken(Retry::ServerTimeout),
            },
            None => source.body.frame().await,
        };
        match frame {
            None if self.splitter.is_inside() => Step::Broken(Retry::CutAnswer),
            None => Step::End,
            Some(Err(_)) => Step::Broken(Retry::CutAnswer),
            Some(Ok(frame)) => match frame.into_data() {
                Err(_trailers) => Step::Part,
                Ok(bytes) => match self.splitter.push(&bytes) {
                    Ok(whole) if whole.count == 0 => Step::Part,
                    Ok(whole) => Step::Events(whole.bytes),
                    Err(_fault) => Step::Broken(Retry::CutAnswer),
                },
            },
        }
    }

    /// Leaves a line for a pause between events that is longer than the route allows.
    fn note_pause(&mut self) {
        let pause = std::mem::replace(&mut self.heard, Instant::now()).elapsed();
        let Some(allowed) = self.job.route.route.event_gap else { return };
        let Some(source) = self.source.as_ref().filter(|_| self.passed > 0 && pause > allowed)
        else {
            return;
        };
        log::info!(
            "paused too long; id={} route={} server={} version={} pause_ms={} events={} attempts={} \
             retry={}",
            self.job.id,
            self.job.route.id,
            source.server.id,
            source.server.version,
            pause.as_millis(),
            self.passed,
            self.course.attempts,
            self.course.cause.map_or("none", Retry::as_str),
        );
    }

    /// Takes note of the pace of the events, once for each server.
    fn pace(&mut self) {
        let (since, count) = self.paced.get_or_insert_with(|| (Instant::now(), 0));
        *count += 1;
        if *count != PACE_EVENTS {
            return;
        }
        let gap = since.elapsed() / (PACE_EVENTS - 1);
        if let Some(source) = &self.source {
            self.forwarder.sign(&self.job, &self.course, &source.server, Signal::EventGap(gap));
        }
    }

    /// Returns how long the next event may take before the server counts as mute, while the stream
    /// can be resumed elsewhere.
    fn patience(&self) -> Option<Duration> {
        let route = &self.job.route.route;
        if !route.resumable || self.course.attempts >= route.attempts {
            return None;
        }
        if self.passed == 0 {
            return Some(route.target_latency * MUTE_FIRST);
        }
        Some(route.event_gap.unwrap_or(DEFAULT_GAP) * MUTE_GAPS)
    }

    /// Closes the connection to the present server, which also ends the run there.
    fn leave(&mut self, cause: Retry) {
        if let Some(source) = self.source.take() {
            self.forwarder.sign(&self.job, &self.course, &source.server, Signal::Broken);
            self.forwarder.note_failure(&self.job, &source.server, cause.as_str());
            self.course.tried.push(source.server.id.clone());
        }
        self.paced = None;
        self.splitter.cut();
        self.course.cause = Some(cause);
    }

    /// Goes on at another server after the last whole event.
    async fn resume(&mut self) -> bool {
        if !self.job.route.route.resumable {
            return false;
        }
        loop {
            let Ok(server) = self.forwarder.next_server(&self.job, &mut self.course) else {
                return false;
            };
            let (job, after) = (self.job.clone(), self.splitter.last());
            let attempt = self.forwarder.attempt(&job, &server, &mut self.course, after);
            let outcome = match tokio::time::timeout_at(job.bound().into(), attempt).await {
                Ok(outcome) => outcome,
                Err(_elapsed) => return false,
            };
            self.course.settle(&server.id, &outcome);
            match outcome {
                Outcome::Opened(opened) => match opened.body {
                    Body::Open(source) => {
                        self.source = Some(source);
                        return true;
                    }
                    Body::Whole(_) => return false,
                },
                Outcome::Unconfirmed => return false,
                Outcome::Refused | Outcome::Unsent | Outcome::Failed(_) | Outcome::Unknown(_) => {}
            }
        }
    }
}
