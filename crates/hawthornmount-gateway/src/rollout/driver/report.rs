//! Reports on a roll-out: those of this instance, of the instances that follow it and of other data
//! centres.

use {
    super::{
        Driver, Part, REPORT_PREFIX, decode,
        row::{Delivered, LastReport, Reported, Row},
    },
    crate::{
        registry::Server,
        relay::PeerReport,
        rollout::{
            Phase,
            evidence::{FailureComparison, Report},
            latency::{self, LatencyComparison},
            plan,
            slowness::SlowComparison,
            waits::LateComparison,
        },
        time,
    },
    hawthornmount_core::id::{ServiceId, VersionId},
    hawthornmount_store::{Entry, Txn},
    rand::RngExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of new latencies of the rolled-out version after which a report is written again, if the
/// version is slow or a routine report is due.
const MIN_NEW_LATENCIES: u32 = 2;
/// Number of latencies of the rolled-out version from which an instance writes its first report in
/// any case.
const FIRST_REPORT_LATENCIES: u32 = 3;
/// Smallest shift of the mean logarithm of an instance's own latencies at which it reports them to
/// the others early.
const MIN_REPORTED_SHIFT: f64 = 0.3;
/// Minimum interval between two reports of an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum interval between two reports of an instance to the one that it follows, while the version
/// gets a share of the sessions. In a large fleet each instance sees few responses of the version,
/// which count only together. It is also the minimum interval between two reports of a reader that know
/// of more bad responses, while the version gets most sessions.
const EXPOSED_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time in the full phase in which all responses of the version are reported: a version that was not tested
/// before is judged by them.
const FULL_REPORT_TIME: Duration = Duration::from_secs(4);
/// Interval at which an instance repeats its report that requests still run on the old version.
const RUNS_OLD_REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time in the full phase after which an instance reports that requests still run on the old
/// version.
const RUNS_OLD_REPORT_DELAY: Duration = Duration::from_millis(1_500);
/// Age after which a report no longer shows that requests run on the old version.
pub(super) const RUNS_OLD_REPORT_LIFETIME: Duration = Duration::from_secs(6);
/// Maximum number of reports that are deleted in one write; the store accepts 32 entries per write.
pub(super) const MAX_DELETED_REPORTS: usize = 28;

impl Driver {
    /// Takes the report of an instance that follows this one. Reports only grow, so a smaller one
    /// arrived late.
    pub fn deliver(&mut self, report: PeerReport, now: Instant) {
        let row = self.row(&report.service);
        let delivered = Delivered { report, received_at: now };
        let key = |delivered: &Delivered| delivered.report.reporter.clone();
        match row.delivered.binary_search_by_key(&key(&delivered), key) {
            Ok(at) => {
                let count = |delivered: &Delivered| delivered.report.report.response_count();
                if count(&delivered) >= count(&row.delivered[at]) {
                    row.delivered[at] = delivered;
                }
            }
            Err(at) => row.delivered.insert(at, delivered),
        }
    }

    /// Records that a report was not delivered, so that it is due again.
    pub fn report_lost(&mut self, service: &ServiceId) {
        self.row(service).last_report = None;
    }

    /// Returns the writes that delete reports left over from finished roll-outs. On average, one of
    /// the `readers` instances that read the store does so at a time.
    pub fn leftover_deletions(&self, readers: usize) -> Vec<Txn> {
        let is_leftover =
            |row: &&Row| row.phase().is_some_and(Phase::is_over) && !row.reports.is_empty();
        let is_chosen = |_: &&Row| rand::rng().random::<f64>() * (readers as f64) < 1.0;
        let deletion = |row: &Row| {
            let reports = row.reports.iter().take(MAX_DELETED_REPORTS);
            reports.fold(Txn::new(), |txn, reported| txn.delete(&reported.key))
        };
        self.rows.iter().filter(is_leftover).filter(is_chosen).map(deletion).collect()
    }

    /// Returns the report on the evidence that this instance has collected.
    pub(super) fn own_report(
        &self,
        service: &ServiceId,
        version: &VersionId,
        now: Instant,
    ) -> Report {
        let mut collector = self.sources.collector.lock();
        Report {
            version: Some(version.clone()),
            failures: collector.failures(service, version),
            latencies: collector.latencies(service, version),
            late: collector.waits.compare(service, version, now),
            slow: collector.slow(service, version),
            runs_old: false,
            reporters: vec![self.reporter.clone()],
        }
    }

    /// Returns the report on the evidence of this instance and of those that follow it.
    pub(super) fn merged_report(&self, row: &Row, version: &VersionId, now: Instant) -> Report {
        let is_same_version = |report: &&Report| report.version.as_ref() == Some(version);
        let delivered = row.delivered.iter().map(|delivered| &delivered.report.report);
        let own = self.own_report(&row.service, version, now);
        delivered.filter(is_same_version).fold(own, Report::merge)
    }

    pub(super) fn report_key(&self, service: &ServiceId) -> String {
        format!("{REPORT_PREFIX}{service}/{}", self.reporter)
    }

    /// Returns the report of this instance, and of its followers if it reads the store, if it is
    /// due.
    pub(super) fn report(
        &mut self,
        at: usize,
        part: Part,
        servers: &[Arc<Server>],
        now: Instant,
    ) -> Option<Report> {
        let row = &self.rows[at];
        let version = row.ordered.as_ref()?.order.version.clone();
        let phase = row.phase().filter(|phase| !phase.is_over())?;
        let since = row.recorded.as_ref().map(|recorded| now - recorded.received_at)?;
        let is_recent = |at: Instant| now < at + RUNS_OLD_REPORT_LIFETIME;
        let own_runs_old = phase == Phase::Full
            && since >= RUNS_OLD_REPORT_DELAY
            && self.is_old_version_running(&row.service, &version, servers);
        let (mut report, runs_old, reporters) = match part {
            Part::Reader { readers } => (
                self.merged_report(row, &version, now),
                own_runs_old || row.followers_run_old(is_recent),
                readers,
            ),
            Part::Follower => (self.own_report(&row.service, &version, now), own_runs_old, 1),
        };
        report.runs_old = runs_old;
        let last = row.last_report.as_ref().filter(|last| last.part.is_same_kind(part));
        let is_judged = phase == Phase::Full && since < FULL_REPORT_TIME;
        let is_followed = part == Part::Follower
            && (matches!(phase, Phase::Probe | Phase::Widening) || is_judged);
        let is_due = match last {
            last if is_followed => {
                let counts = |report: &Report| (report.comparison_count(), report.new_count());
                let has_more = counts(&report) > last.map_or((0, 0), |last| counts(&last.report));
                let is_urgent = has_more
                    || report.failure_count() > last.map_or(0, |last| last.report.failure_count());
                is_urgent && last.is_none_or(|last| now >= last.at + EXPOSED_REPORT_INTERVAL)
            }
            None => {
                is_report_urgent(&report, &Report::default())
                    || runs_old
                    || report.latency_count() >= FIRST_REPORT_LATENCIES
            }
            Some(LastReport { report: last, at, .. }) => {
                let has_more_latencies =
                    report.latency_count() >= last.latency_count() + MIN_NEW_LATENCIES;
                let interval = plan::routine_report_interval(reporters);
                let is_routine = has_more_latencies && now >= *at + interval;
                let is_new = is_judged && report.new_count() > last.new_count();
                let is_due_for_content = is_report_urgent(&report, last) || is_routine || is_new;
                let has_changed = is_due_for_content || runs_old != last.runs_old;
                let is_worse = report.failure_count() > last.failure_count()
                    && matches!(phase, Phase::Widening | Phase::Full);
                (has_changed && now >= *at + REPORT_INTERVAL)
                    || (is_worse && now >= *at + EXPOSED_REPORT_INTERVAL)
                    || (runs_old && now >= *at + RUNS_OLD_REPORT_INTERVAL)
            }
        };
        if !is_due {
            return None;
        }
        self.rows[at].last_report = Some(LastReport { report: report.clone(), part, at: now });
        Some(report)
    }

    pub(super) fn put_report(&mut self, rest: &str, entry: &Entry) {
        let Some((service, _instance)) = rest.rsplit_once('/') else { return };
        let Some(report) = decode::<Report>(entry) else { return };
        let reported = Reported { key: entry.key.clone(), report, received_at: time::now() };
        let row = self.row(&service.into());
        match row.reports.binary_search_by(|known| known.key.cmp(&entry.key)) {
            Ok(at) => row.reports[at] = reported,
            Err(at) => row.reports.insert(at, reported),
        }
    }
}

impl Part {
    const fn is_same_kind(self, other: Self) -> bool {
        matches!(
            (self, other),
            (Self::Reader { .. }, Self::Reader { .. }) | (Self::Follower, Self::Follower)
        )
    }
}

/// Returns whether a report has to be written soon because it contains more evidence against the
/// new version than `last`: at least one more failure, or more latencies while they are longer than
/// those of the other versions.
fn is_report_urgent(report: &Report, last: &Report) -> bool {
    if report.failure_count() > last.failure_count() {
        return true;
    }
    let has_more_latencies = report.latency_count() >= last.latency_count() + MIN_NEW_LATENCIES;
    has_more_latencies && latency::mean_shift(report.latencies.iter()).mean >= MIN_REPORTED_SHIFT
}

/// Formats the evidence of reports for the log.
pub(super) fn describe_evidence(reports: &[&Report]) -> String {
    let latencies = reports.iter().flat_map(|report| &report.latencies);
    let compared = latencies.filter(|latency| latency.new.count > 0 && latency.old.count > 0);
    let failures = reports.iter().flat_map(|report| &report.failures);
    let late = reports.iter().flat_map(|report| &report.late);
    let slow = reports.iter().flat_map(|report| &report.slow);
    let slow = slow.map(|SlowComparison { scope, new, old }| {
        format!("slow/{scope}:new={}/{},old={}/{}", new.bad, new.all, old.bad, old.all)
    });
    let parts: Vec<String> = failures
        .map(FailureComparison::to_string)
        .chain(compared.map(LatencyComparison::to_string))
        .chain(late.map(LateComparison::to_string))
        .chain(slow)
        .collect();
    parts.join(" ")
}
