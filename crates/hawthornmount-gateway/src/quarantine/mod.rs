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
mod exchange;
pub mod monitor;
pub mod proof;
pub mod start;
pub mod verdict;

use {
    crate::message::PartId,
    evidence::{End, Report},
    hawthornmount_core::id::InstanceId,
    proof::Counter,
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
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
const MAX_OWN_ENDS: usize = 64;
/// Number of ends of all instances that are judged, the most recent ones.
const MAX_JUDGED_ENDS: usize = 512;
/// Number of parts of a prompt that are looked at.
const MAX_PARTS: usize = 64;
/// Time after the last end during which more ends, and reports of other instances, are expected.
const GATHERING_TIME: Duration = Duration::from_secs(5);
/// Number of answers that have to go on, at any instances, before parts are blamed. Before that, no
/// part has proofs, and those that most requests share seem the worst.
const MIN_PROOFS: u32 = 20;
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
    /// Answers with the part went on, or other parts explain the ends.
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
    /// Whether reports arrived on which nothing was decided yet.
    has_new_reports: bool,
    /// Report that was written last.
    written: Option<Report>,
    is_report_due: bool,
    /// Whether the store showed another report than the one that was written last.
    is_lost: bool,
    next_report_at: Option<Instant>,
    /// Interval after the last report.
    interval: Duration,
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
            has_new_reports: false,
            written: None,
            is_report_due: false,
            is_lost: false,
            next_report_at: None,
            interval: exchange::REPORT_INTERVAL,
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
        let ends = self.ends_in_force(now);
        let active = self.active_parts(now);
        let is_suspect = |part: &PartId| {
            verdict::servers(&ends, *part) >= verdict::SUSPECT_SERVERS
                && !verdict::is_explained(&ends, *part, &active)
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
    pub fn record_end(&mut self, mut end: End, now: Instant) -> Vec<Change> {
        end.parts.truncate(MAX_PARTS);
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
            self.proofs.add(*part, 1, now);
        }
        if self.find(parts.iter().copied(), now).is_none() {
            return Vec::new();
        }
        // Other instances have the part in quarantine too.
        self.is_report_due = true;
        self.judge(now)
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
        // Answers that went on since the last ends may clear a part.
        let is_contested = self.is_contested(&self.ends_in_force(now), now);
        self.is_report_due |= is_contested;
        changes
    }

    /// Puts parts into quarantine, or takes them out of it, according to the evidence.
    fn judge(&mut self, now: Instant) -> Vec<Change> {
        let ends = self.ends_in_force(now);
        let record = |part| verdict::Record {
            proofs: self.proof_count(part, now),
            is_on_probation: self.row(part).is_some_and(|row| row.until <= now),
        };
        let verdict::Verdict { blamed, acquitted } = verdict::judge(&ends, record);
        let is_cleared = |part: &PartId| {
            let (servers, proofs) = (verdict::servers(&ends, *part), self.proof_count(*part, now));
            acquitted.contains(part) || verdict::is_cleared(servers, proofs)
        };
        let cleared: Vec<PartId> = self.active_parts(now).into_iter().filter(is_cleared).collect();
        let has_proofs = self.total_proofs(now) >= MIN_PROOFS;
        let is_contested = self.is_contested(&ends, now);
        let is_new = |blamed: &&verdict::Blamed| match self.row(blamed.part) {
            Some(row) => row.until <= now,
            None => has_proofs,
        };
        let entered: Vec<verdict::Blamed> = blamed.iter().filter(is_new).copied().collect();
        self.rows.retain(|row| !cleared.contains(&row.part));
        self.is_report_due |= is_contested;
        let mut changes: Vec<Change> = cleared.into_iter().map(Change::Cleared).collect();
        for verdict::Blamed { part, servers } in entered {
            let term = self.row(part).map_or(FIRST_TERM, |row| (row.term * 2).min(MAX_TERM));
            let row = Row { part, until: now + term, term, is_announced: false };
            match self.rows.binary_search_by_key(&part, |row| row.part) {
                Ok(at) => self.rows[at] = row,
                Err(at) => self.rows.insert(at, row),
            }
            changes.push(Change::Entered { part, servers, term });
        }
        changes
    }

    /// Returns whether others would blame a part that the answers at this instance clear, and that
    /// this instance has not reported.
    fn is_contested(&self, ends: &[&End], now: Instant) -> bool {
        let is_contested = |(part, servers): &(PartId, usize)| {
            let own = self.proofs.count(*part, now);
            let written = self.written.as_ref().map_or(0, |report| count_of(&report.proofs, *part));
            let others = self.reported_proofs(*part, now);
            verdict::is_cleared(*servers, others.saturating_add(own))
                && !verdict::is_cleared(*servers, others.saturating_add(written))
        };
        let counts = verdict::counts(ends);
        counts.iter().filter(|(_, servers)| *servers > verdict::SUSPECT_SERVERS).any(is_contested)
    }

    /// Returns the ends that count: recent ones, and those that led to a quarantine which lasts. Ends
    /// before a quarantine that is over don't count any more.
    fn ends_in_force(&self, now: Instant) -> Vec<&End> {
        let is_over = |known: &&Known| {
            let is_before = |row: &Row| row.until <= now && known.at < row.until;
            known.end.parts.iter().any(|part| self.row(*part).is_some_and(is_before))
        };
        let is_active = |part: &PartId| self.row(*part).is_some_and(|row| now < row.until);
        let is_in_force = |known: &&Known| {
            now < known.at + EVIDENCE_LIFETIME || known.end.parts.iter().any(is_active)
        };
        let mut over: Vec<_> =
            self.all_ends().filter(is_over).map(|known| known.end.server_run()).collect();
        over.sort_unstable();
        let mut known: Vec<&Known> = self
            .all_ends()
            .filter(is_in_force)
            .filter(|known| over.binary_search(&known.end.server_run()).is_err())
            .collect();
        known.sort_by_key(|known| Reverse(known.at));
        known.truncate(MAX_JUDGED_ENDS);
        known.into_iter().map(|known| &known.end).collect()
    }

    /// Returns the number of answers that went on, at all instances.
    fn total_proofs(&self, now: Instant) -> u32 {
        let recent = self.reports.iter().filter(|row| now < row.received_at + EVIDENCE_LIFETIME);
        let reported =
            recent.filter_map(|report| report.proofs.iter().map(|(_, count)| *count).max());
        reported.fold(self.proofs.largest(now), u32::saturating_add)
    }

    fn all_ends(&self) -> impl Iterator<Item = &Known> {
        self.ends.iter().chain(self.reports.iter().flat_map(|report| &report.ends))
    }

    /// Returns the number of answers with a part that went on, at all instances.
    fn proof_count(&self, part: PartId, now: Instant) -> u32 {
        self.reported_proofs(part, now).saturating_add(self.proofs.count(part, now))
    }

    /// Returns the number of answers with a part that went on, at the other instances.
    fn reported_proofs(&self, part: PartId, now: Instant) -> u32 {
        let recent = self.reports.iter().filter(|row| now < row.received_at + EVIDENCE_LIFETIME);
        recent.map(|row| count_of(&row.proofs, part)).fold(0, u32::saturating_add)
    }

    fn active_parts(&self, now: Instant) -> Vec<PartId> {
        self.rows.iter().filter(|row| now < row.until).map(|row| row.part).collect()
    }

    fn row(&self, part: PartId) -> Option<&Row> {
        let at = self.rows.binary_search_by_key(&part, |row| row.part).ok()?;
        Some(&self.rows[at])
    }
}

/// Returns the number of answers with a part, of counts in order of the parts.
fn count_of(proofs: &[(PartId, u32)], part: PartId) -> u32 {
    proofs.binary_search_by_key(&part, |(part, _)| *part).map_or(0, |at| proofs[at].1)
}
