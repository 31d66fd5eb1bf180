//! Drives roll-outs: reads orders, records and reports from the store, and writes the next phase.

use {
    super::{
        Phase, Record, Split,
        evidence::{self, Book, Line, Report},
        pace::{self, Pace},
        plan::{self, Facts},
    },
    crate::{
        load::Tracker,
        registry::{Server, Standing},
        roster::Size,
        source::{Order, Progress, Stage, Vocabulary},
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

/// Prefix of the records of roll-outs, by service.
pub const RECORDS: &str = "hawthornmount/rollout/";
/// Prefix of the reports on roll-outs, by service and instance.
const REPORTS: &str = "hawthornmount/report/";
/// Longest random delay before a phase is written, so that one instance writes and the others see
/// it.
const MAX_DELAY: Duration = Duration::from_millis(400);
/// Longest random delay before a roll-back is written.
const MAX_ALARM_DELAY: Duration = Duration::from_millis(60);
/// Answers of the new version by which a report has to grow to be written, while they are slow.
const MIN_ANSWERS: u32 = 2;
/// Answers of the new version that are told in any case.
const FIRST_ANSWERS: u32 = 3;
/// Shift of the mean logarithm of an instance's own times from which it tells them to the others.
const SUSPECT_SHIFT: f64 = 0.3;
/// Pause between two reports of an instance.
const REPORT_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two reports that requests still run on the old version.
const RUNNING_PAUSE: Duration = Duration::from_millis(2_500);
/// Time in the last phase after which an instance reports that the old version still runs there.
const FIRST_RUNNING: Duration = Duration::from_millis(1_500);
/// Age past which a report no longer says that the old version runs.
const REPORT_LIFE: Duration = Duration::from_secs(6);
/// Reports that are removed with the last write of a roll-out; the store takes 32 entries a write.
const MAX_REMOVED: usize = 28;

/// Order of a roll-out as it was read.
#[derive(Clone, Debug)]
struct Ordered {
    revision: Revision,
    order: Order,
    seen: Instant,
}

/// Record of a roll-out as it was read.
#[derive(Clone, Debug)]
struct Recorded {
    revision: Revision,
    record: Record,
    seen: Instant,
}

/// Report of an instance as it was read.
#[derive(Clone, Debug)]
struct Reported {
    key: Arc<str>,
    report: Report,
    seen: Instant,
}

/// What is known of one service's roll-out.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    ordered: Option<Ordered>,
    recorded: Option<Recorded>,
    reports: Vec<Reported>,
    /// Whether the evidence has spoken against the version; further answers don't take it back.
    is_bad: bool,
    /// Phase that is to be written, and when.
    due: Option<(Phase, Instant)>,
    /// Report that was written last, and when.
    written: Option<(Report, Instant)>,
}

/// Evidence and tallies that the traffic thread fills.
#[derive(Clone)]
pub struct Sources {
    /// Answers by version.
    pub book: Arc<Mutex<Book>>,
    /// Requests in flight by server.
    pub board: Arc<Mutex<Tracker>>,
}

/// Drives the roll-outs of all services.
pub struct Driver {
    /// Name of this life of the instance in the keys of reports: a restarted instance must not
    /// overwrite what it saw before.
    reporter: Arc<str>,
    vocabulary: Arc<dyn Vocabulary>,
    sources: Sources,
    /// Time after which every instance has seen an order.
    notice: Duration,
    fleet_size: Size,
    rows: Vec<Row>,
}

impl Driver {
    /// Creates a driver for an instance; `notice` is the time after which every instance has seen an
    /// order.
    pub fn new(
        instance: &InstanceId,
        vocabulary: Arc<dyn Vocabulary>,
        sources: Sources,
        notice: Duration,
        fleet_size: Size,
    ) -> Self {
        let reporter = id::fresh(instance);
        Self { reporter, vocabulary, sources, notice, fleet_size, rows: Vec::new() }
    }

    /// Takes an order, or its removal, and tells whether the view changes.
    pub fn order(&mut self, service: &ServiceId, revision: Revision, order: Option<Order>) -> bool {
        let book = self.sources.book.clone();
        let row = self.row(service);
        let known = row.ordered.as_ref().map_or(0, |ordered| ordered.revision);
        if revision <= known {
            return false;
        }
        if let Some(order) = &order {
            log::info!("roll-out ordered; service={service} version={}", order.version);
            book.lock().forget(service);
        }
        let seen = Instant::now();
        row.ordered = order.map(|order| Ordered { revision, order, seen });
        row.due = None;
        row.written = None;
        row.is_bad = false;
        true
    }

    /// Takes a key of the driver's own and tells whether the view changes.
    pub fn put(&mut self, entry: &Entry) -> bool {
        if let Some(service) = entry.key.strip_prefix(RECORDS) {
            return self.put_record(&service.into(), entry);
        }
        if let Some(rest) = entry.key.strip_prefix(REPORTS) {
            self.put_report(rest, entry);
        }
        false
    }

    /// Takes the removal of a key of the driver's own.
    pub fn delete(&mut self, key: &str) {
        for row in &mut self.rows {
            row.reports.retain(|reported| *reported.key != *key);
        }
    }

    /// Takes the services with an order of a whole list at a revision, in order; other orders are gone.
    pub fn keep_ordered(&mut self, services: &[ServiceId], revision: Revision) {
        let is_gone = |row: &&Row| {
            let is_older = |ordered: &Ordered| ordered.revision <= revision;
            row.ordered.as_ref().is_some_and(is_older)
                && services.binary_search(&row.service).is_err()
        };
        let gone: Vec<ServiceId> =
            self.rows.iter().filter(is_gone).map(|row| row.service.clone()).collect();
        for service in gone {
            self.order(&service, revision + 1, None);
        }
    }

    /// Forgets reports whose keys are gone.
    pub fn keep_reports(&mut self, is_present: impl Fn(&str) -> bool) {
        for row in &mut self.rows {
            row.reports.retain(|reported| is_present(&reported.key));
        }
    }

    /// Returns the roll-outs by which requests are split.
    pub fn splits(&self) -> Vec<Split> {
        let split = |row: &Row| {
            let version = row.ordered.as_ref()?.order.version.clone();
            let (service, phase) = (row.service.clone(), row.phase_here()?);
            let canary_share = row.recorded.as_ref()?.record.canary_share;
            Some(Split { service, version, phase, canary_share })
        };
        self.rows.iter().filter_map(split).collect()
    }

    /// Returns the versions that get no requests: a new one before its roll-out has begun and after
    /// it was rolled back.
    pub fn held(&self) -> Vec<Exclusion> {
        let held = |row: &Row| {
            let version = row.ordered.as_ref()?.order.version.clone();
            let is_held = row.phase_here().is_none_or(|phase| phase == Phase::RolledBack);
            is_held.then(|| Exclusion { service: row.service.clone(), version })
        };
        self.rows.iter().filter_map(held).collect()
    }

    /// Tells whether a roll-out is under way.
    pub fn is_active(&self) -> bool {
        let is_active =
            |row: &Row| row.ordered.is_some() && !row.phase().is_some_and(Phase::is_over);
        self.rows.iter().any(is_active)
    }

    /// Tells whether a new version gets most requests and may still be rolled back.
    pub fn is_exposed(&self) -> bool {
        let is_exposed = |row: &Row| matches!(row.phase(), Some(Phase::Widening | Phase::Full));
        self.rows.iter().any(is_exposed)
    }

    /// Removes reports that a roll-out has left behind. One instance of the fleet does so at a time, on
    /// average.
    pub fn tidy(&self, store: &Arc<dyn Store>) {
        let size = self.fleet_size.get().unwrap_or(1) as f64;
        let is_left =
            |row: &&Row| row.phase().is_some_and(Phase::is_over) && !row.reports.is_empty();
        for row in self.rows.iter().filter(is_left) {
            if rand::rng().random::<f64>() * size < 1.0 {
                let left = row.reports.iter().take(MAX_REMOVED);
                self.commit(store, left.fold(Txn::new(), |txn, left| txn.delete(&left.key)));
            }
        }
    }

    /// Writes what is due and tells whether the view changes.
    pub fn step(&mut self, store: &Arc<dyn Store>, servers: &[Arc<Server>], now: Instant) -> bool {
        let bad = |rows: &[Row]| rows.iter().filter(|row| row.is_bad).count();
        let before = bad(&self.rows);
        for at in 0..self.rows.len() {
            if let Some(txn) = self.advance(at, servers, now) {
                self.commit(store, txn);
            }
            if let Some(txn) = self.report(at, servers, now) {
                self.commit(store, txn);
            }
        }
        bad(&self.rows) != before
    }

    /// Returns the write of the next phase, if it is due.
    fn advance(&mut self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Txn> {
        let facts = self.facts(at, servers, now)?;
        let row = &mut self.rows[at];
        row.is_bad = facts.is_bad;
        let Some(next) = plan::next(row.phase(), &facts) else {
            row.due = None;
            return None;
        };
        let Some((phase, due)) = row.due else {
            let longest = if next == Phase::RolledBack { MAX_ALARM_DELAY } else { MAX_DELAY };
            row.due = Some((next, now + longest.mul_f64(rand::rng().random())));
            return None;
        };
        if phase != next {
            row.due = None;
            return None;
        }
        if now < due {
            return None;
        }
        // Without an answer the same write is due again, under the same condition.
        row.due = None;
        self.transition(at, next)
    }

    fn facts(&self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Facts> {
        let row = &self.rows[at];
        let ordered = row.ordered.as_ref()?;
        if row.phase().is_some_and(Phase::is_over) {
            return None;
        }
        let version = &ordered.order.version;
        let is_new = |server: &&Arc<Server>| {
            server.service == row.service
                && server.version == *version
                && server.standing == Standing::Ready
        };
        let (lines, paces) = self.seen(&row.service, version);
        let own = self.report_key(&row.service);
        let others = row.reports.iter().filter(|reported| *reported.key != *own);
        let is_recent = |reported: &&Reported| now < reported.seen + REPORT_LIFE;
        let runs_old = self.runs_old(&row.service, version, servers)
            || others.clone().filter(is_recent).any(|reported| reported.report.runs_old);
        let is_same = |reported: &&Reported| reported.report.version.as_ref() == Some(version);
        let reports = others.filter(is_same).map(|reported| &reported.report);
        let all_lines = lines.iter().chain(reports.clone().flat_map(|report| &report.lines));
        let all_paces = paces.iter().chain(reports.flat_map(|report| &report.paces));
        let mut is_bad = row.is_bad;
        if !is_bad && let Some(charge) = evidence::charge(all_lines.clone(), all_paces.clone()) {
            is_bad = true;
            let seen = told(all_lines, all_paces);
            let service = &row.service;
            log::warn!("version is bad; service={service} version={version} {charge} {seen}");
        }
        Some(Facts {
            since_order: now.saturating_duration_since(ordered.seen),
            since_phase: row
                .recorded
                .as_ref()
                .map_or(Duration::ZERO, |recorded| now.saturating_duration_since(recorded.seen)),
            duration: ordered.order.duration,
            notice: self.notice,
            is_bad,
            is_tested: lines.iter().any(evidence::is_tested),
            has_servers: servers.iter().any(|server| is_new(&server)),
            is_clear: !runs_old,
        })
    }

    fn runs_old(&self, service: &ServiceId, version: &VersionId, servers: &[Arc<Server>]) -> bool {
        let mut board = self.sources.board.lock();
        let old = servers
            .iter()
            .filter(|server| server.service == *service && server.version != *version);
        old.map(|server| board.stats(&server.id).in_flight).any(|in_flight| in_flight > 0)
    }

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
        let key = format!("{RECORDS}{}", row.service);
        let stage = match phase {
            Phase::Canary | Phase::Widening | Phase::Full => Stage::Running,
            Phase::Completed => Stage::Completed,
            Phase::RolledBack => Stage::RolledBack,
        };
        let mut txn = match &row.recorded {
            Some(recorded) => Txn::new().unchanged(&key, recorded.revision),
            None => Txn::new().absent(&key),
        };
        txn = txn.put(&key, json(&record)?);
        if matches!(phase, Phase::Canary) || phase.is_over() {
            let progress = Progress { version, stage };
            let (key, value) = self.vocabulary.write_progress(&row.service, &progress);
            txn = txn.put(&key, value);
        }
        if phase.is_over() {
            for reported in row.reports.iter().take(MAX_REMOVED) {
                txn = txn.delete(&reported.key);
            }
        }
        let (lines, paces) = self.seen(&row.service, &ordered.order.version);
        let seen = told(lines.iter(), paces.iter());
        log::info!("roll-out goes on; service={} phase={phase:?} {seen}", row.service);
        if !phase.is_over() {
            // Instances that start later compare the new version with what was seen before.
            let version = Some(ordered.order.version.clone());
            let report = Report { version, lines, paces, runs_old: false };
            txn = txn.put(&self.report_key(&row.service), json(&report)?);
        }
        Some(txn)
    }

    /// Returns the evidence that this instance has seen.
    fn seen(&self, service: &ServiceId, version: &VersionId) -> (Vec<Line>, Vec<Pace>) {
        let book = self.sources.book.lock();
        (book.lines(service, version), book.paces(service, version))
    }

    fn report_key(&self, service: &ServiceId) -> String {
        format!("{REPORTS}{service}/{}", self.reporter)
    }

    /// Returns the write of this instance's report, if it has something new to say.
    fn report(&mut self, at: usize, servers: &[Arc<Server>], now: Instant) -> Option<Txn> {
        let row = &self.rows[at];
        let version = row.ordered.as_ref()?.order.version.clone();
        let phase = row.phase().filter(|phase| !phase.is_over())?;
        let since = row.recorded.as_ref().map(|recorded| now - recorded.seen)?;
        let (lines, paces) = self.seen(&row.service, &version);
        let runs_old = phase == Phase::Full
            && since >= FIRST_RUNNING
            && self.runs_old(&row.service, &version, servers);
        let report = Report { version: Some(version), lines, paces, runs_old };
        let is_due = match &row.written {
            None => {
                is_news(&report, &Report::default())
                    || runs_old
                    || report.answers() >= FIRST_ANSWERS
            }
            Some((last, at)) => {
                let has_more = report.answers() >= last.answers() + MIN_ANSWERS;
                let pause = plan::routine_pause(self.fleet_size.get().unwrap_or(1));
                let is_routine = has_more && now >= *at + pause;
                let is_news = is_news(&report, last) || is_routine;
                let has_changed = is_news || runs_old != last.runs_old;
                (has_changed && now >= *at + REPORT_PAUSE)
                    || (runs_old && now >= *at + RUNNING_PAUSE)
            }
        };
        if !is_due {
            return None;
        }
        let key = self.report_key(&row.service);
        let txn = Txn::new().put(&key, json(&report)?);
        self.rows[at].written = Some((report, now));
        Some(txn)
    }

    fn commit(&self, store: &Arc<dyn Store>, txn: Txn) {
        let store = store.clone();
        tokio::spawn(async move {
            match store.commit(txn).await {
                Ok(commit) if commit.applied => {}
                Ok(_) => log::debug!("another instance wrote the roll-out first"),
                Err(error) => log::warn!("a roll-out's write got no answer; cause={error}"),
            }
        });
    }

    fn put_record(&mut self, service: &ServiceId, entry: &Entry) -> bool {
        let Some(record) = read::<Record>(entry) else { return false };
        let row = self.row(service);
        let known = row.recorded.as_ref().map_or(0, |recorded| recorded.revision);
        if entry.revision <= known {
            return false;
        }
        log::info!(
            "roll-out; service={service} version={} phase={:?}",
            record.version,
            record.phase
        );
        row.recorded = Some(Recorded { revision: entry.revision, record, seen: Instant::now() });
        row.due = None;
        true
    }

    fn put_report(&mut self, rest: &str, entry: &Entry) {
        let Some((service, _instance)) = rest.rsplit_once('/') else { return };
        let Some(report) = read::<Report>(entry) else { return };
        let reported = Reported { key: entry.key.clone(), report, seen: Instant::now() };
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
                    written: None,
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }
}

impl Row {
    /// Returns the phase by which this instance acts: once the evidence that it knows has spoken, it
    /// sends nothing to the new version, also while the store can't be told.
    fn phase_here(&self) -> Option<Phase> {
        let phase = self.phase()?;
        Some(if self.is_bad && !phase.is_over() { Phase::RolledBack } else { phase })
    }

    /// Returns the phase of the present order, if its roll-out has begun.
    fn phase(&self) -> Option<Phase> {
        let recorded = self.recorded.as_ref()?;
        let ordered = self.ordered.as_ref()?;
        (recorded.record.order == ordered.revision).then_some(recorded.record.phase)
    }
}

/// Tells whether a report has to be written soon: it says more against the new version than the one that
/// was written last, by one more failure, or by some more answers while they are slower than the
/// others'.
fn is_news(report: &Report, last: &Report) -> bool {
    if report.failures() > last.failures() {
        return true;
    }
    let has_more = report.answers() >= last.answers() + MIN_ANSWERS;
    has_more && pace::shift(report.paces.iter()).mean >= SUSPECT_SHIFT
}

/// Returns the evidence as the log tells it.
fn told<'a>(
    lines: impl Iterator<Item = &'a Line>,
    paces: impl Iterator<Item = &'a Pace>,
) -> String {
    let compared = paces.filter(|pace| pace.new.count > 0 && pace.old.count > 0);
    let words: Vec<String> =
        lines.map(Line::to_string).chain(compared.map(Pace::to_string)).collect();
    words.join(" ")
}

fn read<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    match serde_json::from_slice(&entry.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!("a value of the product can't be read; key={} cause={error}", entry.key);
            None
        }
    }
}

fn json<T: serde::Serialize>(value: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!("a value can't be written, report it; cause={error}");
            None
        }
    }
}
