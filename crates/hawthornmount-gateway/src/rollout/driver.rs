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
        registry::{Readiness, Server},
        relay::{PeerReport, message::InFlight},
        schema::{Codec, Order, Progress, Stage},
        time,
        view::Exclusion,
    },
    hawthornmount_core::id::{self, InstanceId, Revision, ServiceId, VersionId},
    hawthornmount_store::{Entry, Txn},
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

/// Returns whether a key holds a report on a roll-out. Only the instances that read the store use
/// the reports.
pub fn is_report(key: &str) -> bool {
    key.starts_with(REPORT_PREFIX)
}

/// Longest random delay before a phase is written, so that usually one instance writes it and the
/// others see it in time.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(200);
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
/// Time over which the number of requests in flight is averaged.
const IN_FLIGHT_MEAN_TIME: Duration = Duration::from_secs(4);
/// Interval at which [`Driver::step`] is called.
pub const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of reports that are deleted in one write; the store accepts 32 entries per write.
const MAX_DELETED_REPORTS: usize = 28;

/// Time after the store was restored from a copy within which the operator writes again the orders
/// that the copy lacked.
const ORDER_RESTATEMENT_TIME: Duration = Duration::from_secs(10);
/// Number of earlier orders of a service that are remembered to recognise them in a copy.
const MAX_EARLIER_ORDERS: usize = 4;

/// Order of a roll-out as received from the store.
#[derive(Clone, Debug)]
struct Ordered {
    revision: Revision,
    order: Order,
    received_at: Instant,
    /// When the store was restored from a copy, unless it has shown the order again since then.
    unconfirmed_since: Option<Instant>,
}

/// Record of a roll-out that this instance acts on.
#[derive(Clone, Debug)]
struct Recorded {
    record: Record,
    received_at: Instant,
}

/// Record of a roll-out in the store. After the store was restored from a copy, it can be older than
/// the record that the instance acts on.
#[derive(Clone, Debug)]
struct Stored {
    revision: Revision,
    record: Record,
}

/// Report of an instance as received from the store.
#[derive(Clone, Debug)]
struct Reported {
    key: Arc<str>,
    report: Report,
    received_at: Instant,
}

/// Report that an instance which follows this one delivered.
#[derive(Clone, Debug)]
struct Delivered {
    report: PeerReport,
    received_at: Instant,
}

/// Report that was written or delivered last.
#[derive(Clone, Debug)]
struct LastReport {
    report: Report,
    /// Part of this instance at that time; the reports of the parts can't be compared.
    part: Part,
    at: Instant,
}

/// State of one service's roll-out.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    ordered: Option<Ordered>,
    /// Earlier orders, the last one last.
    earlier_orders: Vec<(Revision, Order)>,
    recorded: Option<Recorded>,
    stored: Option<Stored>,
    /// Reports in the store, in order of their keys.
    reports: Vec<Reported>,
    /// Reports of instances that follow this one, in order of their reporters.
    delivered: Vec<Delivered>,
    /// Mean number of requests in flight at the old version, and since when it is measured.
    mean_in_flight: f64,
    in_flight_since: Option<Instant>,
    /// Whether the evidence has shown the version to be bad. Later responses don't revoke this.
    is_bad: bool,
    /// Phase that is to be written, and when.
    due: Option<(Phase, Instant)>,
    last_report: Option<LastReport>,
}

/// Part of this instance in the roll-outs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Reads the store: writes the phases, and reports for itself and its followers.
    Reader {
        /// Number of instances that read the store.
        readers: usize,
    },
    /// Follows another instance, to which it delivers its own reports.
    Follower,
}

/// What a step of the roll-outs results in.
#[derive(Debug, Default)]
pub struct Step {
    /// Whether the view changes.
    pub changes_view: bool,
    /// Writes to the store.
    pub writes: Vec<Txn>,
    /// Reports for the instance that this one follows.
    pub reports: Vec<PeerReport>,
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
    limits: Limits,
    followers_in_flight: Vec<InFlight>,
    rows: Vec<Row>,
}

/// Limits that roll-outs keep.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after which every instance has seen an order.
    pub visibility_delay: Duration,
    /// Share of all requests of the roll-out's time that a bad version may get.
    pub allowed_exposure: f64,
}

impl Driver {
    /// Creates a driver for an instance.
    pub fn new(
        instance: &InstanceId,
        schema: Arc<dyn Codec>,
        sources: Sources,
        limits: Limits,
    ) -> Self {
        let reporter = id::generate(instance);
        let (followers_in_flight, rows) = (Vec::new(), Vec::new());
        Self { reporter, schema, sources, limits, followers_in_flight, rows }
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
        if row.is_order_known(revision, order.as_ref()) {
            return false;
        }
        if let Some(order) = &order {
            log::info!("roll-out ordered; service={service} version={}", order.version);
            collector.lock().forget(service);
        }
        let received_at = time::now();
        let ordered =
            order.map(|order| Ordered { revision, order, received_at, unconfirmed_since: None });
        if let Some(earlier) = std::mem::replace(&mut row.ordered, ordered) {
            row.earlier_orders.push((earlier.revision, earlier.order));
            if row.earlier_orders.len() > MAX_EARLIER_ORDERS {
                row.earlier_orders.remove(0);
            }
        }
        row.due = None;
        row.last_report = None;
        row.is_bad = false;
        row.delivered.clear();
        row.in_flight_since = None;
        true
    }

    /// Prepares for the entries of a store that was restored from a copy at `now`. Orders, phases
    /// and evidence stay as they are until the store shows newer ones.
    pub fn begin_era(&mut self, now: Instant) {
        for row in &mut self.rows {
            if let Some(ordered) = &mut row.ordered {
                ordered.unconfirmed_since = Some(now);
            }
            row.stored = None;
            row.due = None;
            row.last_report = None;
        }
    }

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
    /// Orders of other services are removed, unless they are newer than the list, or the operator
    /// may still write them again to a restored store.
    pub fn retain_ordered(&mut self, services: &[ServiceId], revision: Revision, now: Instant) {
        let is_gone = |row: &&Row| {
            let is_removed = |ordered: &Ordered| match ordered.unconfirmed_since {
                Some(restored) => now >= restored + ORDER_RESTATEMENT_TIME,
                None => ordered.revision <= revision,
            };
            row.ordered.as_ref().is_some_and(is_removed)
                && services.binary_search(&row.service).is_err()
        };
        let gone: Vec<ServiceId> =
            self.rows.iter().filter(is_gone).map(|row| row.service.clone()).collect();
        for service in gone {
            self.row(&service).confirm_order();
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
            Some(Split { service: row.service.clone(), version, phase: row.effective_phase()? })
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

    /// Returns whether a roll-out is under way, or the store has lost the phase of one.
    pub fn is_active(&self) -> bool {
        let is_active = |row: &Row| {
            let is_over = row.phase().is_some_and(Phase::is_over);
            row.ordered.is_some() && (!is_over || row.lost_phase().is_some())
        };
        self.rows.iter().any(is_active)
    }

    /// Returns whether a new version gets most requests and may still be rolled back.
    pub fn is_widely_exposed(&self) -> bool {
        let is_widely_exposed =
            |row: &Row| matches!(row.phase(), Some(Phase::Widening | Phase::Full));
        self.rows.iter().any(is_widely_exposed)
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

    /// Returns the phases and reports that are due.
    pub fn step(&mut self, part: Part, servers: &[Arc<Server>], now: Instant) -> Step {
        let bad_count = |rows: &[Row]| rows.iter().filter(|row| row.is_bad).count();
        let bad_before = bad_count(&self.rows);
        let mut step = Step::default();
        for at in 0..self.rows.len() {
            // A follower has only its own observations, which are too few for a judgement.
            if let Part::Reader { readers } = part {
                self.update_in_flight(at, readers, servers, now);
                step.writes.extend(self.advance(at, servers, now));
            }
            let Some(report) = self.report(at, part, servers, now) else { continue };
            match part {
                Part::Reader { .. } => {
                    let key = self.report_key(&self.rows[at].service);
                    step.writes.extend(encode(&report).map(|value| Txn::new().put(&key, value)));
                }
                Part::Follower => step.reports.push(PeerReport {
                    service: self.rows[at].service.clone(),
                    reporter: self.reporter.clone(),
                    report,
                }),
            }
        }
        step.changes_view = bad_count(&self.rows) != bad_before;
        step
    }

    /// Returns the write of the next phase, if it is due.
    fn advance(&mut self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Txn> {
        let next = if let Some(phase) = self.rows[at].lost_phase() {
            phase
        } else {
            let conditions = self.conditions(at, servers, now)?;
            let row = &mut self.rows[at];
            row.is_bad = conditions.is_bad;
            let Some(next) = plan::next_phase(row.phase(), &conditions) else {
                row.due = None;
                return None;
            };
            next
        };
        let row = &mut self.rows[at];
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

    /// Updates the mean number of requests in flight that a trial could use, before most sessions move to
    /// the new one.
    /// Each of the `readers` has about the same part of them, with its followers.
    fn update_in_flight(
        &mut self,
        at: usize,
        readers: usize,
        servers: &[Arc<Server>],
        now: Instant,
    ) {
        let row = &self.rows[at];
        let is_early =
            row.phase().is_none_or(|phase| matches!(phase, Phase::Canary | Phase::Probe));
        let Some(ordered) = row.ordered.as_ref().filter(|_| is_early) else { return };
        let version = ordered.order.version.clone();
        let own = self.trial_in_flight_at_old(&row.service, &version, servers);
        let followers = self.followers_in_flight.iter().filter(|one| one.service == row.service);
        let sum = own + followers.map(|one| one.requests).sum::<u32>();
        let in_flight = f64::from(sum) * readers as f64;
        let row = &mut self.rows[at];
        if row.in_flight_since.is_none() {
            row.in_flight_since = Some(now);
            row.mean_in_flight = in_flight;
        }
        let weight = STEP_INTERVAL.as_secs_f64() / IN_FLIGHT_MEAN_TIME.as_secs_f64();
        row.mean_in_flight += (in_flight - row.mean_in_flight) * weight;
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
        let slots = servers.iter().filter(is_new).map(|server| server.slots).min();
        let in_flight_is_steady = row
            .in_flight_since
            .is_some_and(|since| now.saturating_duration_since(since) >= IN_FLIGHT_MEAN_TIME);
        let own = self.own_report(&row.service, version);
        let own_key = self.report_key(&row.service);
        let others = row.reports.iter().filter(|reported| *reported.key != *own_key);
        let is_recent = |at: Instant| now < at + RUNS_OLD_REPORT_LIFETIME;
        let runs_old = self.is_old_version_running(&row.service, version, servers)
            || row.followers_run_old(is_recent)
            || others
                .clone()
                .any(|reported| is_recent(reported.received_at) && reported.report.runs_old);
        let is_same_version = |report: &&Report| report.version.as_ref() == Some(version);
        let delivered = row.delivered.iter().map(|delivered| &delivered.report.report);
        let single: Vec<&Report> =
            std::iter::once(&own).chain(delivered.filter(is_same_version)).collect();
        let merged = others.map(|reported| &reported.report).filter(is_same_version).collect();
        let reports = evidence::disjoint_reports(single, merged);
        let all_failures = reports.iter().flat_map(|report| &report.failures);
        let all_latencies = reports.iter().flat_map(|report| &report.latencies);
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
            visibility_delay: self.limits.visibility_delay,
            is_bad,
            is_load_tested: reports.iter().any(|report| report.is_load_tested()),
            is_load_testable: slots.is_some_and(|slots| {
                in_flight_is_steady && evidence::could_load(row.mean_in_flight, slots)
            }),
            has_servers: servers.iter().any(|server| is_new(&server)),
            is_old_version_idle: !runs_old,
            allowed_exposure: self.limits.allowed_exposure,
        })
    }

    /// Returns the requests of this instance in flight at the old version that a trial could use, for
    /// each service under a roll-out.
    pub fn in_flight(&self, servers: &[Arc<Server>]) -> Vec<InFlight> {
        let in_flight = |row: &Row| {
            let version = &row.ordered.as_ref()?.order.version;
            let requests = self.trial_in_flight_at_old(&row.service, version, servers);
            Some(InFlight { service: row.service.clone(), requests })
        };
        self.rows.iter().filter_map(in_flight).collect()
    }

    /// Sets the requests that the instances which follow this one have in flight.
    pub fn set_followers_in_flight(&mut self, in_flight: Vec<InFlight>) {
        self.followers_in_flight = in_flight;
    }

    /// Returns the number of requests of this instance in flight at the servers of the other
    /// versions of a service that a trial could use.
    fn trial_in_flight_at_old(
        &self,
        service: &ServiceId,
        version: &VersionId,
        servers: &[Arc<Server>],
    ) -> u32 {
        let mut loads = self.sources.loads.lock();
        let old = servers
            .iter()
            .filter(|server| server.service == *service && server.version != *version);
        old.map(|server| loads.stats(&server.id).trial_in_flight).sum()
    }

    fn is_old_version_running(
        &self,
        service: &ServiceId,
        version: &VersionId,
        servers: &[Arc<Server>],
    ) -> bool {
        let mut loads = self.sources.loads.lock();
        let mut old = servers
            .iter()
            .filter(|server| server.service == *service && server.version != *version);
        old.any(|server| loads.stats(&server.id).in_flight > 0)
    }

    /// Returns the write that moves the roll-out to a phase.
    fn transition(&self, at: usize, phase: Phase) -> Option<Txn> {
        let row = &self.rows[at];
        let ordered = row.ordered.as_ref()?;
        let version = ordered.order.version.clone();
        let order = ordered.revision;
        let record = Record { order, version: version.clone(), phase, canary_share: 0.0 };
        let key = format!("{RECORD_PREFIX}{}", row.service);
        let stage = match phase {
            Phase::Canary | Phase::Probe | Phase::Widening | Phase::Full => Stage::Running,
            Phase::Completed => Stage::Completed,
            Phase::RolledBack => Stage::RolledBack,
        };
        let mut txn = match &row.stored {
            Some(stored) => Txn::new().if_unchanged(&key, stored.revision),
            None => Txn::new().if_absent(&key),
        };
        txn = txn.put(&key, encode(&record)?);
        if matches!(phase, Phase::Canary) || phase.is_over() || row.lost_phase().is_some() {
            let progress = Progress { version, stage };
            let (key, value) = self.schema.encode_progress(&row.service, &progress);
            txn = txn.put(&key, value);
        }
        if phase.is_over() {
            for reported in row.reports.iter().take(MAX_DELETED_REPORTS) {
                txn = txn.delete(&reported.key);
            }
        }
        let report = self.merged_report(row, &ordered.order.version);
        let evidence = describe_evidence(report.failures.iter(), report.latencies.iter());
        log::info!("roll-out goes on; service={} phase={phase:?} {evidence}", row.service);
        if !phase.is_over() {
            // Instances that start later compare the new version with these earlier observations.
            txn = txn.put(&self.report_key(&row.service), encode(&report)?);
        }
        Some(txn)
    }

    /// Returns the report on the evidence that this instance has collected.
    fn own_report(&self, service: &ServiceId, version: &VersionId) -> Report {
        let collector = self.sources.collector.lock();
        Report {
            version: Some(version.clone()),
            failures: collector.failures(service, version),
            latencies: collector.latencies(service, version),
            runs_old: false,
            reporters: vec![self.reporter.clone()],
        }
    }

    /// Returns the report on the evidence of this instance and of those that follow it.
    fn merged_report(&self, row: &Row, version: &VersionId) -> Report {
        let is_same_version = |report: &&Report| report.version.as_ref() == Some(version);
        let delivered = row.delivered.iter().map(|delivered| &delivered.report.report);
        let own = self.own_report(&row.service, version);
        delivered.filter(is_same_version).fold(own, Report::merge)
    }

    fn report_key(&self, service: &ServiceId) -> String {
        format!("{REPORT_PREFIX}{service}/{}", self.reporter)
    }

    /// Returns the report of this instance, and of its followers if it reads the store, if it is
    /// due.
    fn report(
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
                self.merged_report(row, &version),
                own_runs_old || row.followers_run_old(is_recent),
                readers,
            ),
            Part::Follower => (self.own_report(&row.service, &version), own_runs_old, 1),
        };
        report.runs_old = runs_old;
        let last = row.last_report.as_ref().filter(|last| last.part.is_same_kind(part));
        let is_due = match last {
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
                let is_due_for_content = is_report_urgent(&report, last) || is_routine;
                let has_changed = is_due_for_content || runs_old != last.runs_old;
                (has_changed && now >= *at + REPORT_INTERVAL)
                    || (runs_old && now >= *at + RUNS_OLD_REPORT_INTERVAL)
            }
        };
        if !is_due {
            return None;
        }
        self.rows[at].last_report = Some(LastReport { report: report.clone(), part, at: now });
        Some(report)
    }

    fn put_record(&mut self, service: &ServiceId, entry: &Entry) -> bool {
        let Some(record) = decode::<Record>(entry) else { return false };
        let row = self.row(service);
        if row.stored.as_ref().is_some_and(|stored| entry.revision <= stored.revision) {
            return false;
        }
        row.stored = Some(Stored { revision: entry.revision, record: record.clone() });
        row.due = None;
        if row.is_ahead_of(&record) {
            log::info!(
                "kept the phase of a roll-out; service={service} version={} stored={:?}",
                record.version,
                record.phase
            );
            return false;
        }
        if row.recorded.as_ref().is_some_and(|recorded| recorded.record == record) {
            return false;
        }
        log::info!(
            "roll-out changed phase; service={service} version={} phase={:?}",
            record.version,
            record.phase
        );
        row.recorded = Some(Recorded { record, received_at: time::now() });
        true
    }

    fn put_report(&mut self, rest: &str, entry: &Entry) {
        let Some((service, _instance)) = rest.rsplit_once('/') else { return };
        let Some(report) = decode::<Report>(entry) else { return };
        let reported = Reported { key: entry.key.clone(), report, received_at: time::now() };
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
                    earlier_orders: Vec::new(),
                    recorded: None,
                    stored: None,
                    reports: Vec::new(),
                    delivered: Vec::new(),
                    mean_in_flight: 0.0,
                    in_flight_since: None,
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

impl Part {
    const fn is_same_kind(self, other: Self) -> bool {
        matches!(
            (self, other),
            (Self::Reader { .. }, Self::Reader { .. }) | (Self::Follower, Self::Follower)
        )
    }
}

impl Row {
    /// Returns whether an order, or its removal, is one that this instance knows. A known order that
    /// a restored store shows again takes its new revision, and so does its record.
    fn is_order_known(&mut self, revision: Revision, order: Option<&Order>) -> bool {
        let Some(known) = &mut self.ordered else { return false };
        if known.unconfirmed_since.is_none() {
            return revision <= known.revision;
        }
        let Some(order) = order else { return false };
        if *order != known.order {
            // The copy may hold an earlier order, which the operator's newer one will replace.
            let is_same =
                |earlier: &(Revision, Order)| earlier.0 == revision && earlier.1 == *order;
            return self.earlier_orders.iter().any(is_same);
        }
        let before = std::mem::replace(&mut known.revision, revision);
        known.unconfirmed_since = None;
        if let Some(recorded) = &mut self.recorded
            && recorded.record.order == before
        {
            recorded.record.order = revision;
        }
        true
    }

    /// Records that the store's answer about the order is final although it was restored.
    fn confirm_order(&mut self) {
        if let Some(ordered) = &mut self.ordered {
            ordered.unconfirmed_since = None;
            ordered.revision = 0;
        }
    }

    /// Returns whether the known phase is later than that of a record in the store, which was then
    /// restored from a copy.
    fn is_ahead_of(&self, stored: &Record) -> bool {
        let (Some(recorded), Some(ordered)) = (&self.recorded, &self.ordered) else { return false };
        let known = &recorded.record;
        known.order == ordered.revision
            && known.version == stored.version
            && (known.phase > stored.phase || known.order != stored.order)
            && known.phase >= stored.phase
    }

    /// Returns the phase that this instance knows and the store lost.
    fn lost_phase(&self) -> Option<Phase> {
        let ordered =
            self.ordered.as_ref().filter(|ordered| ordered.unconfirmed_since.is_none())?;
        let known = &self.recorded.as_ref()?.record;
        let is_lost = self.stored.as_ref().is_none_or(|stored| stored.record != *known);
        (known.order == ordered.revision && is_lost).then_some(known.phase)
    }

    /// Returns whether requests run on the old version at an instance that follows this one,
    /// according to its last report, if that one is recent.
    fn followers_run_old(&self, is_recent: impl Fn(Instant) -> bool) -> bool {
        self.delivered
            .iter()
            .any(|delivered| delivered.report.report.runs_old && is_recent(delivered.received_at))
    }

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
