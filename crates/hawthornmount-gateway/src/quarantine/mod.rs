//! Quarantine of prompt parts that end servers.
//!
//! Load: a part of a prompt ends every server that begins to write an answer on it, whatever else the
//! request holds. Requests with the part arrive at all instances, no two alike, and share their other
//! parts with sound requests. A server that ends also breaks the answers of all requests that run on
//! it.
//!
//! - A request is evidence against its parts if its answer broke off right after its head
//!   ([`start::Start`]). Requests whose answer had not begun, or had been running, are not.
//! - An answer that went on for a while, or was complete, is a proof in favour of its parts
//!   ([`proof::Counter`]).
//! - The parts to blame are found over the ends that all instances know ([`verdict`]). Each instance
//!   writes the ends that it saw to a key of its own ([`evidence::Report`]), and decides by itself, so
//!   that an instance that is cut off uses its own evidence.
//! - A request with a part in quarantine is rejected before it is sent. A quarantine ends after a fixed
//!   time, after which one more end renews it for twice the time, or when the proofs outweigh the
//!   ends.
//!
//! The module decides on observations and the time that its callers pass, except for
//! [`monitor::Monitor`], which shares the decisions between threads and logs them.

pub mod evidence;
pub mod monitor;
pub mod proof;
pub mod start;
pub mod verdict;

use {
    crate::message::PartId,
    evidence::{End, Report},
    hawthornmount_core::id::InstanceId,
    proof::Counter,
    std::time::{Duration, Instant},
};

/// Age up to which an end counts as evidence.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which the first quarantine of a part lasts; each further one lasts twice as long.
const FIRST_TERM: Duration = Duration::from_secs(300);
/// Longest time for which a quarantine lasts.
const MAX_TERM: Duration = Duration::from_secs(3_600);
/// Time after the end of a quarantine in which one more end renews it.
const PROBATION: Duration = Duration::from_secs(3_600);
/// Number of own ends that are remembered and reported.
const MAX_OWN_ENDS: usize = 16;
/// Number of reports of other instances that are remembered.
const MAX_REPORTS: usize = 512;
/// Number of parts whose proofs a report states.
const MAX_REPORTED_PROOFS: usize = 32;
/// Minimum interval between two reports, and after a report that the store did not confirm.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
const FAILED_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the last end during which more ends, and reports of other instances, are expected.
const GATHERING_TIME: Duration = Duration::from_secs(5);
/// Number of servers that a request may end before it is held back while its parts are suspect.
pub const MAX_ENDS_PER_REQUEST: u32 = 2;

/// An end of a server and when this instance learned of it.
#[derive(Clone, Debug)]
struct Known {
    end: End,
    at: Instant,
}

/// Report of another instance.
#[derive(Clone, Debug)]
struct Reported {
    instance: InstanceId,
    ends: Vec<Known>,
    proofs: Vec<(PartId, u32)>,
    received_at: Instant,
}

/// A part that is, or was, in quarantine.
#[derive(Clone, Copy, Debug)]
struct Row {
    part: PartId,
    until: Instant,
    term: Duration,
    /// Whether the end of the quarantine was announced.
    is_announced: bool,
}

/// A part that enters or leaves quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The part enters quarantine.
    Entered {
        /// The part.
        part: PartId,
        /// Number of servers that ended under it.
        servers: usize,
        /// Time for which the quarantine lasts.
        term: Duration,
    },
    /// The time of the quarantine has passed.
    Expired(PartId),
    /// Answers with the part went on.
    Cleared(PartId),
}

/// Observations and decisions of an instance.
#[derive(Debug)]
pub struct Quarantine {
    own: InstanceId,
    /// Ends that this instance saw, the oldest first.
    ends: Vec<Known>,
    proofs: Counter,
    /// Reports of the other instances, in order of their names.
    reports: Vec<Reported>,
    /// Parts that are or were in quarantine, in order of their ids.
    rows: Vec<Row>,
    /// Report that was written last.
    written: Option<Report>,
    is_report_due: bool,
    next_report_at: Option<Instant>,
}

impl Quarantine {
    /// Creates the quarantine of the instance `own`, without evidence.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self {
            own,
            ends: Vec::new(),
            proofs: Counter::new(now),
            reports: Vec::new(),
            rows: Vec::new(),
            written: None,
            is_report_due: false,
            next_report_at: None,
        }
    }

    /// Returns a part that is in quarantine, and the time until its quarantine ends.
    pub fn find(
        &self,
        parts: impl IntoIterator<Item = PartId>,
        now: Instant,
    ) -> Option<(PartId, Duration)> {
        let active = |part| {
            let row = self.row(part).filter(|row| now < row.until)?;
            Some((part, row.until - now))
        };
        parts.into_iter().find_map(active)
    }

    /// Returns whether servers ended under one of the parts, and no answer with it went on.
    pub fn is_suspect(&self, parts: &[PartId], now: Instant) -> bool {
        let open = self.open_ends(now);
        let is_suspect = |part: &PartId| {
            verdict::servers(&open, *part) >= verdict::SUSPECT_SERVERS
                && self.proof_count(*part, now) == 0
        };
        parts.iter().any(is_suspect)
    }

    /// Returns the number of parts in quarantine.
    pub fn len(&self, now: Instant) -> usize {
        self.rows.iter().filter(|row| now < row.until).count()
    }

    /// Returns whether no part is in quarantine.
    pub fn is_empty(&self, now: Instant) -> bool {
        self.len(now) == 0
    }

    /// Returns whether servers ended recently, so that reports of other instances are expected.
    pub fn is_gathering(&self, now: Instant) -> bool {
        let is_recent = |known: &Known| now < known.at + GATHERING_TIME;
        self.all_ends().any(is_recent)
    }

    /// Records a request whose answer broke off right after its head.
    pub fn record_end(&mut self, end: End, now: Instant) -> Vec<Change> {
        if end.parts.is_empty() || self.ends.iter().any(|known| known.end == end) {
            return Vec::new();
        }
        self.is_report_due |= self.find(end.parts.iter().copied(), now).is_none();
        if self.ends.len() == MAX_OWN_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(Known { end, at: now });
        self.judge(now)
    }

    /// Records an answer that went on for a while or was complete.
    pub fn record_proof(&mut self, parts: &[PartId], now: Instant) -> Vec<Change> {
        for part in parts {
            self.proofs.add(*part, now);
        }
        if self.find(parts.iter().copied(), now).is_none() {
            return Vec::new();
        }
        // Other instances have the part in quarantine too.
        self.is_report_due = true;
        self.judge(now)
    }

    /// Applies the report that an instance wrote to the store.
    pub fn put(&mut self, instance: &InstanceId, report: Report, now: Instant) -> Vec<Change> {
        if *instance == self.own {
            self.put_own(report, now);
            return self.judge(now);
        }
        let at = self.reports.binary_search_by(|known| known.instance.cmp(instance));
        let before = at.ok().map(|at| &self.reports[at]);
        let known = |end: End| {
            let known = before.and_then(|row| row.ends.iter().find(|known| known.end == end));
            let at = known.map_or(now, |known| known.at);
            Known { end, at }
        };
        let ends = report.ends.into_iter().take(MAX_OWN_ENDS).map(known).collect();
        let mut proofs = report.proofs;
        proofs.truncate(MAX_REPORTED_PROOFS);
        proofs.sort_unstable();
        let row = Reported { instance: instance.clone(), ends, proofs, received_at: now };
        match at {
            Ok(at) => self.reports[at] = row,
            Err(at) if self.reports.len() < MAX_REPORTS => self.reports.insert(at, row),
            Err(_) => {}
        }
        self.judge(now)
    }

    /// Records that the own report is missing from the store, which was then restored from a copy.
    pub fn record_missing(&mut self) {
        self.is_report_due |= self.written.as_ref().is_some_and(|report| !report.ends.is_empty());
    }

    /// Returns the report on the own evidence, if one is due.
    pub fn take_report(&mut self, now: Instant) -> Option<Report> {
        if !self.is_report_due || self.next_report_at.is_some_and(|at| now < at) {
            return None;
        }
        let report = self.report(now);
        self.is_report_due = false;
        self.next_report_at = Some(now + REPORT_INTERVAL);
        if report.ends.is_empty() && self.written.as_ref().is_none_or(|last| last.ends.is_empty()) {
            return None;
        }
        self.written = Some(report.clone());
        Some(report)
    }

    /// Records that the store did not confirm the last report.
    pub fn report_lost(&mut self, now: Instant) {
        self.is_report_due = true;
        self.next_report_at = Some(now + FAILED_REPORT_INTERVAL);
    }

    /// Removes what is too old, and returns the parts whose quarantine has ended.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in self.rows.iter_mut().filter(|row| row.until <= now && !row.is_announced) {
            row.is_announced = true;
            changes.push(Change::Expired(row.part));
        }
        self.rows.retain(|row| now < row.until + PROBATION);
        let active: Vec<PartId> = self.active_parts(now);
        let is_kept = |known: &Known| {
            now < known.at + EVIDENCE_LIFETIME
                || known.end.parts.iter().any(|part| active.binary_search(part).is_ok())
        };
        let before = self.ends.len();
        self.ends.retain(is_kept);
        // A report without ends replaces the last one, so that it is not taken for recent later.
        self.is_report_due |= before > 0 && self.ends.is_empty();
        for report in &mut self.reports {
            report.ends.retain(is_kept);
        }
        changes
    }

    fn put_own(&mut self, report: Report, now: Instant) {
        if self.written.is_none() {
            // This instance wrote the report before it started again.
            for end in report.ends.iter().take(MAX_OWN_ENDS.saturating_sub(self.ends.len())) {
                if !self.ends.iter().any(|known| known.end == *end) {
                    self.ends.insert(0, Known { end: end.clone(), at: now });
                }
            }
            self.written = Some(report);
        } else if self.written.as_ref().is_some_and(|written| written.ends != report.ends) {
            self.is_report_due = true;
        }
    }

    fn report(&self, now: Instant) -> Report {
        let ends: Vec<End> = self.ends.iter().map(|known| known.end.clone()).collect();
        let mut parts: Vec<PartId> =
            self.all_ends().flat_map(|known| known.end.parts.iter().copied()).collect();
        parts.sort_unstable();
        parts.dedup();
        let proofs = parts.into_iter().map(|part| (part, self.proofs.count(part, now)));
        let proofs = proofs.filter(|(_, count)| *count > 0).take(MAX_REPORTED_PROOFS).collect();
        Report { ends, proofs }
    }

    /// Puts parts into quarantine, or takes them out of it, according to the evidence.
    fn judge(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in self.active_parts(now) {
            let ends: Vec<&End> = self.all_ends().map(|known| &known.end).collect();
            let (servers, proofs) = (verdict::servers(&ends, part), self.proof_count(part, now));
            if verdict::is_cleared(servers, proofs) {
                self.rows.retain(|row| row.part != part);
                changes.push(Change::Cleared(part));
            }
        }
        let open = self.open_ends(now);
        let candidate = |part| verdict::Record {
            proofs: self.proof_count(part, now),
            is_on_probation: self.row(part).is_some(),
        };
        for blamed in verdict::blame(&open, candidate) {
            let term = self.row(blamed.part).map_or(FIRST_TERM, |row| (row.term * 2).min(MAX_TERM));
            let row = Row { part: blamed.part, until: now + term, term, is_announced: false };
            match self.rows.binary_search_by_key(&blamed.part, |row| row.part) {
                Ok(at) => self.rows[at] = row,
                Err(at) => self.rows.insert(at, row),
            }
            changes.push(Change::Entered { part: blamed.part, servers: blamed.servers, term });
        }
        changes
    }

    /// Returns the recent ends that no part in quarantine explains.
    fn open_ends(&self, now: Instant) -> Vec<&End> {
        let is_explained = |known: &&Known| {
            let explains = |row: &Row| now < row.until || known.at < row.until;
            known.end.parts.iter().any(|part| self.row(*part).is_some_and(explains))
        };
        let mut explained: Vec<_> =
            self.all_ends().filter(is_explained).map(|known| known.end.server_run()).collect();
        explained.sort_unstable();
        self.all_ends()
            .filter(|known| now < known.at + EVIDENCE_LIFETIME)
            .map(|known| &known.end)
            .filter(|end| explained.binary_search(&end.server_run()).is_err())
            .collect()
    }

    fn all_ends(&self) -> impl Iterator<Item = &Known> {
        self.ends.iter().chain(self.reports.iter().flat_map(|report| &report.ends))
    }

    /// Returns the number of answers with a part that went on, at all instances.
    fn proof_count(&self, part: PartId, now: Instant) -> u32 {
        let recent = self.reports.iter().filter(|row| now < row.received_at + EVIDENCE_LIFETIME);
        let reported = recent.filter_map(|report| {
            let at = report.proofs.binary_search_by_key(&part, |(part, _)| *part).ok()?;
            Some(report.proofs[at].1)
        });
        reported.fold(self.proofs.count(part, now), u32::saturating_add)
    }

    fn active_parts(&self, now: Instant) -> Vec<PartId> {
        self.rows.iter().filter(|row| now < row.until).map(|row| row.part).collect()
    }

    fn row(&self, part: PartId) -> Option<&Row> {
        let at = self.rows.binary_search_by_key(&part, |row| row.part).ok()?;
        Some(&self.rows[at])
    }
}
