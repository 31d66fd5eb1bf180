//! Resumption of an interrupted stream at another server.

use {
    super::{
        Forwarder, Job,
        handover::{Event, Handover, RECHECK_INTERVAL},
        race::Begun,
        relay::{CLOSE_DELAY, Relay, Step, read},
        upstream::Body,
    },
    bytes::Bytes,
    hawthornmount_core::reason::{Refusal, Retry},
    http::{HeaderValue, header},
    std::time::Instant,
    tokio::time::{sleep, sleep_until, timeout_at},
};

/// Result of the attempt to move a stream to another server.
pub(super) enum Resumption {
    /// There is more to read, from the same server or from another one.
    Continued,
    /// The silent server has gone on with these events.
    Events(Bytes),
    /// The silent server has ended the stream.
    Ended,
    /// No other server takes the stream.
    Failed(Refusal),
}

/// Returns the media type of a content type, without its parameters.
fn media_type(content_type: &HeaderValue) -> &[u8] {
    let text = content_type.as_bytes();
    text.split(|byte| *byte == b';').next().unwrap_or(text).trim_ascii()
}

impl Relay {
    /// Resumes the stream at another server after the last complete event. A silent server is read
    /// meanwhile, and given up once another one has had time to refuse.
    pub(super) async fn resume(&mut self, cause: Retry) -> Resumption {
        if !self.job.route.config.resumable {
            return Resumption::Failed(Refusal::ServerFailed);
        }
        self.cause = cause;
        self.progress.retry_reason = Some(cause);
        self.progress.replacement = None;
        let (forwarder, job) = (self.forwarder.clone(), self.job.clone());
        let mut handover = Handover::default();
        let raced = self.race_replacements(&forwarder, &job, &mut handover);
        let result = timeout_at(job.deadline().into(), raced).await;
        forwarder.end_attempts(&job, &mut self.progress, &mut handover);
        self.progress.retry_reason = Some(cause);
        result.unwrap_or(Resumption::Failed(Refusal::Deadline))
    }

    /// Tries servers until one takes the stream or the silent one goes on. A stream that was given up
    /// although its server was only silent waits for a server until the deadline.
    async fn race_replacements<'a>(
        &mut self,
        forwarder: &'a Forwarder,
        job: &'a Job,
        handover: &mut Handover<'a>,
    ) -> Resumption {
        let after = self.splitter.last_id();
        loop {
            forwarder.settle_path(&self.job, self.progress.retry_reason).await;
            if let Err(problem) = forwarder.start_attempt(job, &mut self.progress, handover, after)
            {
                if !forwarder.can_wait(job, &self.progress) {
                    return Resumption::Failed(problem.reason);
                }
                sleep(RECHECK_INTERVAL).await;
                continue;
            }
            let event = match self.next_event(handover).await {
                Ok(event) => event,
                Err(resumption) => return resumption,
            };
            match forwarder.settle(job, &mut self.progress, handover, event) {
                Ok(None) => {}
                Ok(Some(begun)) if self.is_continued_by(&begun) => return self.continue_at(begun),
                Ok(Some(begun)) => self.reject(&begun),
                Err(problem) => return Resumption::Failed(problem.reason),
            }
        }
    }

    /// Waits until something happens to an attempt, and reads the silent server meanwhile.
    ///
    /// # Errors
    ///
    /// Returns how the stream goes on if the silent server has gone on or ended it.
    async fn next_event(&mut self, handover: &mut Handover<'_>) -> Result<Event, Resumption> {
        loop {
            let Some(upstream) = &mut self.upstream else { return Ok(handover.next().await) };
            let now = Instant::now();
            let Some(end) = handover.end(now) else {
                self.give_up();
                continue;
            };
            tokio::select! {
                event = handover.next() => return Ok(event),
                step = read(&self.job, upstream, &mut self.splitter) => match step {
                    Step::Incomplete => {}
                    Step::Events(bytes) => return Err(Resumption::Events(bytes)),
                    Step::End => return Err(Resumption::Ended),
                    Step::Broken(_) | Step::Silent | Step::Expired => {
                        self.exclude_server();
                        self.give_up();
                    }
                },
                () = sleep_until(end.into()) => {}
            }
        }
    }

    /// Returns whether an answer has the media type of the stream that has begun, as far as that is known.
    fn is_continued_by(&self, begun: &Begun) -> bool {
        let other = begun.success.headers.get(header::CONTENT_TYPE).map(media_type);
        let own = self.content_type.as_ref().map(media_type);
        own.is_none_or(|own| other.is_some_and(|other| own.eq_ignore_ascii_case(other)))
    }

    /// Records that a server has answered with something else than the rest of the stream.
    fn reject(&mut self, begun: &Begun) {
        let (server, cause) = (&begun.attempt.server, Retry::CutAnswer);
        self.forwarder.record_failure(&self.job, server, "not the rest of the stream");
        self.progress.failed.push(server.id.clone());
        self.progress.retry_reason = Some(cause);
    }

    /// Continues the stream at another server.
    fn continue_at(&mut self, begun: Begun) -> Resumption {
        let Body::Streaming(mut upstream) = begun.success.body else {
            return Resumption::Failed(Refusal::Internal);
        };
        upstream.close_at(self.job.deadline() + CLOSE_DELAY);
        self.give_up();
        self.progress.begin(&begun.attempt);
        self.attempt = begun.attempt;
        self.upstream = Some(*upstream);
        self.silent_since = Instant::now();
        Resumption::Continued
    }
}
