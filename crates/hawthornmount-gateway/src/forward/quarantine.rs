//! Observations of answers that break off right after their start.

use {
    super::{Forwarder, Job},
    crate::{message::Part, quarantine::start::Start, registry::Server},
    std::time::Instant,
};

impl Forwarder {
    /// Records that the connection of an answer broke.
    pub(super) fn record_break(&self, job: &Job, server: &Server, start: &Start) {
        let now = Instant::now();
        if !start.is_early(now) {
            return;
        }
        log::info!(
            "answer broke off at its start; id={} route={} server={} after_ms={} parts={}",
            job.id,
            job.route.id,
            server.id,
            start.age(now).as_millis(),
            format_parts(job.shared_parts())
        );
    }
}

impl Job {
    /// Returns the parts of the prompt that other requests can share: all except the last one.
    pub(super) fn shared_parts(&self) -> &[Part] {
        self.request.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Returns the ids of parts in the format of log lines.
fn format_parts(parts: &[Part]) -> String {
    parts.iter().map(|part| format!("{:x}", part.id)).collect::<Vec<_>>().join(",")
}
