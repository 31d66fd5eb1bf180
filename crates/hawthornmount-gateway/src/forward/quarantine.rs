//! Observations of answers that break off right after their start, and rejection of requests with
//! parts that end servers.

use {
    super::{Forwarder, Job, Progress},
    crate::{
        message::PartId,
        quarantine::{MAX_ENDS_PER_REQUEST, evidence::End, start::Start},
        registry::Server,
    },
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::time::{Duration, Instant},
};

/// Delay after which a caller can retry a request whose parts are suspect.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Forwarder {
    /// Checks that no part of a request is in quarantine, and that a request which has ended servers
    /// is not sent to another one while its parts are suspect.
    pub(super) fn check_quarantine(&self, job: &Job, progress: &Progress) -> Result<(), Problem> {
        if let Some((part, time_left)) = self.quarantine.find(job.shared_parts()) {
            let detail = format!("part {part:x} of the prompt ends servers: come back");
            return Err(Problem::new(Refusal::Quarantined, detail).retry_after(time_left));
        }
        if progress.ended_servers >= MAX_ENDS_PER_REQUEST
            && self.quarantine.is_suspect(&job.shared_parts().collect::<Vec<_>>())
        {
            log::info!(
                "not sent to another server, servers ended under it; id={} ended={}",
                job.id,
                progress.ended_servers
            );
            let detail = "servers ended under the request: come back";
            let problem = Problem::new(Refusal::Quarantined, detail);
            return Err(problem.retry_after(SUSPECT_RETRY_AFTER));
        }
        Ok(())
    }

    /// Records that the connection of an answer broke, and returns whether that was right after its
    /// start.
    pub(super) fn record_break(&self, job: &Job, server: &Server, start: &Start) -> bool {
        let now = Instant::now();
        if !start.is_early(now) {
            return false;
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
        self.quarantine.record_end(End {
            server: server.id.clone(),
            start_ms: server.start_ms,
            request: job.id.clone(),
            parts,
        });
        true
    }

    /// Records that the answer to a request went on for a while or was complete.
    pub(super) fn record_proof(&self, job: &Job) {
        let parts: Vec<PartId> = job.shared_parts().collect();
        if !parts.is_empty() {
            self.quarantine.record_proof(&parts);
        }
    }
}

impl Job {
    /// Returns the ids of the parts of the prompt that other requests can share: all except the last
    /// one.
    fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self.request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }
}

/// Returns the ids of parts in the format of log lines.
fn format_parts(parts: &[PartId]) -> String {
    parts.iter().map(|part| format!("{part:x}")).collect::<Vec<_>>().join(",")
}
