//! Observations of answers that break off because a server ends, and rejection of requests that end
//! servers or have parts in their prompts that do.

use {
    super::{Forwarder, Job, attempt::Attempt},
    crate::{
        message::PartId,
        quarantine::{
            evidence::{End, Suspect},
            start::Start,
        },
        registry::Server,
    },
    hawthornmount_core::{config::Kind, problem::Problem, reason::Refusal},
    hawthornmount_http::connection,
    std::time::{Duration, Instant},
};

/// Time in which a server that has ended refuses a connection: a round trip between regions.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a server that ends may take to close its listener after its connections.
const END_TIME: Duration = Duration::from_millis(50);

impl Forwarder {
    /// Checks that neither a request nor a part of it is in quarantine.
    pub(super) fn check_quarantine(&self, job: &Job) -> Result<(), Problem> {
        if let Some((suspect, time_left)) = self.quarantine.find(job.suspects()) {
            let detail = match suspect {
                Suspect::Part(part) => {
                    format!("part {part:x} of the prompt ends servers: come back")
                }
                Suspect::Request(_) => "the request ends servers: come back".to_owned(),
            };
            return Err(Problem::new(Refusal::Quarantined, detail).retry_after(time_left));
        }
        Ok(())
    }

    /// Records that the connection of an answer broke, if that was right after its start.
    pub(super) fn record_break(&self, job: &Job, server: &Server, start: &Start) {
        let now = Instant::now();
        if !start.is_early(now) {
            return;
        }
        let parts: Vec<PartId> = job.shared_parts().collect();
        log::info!(
            "answer broke off at its start; id={} route={} server={} after_ms={} parts={}",
            job.id,
            job.route.id,
            server.id,
            start.age(now).as_millis(),
            format_parts(&parts)
        );
        self.record_end(job, server, parts, false);
    }

    /// Records that a server gave no answer and closed the connection. Streams wait without an answer
    /// until they run, and so may any request at a server that has no room; others may be running.
    pub(super) fn record_unanswered(&self, job: &Job, attempt: &Attempt) {
        let server = &attempt.server;
        let is_stream = job.route.config.kind == Kind::Stream;
        log::info!(
            "connection closed without an answer; id={} route={} server={} digest={:016x} \
             after_ms={} stream={is_stream}",
            job.id,
            job.route.id,
            server.id,
            job.digest,
            attempt.marker.sent_at().map_or(0, |sent_at| sent_at.elapsed().as_millis()),
        );
        self.record_end(job, server, Vec::new(), is_stream);
    }

    /// Records that a server ended under parts of a request, and under the request itself once the
    /// server refuses connections: a sound server may close a connection too.
    fn record_end(&self, job: &Job, server: &Server, parts: Vec<PartId>, may_have_waited: bool) {
        // A brittle server may have fallen over under its load.
        let is_brittle = self.limits.is_brittle(&server.service);
        let parts = if is_brittle { Vec::new() } else { parts };
        let (digest, waiting) = if may_have_waited || is_brittle {
            (None, Some(job.digest))
        } else {
            (Some(job.digest), None)
        };
        let mut end = End {
            server: server.id.clone(),
            start_ms: server.start_ms,
            request: job.id.clone(),
            parts,
            digest,
            waiting,
            is_confirmed: false,
        };
        self.quarantine.record_end(end.clone());
        end.is_confirmed = true;
        let (digest, address) = (job.digest, server.address);
        let (path, service) = (self.path.clone(), server.service.clone());
        let (quarantine, route) = (self.quarantine.clone(), job.route.id.clone());
        tokio::spawn(async move {
            tokio::time::sleep(END_TIME).await;
            let is_refused = connection::is_refused(address, REFUSAL_TIMEOUT).await;
            path.settle(&service).await;
            // Without any path, a refusal says nothing about the server.
            if is_refused && !path.is_cut_off(&service) {
                log::info!(
                    "server ended under a request; id={} route={route} server={} digest={digest:016x}",
                    end.request,
                    end.server
                );
                quarantine.record_end(end);
            }
        });
    }

    /// Records that the answer to a request went on for a while or was complete.
    pub(super) fn record_proof(&self, job: &Job) {
        self.quarantine.record_proof(&job.suspects().collect::<Vec<_>>());
        if job.route.config.kind == Kind::Stream {
            self.quarantine.record_answered(Suspect::Request(job.digest));
        }
    }

    /// Returns whether a request may not be sent again to another server because several have ended under
    /// it.
    pub(super) fn is_suspected(&self, job: &Job) -> bool {
        self.quarantine.is_suspected(Suspect::Request(job.digest))
    }
}

impl Job {
    /// Returns the ids of the parts of the prompt that other requests can share: all except the last
    /// one.
    fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self.request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }

    /// Returns what may be to blame for the end of a server: the request, and parts of its prompt.
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.shared_parts().map(Suspect::Part).chain([Suspect::Request(self.digest)])
    }
}

/// Returns the ids of parts in the format of log lines.
fn format_parts(parts: &[PartId]) -> String {
    parts.iter().map(|part| format!("{part:x}")).collect::<Vec<_>>().join(",")
}
