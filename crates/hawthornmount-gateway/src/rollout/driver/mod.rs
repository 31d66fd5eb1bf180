//! Drives roll-outs: reads orders, records and reports from the store, and writes the next phase.

mod report;
mod row;

use {
    super::{
        Phase, Record, Split,
        evidence::{self, Collector, Report},
        plan::{self, Conditions},
        verdict::{self, Verdict},
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
    report::{MAX_DELETED_REPORTS, RUNS_OLD_REPORT_LIFETIME, describe_evidence},
    row::{Ordered, Recorded, Row, Stored},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key prefix of the records of roll-outs, which are stored by service.
pub const RECORD_PREFIX: &str = "hawthornmount/rollout/";
/// Key prefix of the reports on roll-outs, which are stored by service and instance.
const REPORT_PREFIX: &str = "hawthornmount/report/";

/// Prefix of both, which instances that read the store watch during a roll-out.
pub const WATCH_PREFIX: &str = "hawthornmount/r";

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
/// Time over which the number of requests in flight is averaged.
const IN_FLIGHT_MEAN_TIME: Duration = Duration::from_secs(4);
/// Factor by which the rate of requests may exceed the one that an instance expects by those of its own
/// part of the fleet: the parts differ.
const RATE_MARGIN: f64 = 1.35;
/// Interval at which [`Driver::step`] is called.
pub const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the store was restored from a copy within which the operator writes again the orders
/// that the copy lacked.
const ORDER_RESTATEMENT_TIME: Duration = Duration::from_secs(10);
/// Number of earlier orders of a service that are remembered to recognise them in a copy.
const MAX_EARLIER_ORDERS: usize = 4;

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
    /// Number of requests that it may get in addition.
    pub exposure_slack: f64,
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
        if row.accept_known_order(revision, order.as_ref()) {
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
            let order = &row.ordered.as_ref()?.order;
            Some(Split {
                service: row.service.clone(),
                version: order.version.clone(),
                phase: row.effective_phase()?,
                widening_share: self.widening_share(order),
                fills_servers: row.recorded.as_ref()?.record.fills_servers,
            })
        };
        self.rows.iter().filter_map(split).collect()
    }

    /// Returns the versions that get no requests: a new version before its roll-out has started and
    /// after it was rolled back, also once another version is ordered.
    pub fn excluded_versions(&self) -> Vec<Exclusion> {
        let excluded = |row: &Row| {
            let is_excluded = row.effective_phase().is_none_or(|phase| phase == Phase::RolledBack);
            let ordered = row.ordered.as_ref().filter(|_| is_excluded);
            let ordered = ordered.map(|ordered| ordered.order.version.clone());
            let service = row.service.clone();
            let exclusion = move |version| Exclusion { service: service.clone(), version };
            row.rolled_back().into_iter().chain(ordered).map(exclusion)
        };
        self.rows.iter().flat_map(excluded).collect()
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

    /// Returns the phases and reports that are due.
    pub fn step(&mut self, part: Part, servers: &[Arc<Server>], now: Instant) -> Step {
        let bad_count = |rows: &[Row]| rows.iter().filter(|row| row.is_bad).count();
        let bad_before = bad_count(&self.rows);
        let mut step = Step::default();
        for at in 0..self.rows.len() {
            // A follower has only its own observations, which are too few for a judgement.
            if let Part::Reader { readers } = part {
                self.update_in_flight(at, readers, servers, now);
                step.writes.extend(self.advance(at, readers, servers, now));
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
    fn advance(
        &mut self,
        at: usize,
        readers: usize,
        servers: &[Arc<Server>],
        now: Instant,
    ) -> Option<Txn> {
        let next = if let Some(phase) = self.rows[at].lost_phase() {
            phase
        } else {
            let conditions = self.conditions(at, readers, servers, now)?;
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
        self.transition(at, next, now)
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

    /// Returns the share of the requests of the roll-out's time that [`Limits::exposure_slack`] amounts to;
    /// `reports` are those of this instance and of those that follow it, which are one of `readers` parts.
    fn slack_exposure(
        &self,
        reports: &[&Report],
        readers: usize,
        elapsed: Duration,
        order: &Order,
    ) -> f64 {
        let responses: u32 = reports.iter().map(|report| report.response_count()).sum();
        let per_second = f64::from(responses) * readers as f64 / elapsed.as_secs_f64().max(1.0);
        let expected = per_second * RATE_MARGIN * order.duration.as_secs_f64();
        if expected > 0.0 { (self.limits.exposure_slack / expected).min(1.0) } else { 0.0 }
    }

    fn widening_share(&self, order: &Order) -> f64 {
        plan::widening_share(order.duration, self.limits.allowed_exposure)
    }

    /// Returns the conditions for the next phase, or `None` if no roll-out of the service is under
    /// way.
    fn conditions(
        &self,
        at: usize,
        readers: usize,
        servers: &[Arc<Server>],
        now: Instant,
    ) -> Option<Conditions> {
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
        let widening_share = self.widening_share(&ordered.order);
        let own = self.own_report(&row.service, version, now);
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
        let since_order = now.saturating_duration_since(ordered.received_at);
        let slack_exposure = self.slack_exposure(&single, readers, since_order, &ordered.order);
        let reports = evidence::disjoint_reports(single, merged);
        let Verdict { regression, is_doubtful, is_load_tested } = verdict::judge(&reports);
        let is_bad = row.is_bad || regression.is_some();
        if let Some(regression) = regression.filter(|_| !row.is_bad) {
            log::warn!(
                "version is bad; service={} version={version} {regression} {}",
                row.service,
                describe_evidence(&reports)
            );
        }
        Some(Conditions {
            since_order,
            since_phase: row.recorded.as_ref().map_or(Duration::ZERO, |recorded| {
                now.saturating_duration_since(recorded.received_at)
            }),
            duration: ordered.order.duration,
            visibility_delay: self.limits.visibility_delay,
            is_bad,
            is_doubtful,
            is_load_tested,
            is_load_testable: slots.is_some_and(|slots| {
                in_flight_is_steady
                    && evidence::could_load(row.mean_in_flight, slots, widening_share)
            }),
            has_servers: servers.iter().any(|server| is_new(&server)),
            is_old_version_idle: !runs_old,
            allowed_exposure: self.limits.allowed_exposure,
            slack_exposure,
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
    fn transition(&self, at: usize, phase: Phase, now: Instant) -> Option<Txn> {
        let row = &self.rows[at];
        let ordered = row.ordered.as_ref()?;
        let version = ordered.order.version.clone();
        let order = ordered.revision;
        let record = Record {
            order,
            version: version.clone(),
            phase,
            canary_share: 0.0,
            // Only a version without a load test gets all sessions without a widening.
            fills_servers: phase == Phase::Full && row.phase() == Some(Phase::Probe),
            rolled_back: row.rolled_back(),
        };
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
        let report = self.merged_report(row, &ordered.order.version, now);
        let evidence = describe_evidence(&[&report]);
        log::info!("roll-out goes on; service={} phase={phase:?} {evidence}", row.service);
        if !phase.is_over() {
            // Instances that start later compare the new version with these earlier observations.
            txn = txn.put(&self.report_key(&row.service), encode(&report)?);
        }
        Some(txn)
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
        row.recorded = Some(Recorded { record: record.clone(), received_at: time::now() });
        let own = self.own_report(service, &record.version, time::now());
        log::info!(
            "observed by this instance; service={service} version={} phase={:?} {}",
            record.version,
            record.phase,
            describe_evidence(&[&own])
        );
        true
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
