//! Drives roll-outs: reads orders, records and reports from the store, and writes the next phase.

use {
    super::{
        Phase, Record, Split,
        evidence::{self, Collector, FailureComparison, Report},
        latency::{self, LatencyComparison},
        plan::{self, Conditions},
    },
    crate::{
        load::Tracker,
        membership::Size,
        registry::{Readiness, Server},
        schema::{Codec, Order, Progress, Stage},
        view::Exclusion,
    },
    hawthornmount_core::id::{self, InstanceId, Revision, ServiceId, VersionId},
    hawthornmount_store::{Entry, Store, Txn},
    parking_lot::Mutex,
    rand::RngExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key prefix of the records of roll-outs, which are stored by service.
pub const RECORD_PREFIX: &str = "hawthornmount/rollout/";
/// Key prefix of the reports on roll-outs, which are stored by service and instance.
const REPORT_PREFIX: &str = "hawthornmount/report/";
/// Longest random delay before a phase is written, so that usually one instance writes it and the
/// others see it in time.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(400);
/// Longest random delay before a roll-back is written.
const MAX_ROLLBACK_DELAY: Duration = Duration::from_millis(60);
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
/// Interval at which an instance repeats its report that requests still run on the old version.
const RUNS_OLD_REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time in the full phase after which an instance reports that requests still run on the old
/// version.
const RUNS_OLD_REPORT_DELAY: Duration = Duration::from_millis(1_500);
/// Age after which a report no longer shows that requests run on the old version.
const RUNS_OLD_REPORT_LIFETIME: Duration = Duration::from_secs(6);
/// Maximum number of reports that are deleted in one write; the store accepts 32 entries per write.
const MAX_DELETED_REPORTS: usize = 28;

/// Order of a roll-out as received from the store.
#[derive(Clone, Debug)]
struct Ordered {
    revision: Revision,
    order: Order,
    received_at: Instant,
}

/// Record of a roll-out as received from the store.
#[derive(Clone, Debug)]
struct Recorded {
    revision: Revision,
    record: Record,
    received_at: Instant,
}

/// Report of an instance as received from the store.
#[derive(Clone, Debug)]
struct Reported {
    key: Arc<str>,
    report: Report,
    received_at: Instant,
}

/// State of one service's roll-out.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    ordered: Option<Ordered>,
    recorded: Option<Recorded>,
    reports: Vec<Reported>,
    /// Whether the evidence has shown the version to be bad. Later responses don't revoke this.
    is_bad: bool,
    /// Phase that is to be written, and when.
    due: Option<(Phase, Instant)>,
    /// Report that was written last, and when.
    last_report: Option<(Report, Instant)>,
}

/// Data that the traffic thread collects.
#[derive(Clone)]
pub struct Sources {
    /// Observations by version.
    pub collector: Arc<Mutex<Collector>>,
    /// Load statistics by server.
    pub loads: Arc<Mutex<Tracker>>,
}

/// Drives the roll-outs of all services.
pub struct Driver {
    /// Name under which this instance writes reports, unique to each start: a restarted instance
    /// must not overwrite its earlier observations.
    reporter: Arc<str>,
    schema: Arc<dyn Codec>,
    sources: Sources,
    /// Time after which every instance has seen an order.
    visibility_delay: Duration,
    fleet_size: Size,
    rows: Vec<Row>,
}

impl Driver {
    /// Creates a driver for an instance. `visibility_delay` is the time after which every instance
    /// has seen an order.
    pub fn new(
        instance: &InstanceId,
        schema: Arc<dyn Codec>,
        sources: Sources,
        visibility_delay: Duration,
        fleet_size: Size,
    ) -> Self {
        let reporter = id::generate(instance);
        Self { reporter, schema, sources, visibility_delay, fleet_size, rows: Vec::new() }
    }

    /// Applies an order or its removal, and returns whether the view changes.
    pub fn set_order(
        &mut self,
        service: &ServiceId,
        revision: Revision,
        order: Option<Order>,
    ) -> bool {
        let collector = self.sources.collector.clone();
        let row = self.row(service);
        let known = row.ordered.as_ref().map_or(0, |ordered| ordered.revision);
        if revision <= known {
            return false;
        }
        if let Some(order) = &order {
            log::info!("roll-out ordered; service={service} version={}", order.version);
            collector.lock().forget(service);
        }
        let received_at = Instant::now();
        row.ordered = order.map(|order| Ordered { revision, order, received_at });
        row.due = None;
        row.last_report = None;
        row.is_bad = false;
        true
    }

    /// Applies a changed record or report, and returns whether the view changes.
    pub fn put(&mut self, entry: &Entry) -> bool {
        if let Some(service) = entry.key.strip_prefix(RECORD_PREFIX) {
            return self.put_record(&service.into(), entry);
        }
        if let Some(rest) = entry.key.strip_prefix(REPORT_PREFIX) {
            self.put_report(rest, entry);
        }
        false
    }

    /// Applies the deletion of a report.
    pub fn delete(&mut self, key: &str) {
        for row in &mut self.rows {
            row.reports.retain(|reported| *reported.key != *key);
        }
    }

    /// Applies a complete list of the services that had an order at `revision`, in ascending order.
    /// Orders of other services are removed, unless they are newer than the list.
    pub fn retain_ordered(&mut self, services: &[ServiceId], revision: Revision) {
        let is_gone = |row: &&Row| {
            let is_older = |ordered: &Ordered| ordered.revision <= revision;
            row.ordered.as_ref().is_some_and(is_older)
                && services.binary_search(&row.service).is_err()
        };
        let gone: Vec<ServiceId> =
            self.rows.iter().filter(is_gone).map(|row| row.service.clone()).collect();
        for service in gone {
            self.set_order(&service, revision + 1, None);
        }
    }

    /// Removes reports whose keys no longer exist.
    pub fn retain_reports(&mut self, is_present: impl Fn(&str) -> bool) {
        for row in &mut self.rows {
            row.reports.retain(|reported| is_present(&reported.key));
        }
    }

    /// Returns the traffic splits of the roll-outs that have started.
    pub fn splits(&self) -> Vec<Split> {
        let split = |row: &Row| {
            let version = row.ordered.as_ref()?.order.version.clone();
            let (service, phase) = (row.service.clone(), row.effective_phase()?);
            let canary_share = row.recorded.as_ref()?.record.canary_share;
            Some(Split { service, version, phase, canary_share })
        };
        self.rows.iter().filter_map(split).collect()
    }

    /// Returns the versions that get no requests: a new version before its roll-out has started and
    /// after it was rolled back.
    pub fn excluded_versions(&self) -> Vec<Exclusion> {
        let excluded = |row: &Row| {
            let version = row.ordered.as_ref()?.order.version.clone();
            let is_excluded = row.effective_phase().is_none_or(|phase| phase == Phase::RolledBack);
            is_excluded.then(|| Exclusion { service: row.service.clone(), version })
        };
        self.rows.iter().filter_map(excluded).collect()
    }

    /// Returns whether a roll-out is under way.
    pub fn is_active(&self) -> bool {
        let is_active =
            |row: &Row| row.ordered.is_some() && !row.phase().is_some_and(Phase::is_over);
        self.rows.iter().any(is_active)
    }

    /// Returns whether a new version gets most requests and may still be rolled back.
    pub fn is_widely_exposed(&self) -> bool {
        let is_widely_exposed =
            |row: &Row| matches!(row.phase(), Some(Phase::Widening | Phase::Full));
        self.rows.iter().any(is_widely_exposed)
    }

    /// Deletes reports that are left over from finished roll-outs. On average, one instance of the
    /// fleet does so at a time.
    pub fn delete_leftover_reports(&self, store: &Arc<dyn Store>) {
        let size = self.fleet_size.get().unwrap_or(1) as f64;
        let is_leftover =
            |row: &&Row| row.phase().is_some_and(Phase::is_over) && !row.reports.is_empty();
        for row in self.rows.iter().filter(is_leftover) {
            if rand::rng().random::<f64>() * size < 1.0 {
                let reports = row.reports.iter().take(MAX_DELETED_REPORTS);
                self.commit(
                    store,
                    reports.fold(Txn::new(), |txn, reported| txn.delete(&reported.key)),
                );
            }
        }
    }

    /// Writes phases and reports that are due, and returns whether the view changes.
    pub fn step(&mut self, store: &Arc<dyn Store>, servers: &[Arc<Server>], now: Instant) -> bool {
        let bad_count = |rows: &[Row]| rows.iter().filter(|row| row.is_bad).count();
        let bad_before = bad_count(&self.rows);
        for at in 0..self.rows.len() {
            if let Some(txn) = self.advance(at, servers, now) {
                self.commit(store, txn);
            }
            if let Some(txn) = self.report(at, servers, now) {
                self.commit(store, txn);
            }
        }
        bad_count(&self.rows) != bad_before
    }

    /// Returns the write of the next phase, if it is due.
    fn advance(&mut self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Txn> {
        let conditions = self.conditions(at, servers, now)?;
        let row = &mut self.rows[at];
        row.is_bad = conditions.is_bad;
        let Some(next) = plan::next_phase(row.phase(), &conditions) else {
            row.due = None;
            return None;
        };
        let Some((phase, due)) = row.due else {
            let max_delay =
                if next == Phase::RolledBack { MAX_ROLLBACK_DELAY } else { MAX_WRITE_DELAY };
            row.due = Some((next, now + max_delay.mul_f64(rand::rng().random())));
            return None;
        };
        if phase != next {
            row.due = None;
            return None;
        }
        if now < due {
            return None;
        }
        // If the store does not respond, the same write becomes due again. It is made only if the
        // record has not changed, so it is never applied twice.
        row.due = None;
        self.transition(at, next)
    }

    /// Returns the conditions for the next phase, or `None` if no roll-out of the service is under
    /// way.
    fn conditions(&self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Conditions> {
        let row = &self.rows[at];
        let ordered = row.ordered.as_ref()?;
        if row.phase().is_some_and(Phase::is_over) {
            return None;
        }
        let version = &ordered.order.version;
        let is_new = |server: &&Arc<Server>| {
            server.service == row.service
                && server.version == *version
                && server.readiness == Readiness::Ready
        };
        let (failures, latencies) = self.own_evidence(&row.service, version);
        let own_key = self.report_key(&row.service);
        let others = row.reports.iter().filter(|reported| *reported.key != *own_key);
        let is_recent =
            |reported: &&Reported| now < reported.received_at + RUNS_OLD_REPORT_LIFETIME;
        let runs_old = self.is_old_version_running(&row.service, version, servers)
            || others.clone().filter(is_recent).any(|reported| reported.report.runs_old);
        let is_same_version =
            |reported: &&Reported| reported.report.version.as_ref() == Some(version);
        let reports = others.filter(is_same_version).map(|reported| &reported.report);
        let all_failures =
            failures.iter().chain(reports.clone().flat_map(|report| &report.failures));
        let all_latencies = latencies.iter().chain(reports.flat_map(|report| &report.latencies));
        let mut is_bad = row.is_bad;
        if !is_bad
            && let Some(regression) =
                evidence::detect_regression(all_failures.clone(), all_latencies.clone())
        {
            is_bad = true;
            let evidence = describe_evidence(all_failures, all_latencies);
            let service = &row.service;
            log::warn!(
                "version is bad; service={service} version={version} {regression} {evidence}"
            );
        }
        Some(Conditions {
            since_order: now.saturating_duration_since(ordered.received_at),
            since_phase: row.recorded.as_ref().map_or(Duration::ZERO, |recorded| {
                now.saturating_duration_since(recorded.received_at)
            }),
            duration: ordered.order.duration,
            visibility_delay: self.visibility_delay,
            is_bad,
            is_load_tested: failures.iter().any(evidence::is_load_tested),
            has_servers: servers.iter().any(|server| is_new(&server)),
            is_old_version_idle: !runs_old,
        })
    }

    fn is_old_version_running(
        &self,
        service: &ServiceId,
        version: &VersionId,
        servers: &[Arc<Server>],
    ) -> bool {
        let mut loads = self.sources.loads.lock();
        let old = servers
            .iter()
            .filter(|server| server.service == *service && server.version != *version);
        old.map(|server| loads.stats(&server.id).in_flight).any(|in_flight| in_flight > 0)
    }

    /// Returns the write that moves the roll-out to a phase.
    fn transition(&self, at: usize, phase: Phase) -> Option<Txn> {
        let row = &self.rows[at];
        let ordered = row.ordered.as_ref()?;
        let version = ordered.order.version.clone();
        let canary_share = match &row.recorded {
            Some(recorded) if phase != Phase::Canary => recorded.record.canary_share,
            _ => plan::canary_share(self.fleet_size.get().unwrap_or(1)),
        };
        let order = ordered.revision;
        let record = Record { order, version: version.clone(), phase, canary_share };
        let key = format!("{RECORD_PREFIX}{}", row.service);
        let stage = match phase {
            Phase::Canary | Phase::Widening | Phase::Full => Stage::Running,
            Phase::Completed => Stage::Completed,
            Phase::RolledBack => Stage::RolledBack,
        };
        let mut txn = match &row.recorded {
            Some(recorded) => Txn::new().if_unchanged(&key, recorded.revision),
            None => Txn::new().if_absent(&key),
        };
        txn = txn.put(&key, encode(&record)?);
        if matches!(phase, Phase::Canary) || phase.is_over() {
            let progress = Progress { version, stage };
            let (key, value) = self.schema.encode_progress(&row.service, &progress);
            txn = txn.put(&key, value);
        }
        if phase.is_over() {
            for reported in row.reports.iter().take(MAX_DELETED_REPORTS) {
                txn = txn.delete(&reported.key);
            }
        }
        let (failures, latencies) = self.own_evidence(&row.service, &ordered.order.version);
        let evidence = describe_evidence(failures.iter(), latencies.iter());
        log::info!("roll-out goes on; service={} phase={phase:?} {evidence}", row.service);
        if !phase.is_over() {
            // Instances that start later compare the new version with these earlier observations.
            let version = Some(ordered.order.version.clone());
            let report = Report { version, failures, latencies, runs_old: false };
            txn = txn.put(&self.report_key(&row.service), encode(&report)?);
        }
        Some(txn)
    }

    /// Returns the evidence that this instance has collected.
    fn own_evidence(
        &self,
        service: &ServiceId,
        version: &VersionId,
    ) -> (Vec<FailureComparison>, Vec<LatencyComparison>) {
        let collector = self.sources.collector.lock();
        (collector.failures(service, version), collector.latencies(service, version))
    }

    fn report_key(&self, service: &ServiceId) -> String {
        format!("{REPORT_PREFIX}{service}/{}", self.reporter)
    }

    /// Returns the write of this instance's report, if it is due.
    fn report(&mut self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Txn> {
        let row = &self.rows[at];
        let version = row.ordered.as_ref()?.order.version.clone();
        let phase = row.phase().filter(|phase| !phase.is_over())?;
        let since = row.recorded.as_ref().map(|recorded| now - recorded.received_at)?;
        let (failures, latencies) = self.own_evidence(&row.service, &version);
        let runs_old = phase == Phase::Full
            && since >= RUNS_OLD_REPORT_DELAY
            && self.is_old_version_running(&row.service, &version, servers);
        let report = Report { version: Some(version), failures, latencies, runs_old };
        let is_due = match &row.last_report {
            None => {
                is_report_urgent(&report, &Report::default())
                    || runs_old
                    || report.latency_count() >= FIRST_REPORT_LATENCIES
            }
            Some((last, at)) => {
                let has_more_latencies =
                    report.latency_count() >= last.latency_count() + MIN_NEW_LATENCIES;
                let interval = plan::routine_report_interval(self.fleet_size.get().unwrap_or(1));
                let is_routine = has_more_latencies && now >= *at + interval;
                let is_due_for_content = is_report_urgent(&report, last) || is_routine;
                let has_changed = is_due_for_content || runs_old != last.runs_old;
                (has_changed && now >= *at + REPORT_INTERVAL)
                    || (runs_old && now >= *at + RUNS_OLD_REPORT_INTERVAL)
            }
        };
        if !is_due {
            return None;
        }
        let key = self.report_key(&row.service);
        let txn = Txn::new().put(&key, encode(&report)?);
        self.rows[at].last_report = Some((report, now));
        Some(txn)
    }

    fn commit(&self, store: &Arc<dyn Store>, txn: Txn) {
        let store = store.clone();
        tokio::spawn(async move {
            match store.commit(txn).await {
                Ok(commit) if commit.applied => {}
                Ok(_) => log::debug!("another instance wrote the roll-out first"),
                Err(error) => {
                    log::warn!("the store did not confirm a write of a roll-out; cause={error}");
                }
            }
        });
    }

    fn put_record(&mut self, service: &ServiceId, entry: &Entry) -> bool {
        let Some(record) = decode::<Record>(entry) else { return false };
        let row = self.row(service);
        let known = row.recorded.as_ref().map_or(0, |recorded| recorded.revision);
        if entry.revision <= known {
            return false;
        }
        log::info!(
            "roll-out changed phase; service={service} version={} phase={:?}",
            record.version,
            record.phase
        );
        row.recorded =
            Some(Recorded { revision: entry.revision, record, received_at: Instant::now() });
        row.due = None;
        true
    }

    fn put_report(&mut self, rest: &str, entry: &Entry) {
        let Some((service, _instance)) = rest.rsplit_once('/') else { return };
        let Some(report) = decode::<Report>(entry) else { return };
        let reported = Reported { key: entry.key.clone(), report, received_at: Instant::now() };
        let row = self.row(&service.into());
        match row.reports.binary_search_by(|known| known.key.cmp(&entry.key)) {
            Ok(at) => row.reports[at] = reported,
            Err(at) => row.reports.insert(at, reported),
        }
    }

    fn row(&mut self, service: &ServiceId) -> &mut Row {
        let at = match self.rows.binary_search_by(|row| row.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let row = Row {
                    service: service.clone(),
                    ordered: None,
                    recorded: None,
                    reports: Vec::new(),
                    is_bad: false,
                    due: None,
                    last_report: None,
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }
}

impl Row {
    /// Returns the phase that this instance acts on. Once its evidence shows the version to be bad,
    /// it sends no requests to that version, even while the roll-back can't be written to the
    /// store.
    fn effective_phase(&self) -> Option<Phase> {
        let phase = self.phase()?;
        Some(if self.is_bad && !phase.is_over() { Phase::RolledBack } else { phase })
    }

    /// Returns the phase of the current order, if its roll-out has started.
    fn phase(&self) -> Option<Phase> {
        let recorded = self.recorded.as_ref()?;
        let ordered = self.ordered.as_ref()?;
        (recorded.record.order == ordered.revision).then_some(recorded.record.phase)
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

/// Formats the evidence for the log.
fn describe_evidence<'a>(
    failures: impl Iterator<Item = &'a FailureComparison>,
    latencies: impl Iterator<Item = &'a LatencyComparison>,
) -> String {
    let compared = latencies.filter(|latency| latency.new.count > 0 && latency.old.count > 0);
    let parts: Vec<String> = failures
        .map(FailureComparison::to_string)
        .chain(compared.map(LatencyComparison::to_string))
        .collect();
    parts.join(" ")
}

fn decode<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    match serde_json::from_slice(&entry.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!(
                "a record or report of a roll-out can't be decoded; key={} cause={error}",
                entry.key
            );
            None
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!(
                "a value of a roll-out can't be encoded, please report this; cause={error}"
            );
            None
        }
    }
}
