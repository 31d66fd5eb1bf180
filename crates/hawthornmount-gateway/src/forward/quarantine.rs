//! Observations of answers that break off because a server ends, and rejection of requests that end
//! servers or have parts in their prompts that do.

use {
    super::{Forwarder, Job, attempt::Attempt},
    crate::{
        load::Tracker,
        message::PartId,
        path,
        quarantine::{
            detector::{CHECKS, Check, Detector, Finding},
            evidence::{End, Suspect},
            start::Start,
        },
        registry::Server,
        view::Cell,
    },
    hawthornmount_core::{config::Kind, problem::Problem, reason::Refusal},
    hawthornmount_http::connection,
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which an address answers a new connection: a round trip between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of servers that are observed at a time after they closed connections.
pub(super) const MAX_OBSERVED: usize = 64;

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
        self.record_end(job, server, Parts { begun: parts, waiting: Vec::new() }, false);
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
        let parts = Parts { begun: Vec::new(), waiting: job.shared_parts().collect() };
        self.record_end(job, server, parts, is_stream);
    }

    /// Records that a server ended under parts of a request whose answer had begun, and under the rest once
    /// the server is known to have ended: a sound server may close a connection too.
    fn record_end(&self, job: &Job, server: &Server, parts: Parts, may_have_waited: bool) {
        // A brittle server may have fallen over under its load.
        let is_brittle = self.limits.is_brittle(&server.service);
        let parts = if is_brittle { Parts::default() } else { parts };
        let (digest, waiting) = if may_have_waited || is_brittle {
            (None, Some(job.digest))
        } else {
            (Some(job.digest), None)
        };
        let mut end = End {
            server: server.id.clone(),
            start_ms: server.start_ms,
            request: job.id.clone(),
            parts: parts.begun,
            waiting_parts: parts.waiting,
            digest,
            waiting,
            is_confirmed: false,
        };
        self.quarantine.record_end(end.clone());
        end.is_confirmed = true;
        // What can't be observed for longer gets the first check.
        let permit = self.observations.clone().try_acquire_owned().ok();
        let checks = if permit.is_some() { &CHECKS[..] } else { &CHECKS[..1] };
        let observation = Observation {
            server: server.clone(),
            closed_at: Instant::now(),
            cell: self.cell.clone(),
            loads: self.loads.clone(),
            path: self.path.clone(),
        };
        let (quarantine, route, digest) =
            (self.quarantine.clone(), job.route.id.clone(), job.digest);
        tokio::spawn(async move {
            let _permit = permit;
            let Some(finding) = observation.await_end(checks).await else { return };
            log::info!(
                "server ended under a request; id={} route={route} server={} digest={digest:016x} \
                 after_ms={} address={:?} has_restarted={}",
                end.request,
                end.server,
                observation.closed_at.elapsed().as_millis(),
                finding.reach,
                finding.has_restarted
            );
            quarantine.record_end(end);
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

/// Shared parts of the prompt of a request whose server closed its connection.
#[derive(Default)]
struct Parts {
    /// Those of a request whose answer had begun.
    begun: Vec<PartId>,
    /// Those of a request that may only have waited.
    waiting: Vec<PartId>,
}

/// A server that has closed a connection without a whole answer, and what tells whether it has ended.
struct Observation {
    server: Server,
    closed_at: Instant,
    cell: Arc<Cell>,
    loads: Arc<Mutex<Tracker>>,
    path: Arc<path::monitor::Monitor>,
}

impl Observation {
    /// Checks the server for a while, and returns what shows that it has ended.
    async fn await_end(&self, checks: &[Check]) -> Option<Finding> {
        let (address, service) = (self.server.address, &self.server.service);
        let mut detector = Detector::default();
        for check in checks {
            tokio::time::sleep_until((self.closed_at + check.time).into()).await;
            let reach = if detector.probes(*check) {
                Some(connection::probe(address, PROBE_TIMEOUT).await)
            } else {
                None
            };
            let finding = Finding {
                reach,
                has_restarted: self.cell.load().has_later_start(&self.server),
                is_at_work: self.loads.lock().stats(&self.server.id).in_flight > 0,
            };
            if !detector.record(*check, finding) {
                continue;
            }
            // Without any path, an address that can't be reached says nothing about the server.
            self.path.settle(service).await;
            let is_known = finding.has_restarted || !self.path.is_cut_off(service);
            return is_known.then_some(finding);
        }
        None
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
