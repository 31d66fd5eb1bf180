//! Quarantine of requests, and of parts of prompts, that end servers.
//!
//! Load: a request ends every server that runs it, and comes again at any instance with other ids. Or a
//! part of a prompt ends every server that begins to write an answer on it, whatever else the request
//! holds; requests with the part arrive at all instances, no two alike, and share their other parts
//! with sound requests. A server that ends also breaks the answers of all requests that run on it.
//!
//! - A request is evidence against itself if it got no answer and its server refuses connections since.
//!   It is evidence against its parts if its answer broke off right after its head ([`start::Start`]).
//!   Streams whose answer had not begun, or had been running, are no evidence.
//! - An answer that went on for a while, or was complete, is a proof in favour of its request and its
//!   parts ([`proof::Counter`]).
//! - What is to blame is found over the ends that all instances know ([`verdict`]). Each instance
//!   writes the ends that it saw to a key of its own ([`evidence::Report`]), and decides by itself, so
//!   that an instance that is cut off uses its own evidence.
//! - A request that is in quarantine, or has a part that is, is rejected before it is sent. A quarantine
//!   ends after a fixed time, after which one more end renews it for twice the time, or when the proofs
//!   outweigh the ends.
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
    evidence::{End, Report, Suspect},
    hawthornmount_core::id::InstanceId,
    proof::Counter,
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Age up to which an end counts as evidence.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which the first quarantine lasts; each further one lasts twice as long.
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
/// Time after the last end under a request in which other instances may report what explains it.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

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
    /// Numbers of answers in favour of suspects, in order of the suspects.
    proofs: Vec<(Suspect, u32)>,
    received_at: Instant,
}

/// A suspect that is, or was, in quarantine.
#[derive(Clone, Copy, Debug)]
struct Row {
    suspect: Suspect,
    until: Instant,
    term: Duration,
    /// Whether the end of the quarantine was announced.
    is_announced: bool,
}

/// Numbers of suspects in quarantine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Parts of prompts.
    pub parts: usize,
    /// Requests.
    pub requests: usize,
}

/// A suspect that enters or leaves quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The suspect enters quarantine.
    Entered {
        /// The suspect.
        suspect: Suspect,
        /// Number of servers that ended under it.
        servers: usize,
        /// Time for which the quarantine lasts.
        term: Duration,
    },
    /// The time of the quarantine has passed.
    Expired(Suspect),
    /// Answers with the suspect went on, or others explain the ends.
    Cleared(Suspect),
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
    /// Suspects that are or were in quarantine, in their order.
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

    /// Returns a suspect that is in quarantine, and the time until its quarantine ends.
    pub fn find(
        &self,
        suspects: impl IntoIterator<Item = Suspect>,
        now: Instant,
    ) -> Option<(Suspect, Duration)> {
        let active = |suspect| {
            let row = self.row(suspect).filter(|row| now < row.until)?;
            Some((suspect, row.until - now))
        };
        suspects.into_iter().find_map(active)
    }

    /// Returns the numbers of suspects in quarantine.
    pub fn counts(&self, now: Instant) -> Counts {
        let mut counts = Counts::default();
        for suspect in self.active(now) {
            match suspect {
                Suspect::Part(_) => counts.parts += 1,
                Suspect::Request(_) => counts.requests += 1,
            }
        }
        counts
    }

    /// Returns whether servers ended recently, so that reports of other instances are expected.
    pub fn is_gathering(&self, now: Instant) -> bool {
        let is_recent = |known: &Known| now < known.at + GATHERING_TIME;
        self.all_ends().any(is_recent)
    }

    /// Records a request that got no whole answer because its server ended, or what is now known of
    /// such an end in addition.
    pub fn record_end(&mut self, mut end: End, now: Instant) -> Vec<Change> {
        end.parts.truncate(MAX_PARTS);
        match self.ends.iter_mut().find(|known| known.end.is_same(&end)) {
            Some(known) if end.is_confirmed && !known.end.is_confirmed => {
                known.end.is_confirmed = true;
            }
            Some(_) => return Vec::new(),
            None if end.suspects().next().is_none() => return Vec::new(),
            None => {
                if self.ends.len() == MAX_OWN_ENDS {
                    self.ends.remove(0);
                }
                self.ends.push(Known { end: end.clone(), at: now });
            }
        }
        // An end under what is in quarantine may explain those under others.
        self.is_report_due = true;
        self.judge(now)
    }

    /// Records an answer that went on for a while or was complete.
    pub fn record_proof(&mut self, suspects: &[Suspect], now: Instant) -> Vec<Change> {
        for suspect in suspects {
            // Requests are too many to count, and most come once only.
            if matches!(suspect, Suspect::Part(_)) || self.has_ended_servers(*suspect) {
                self.proofs.add(*suspect, 1, now);
            }
        }
        if self.find(suspects.iter().copied(), now).is_none() {
            return Vec::new();
        }
        // Other instances have the suspect in quarantine too.
        self.is_report_due = true;
        self.judge(now)
    }

    /// Removes what is too old, and returns what enters or leaves quarantine because of the time.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in self.rows.iter_mut().filter(|row| row.until <= now && !row.is_announced) {
            row.is_announced = true;
            changes.push(Change::Expired(row.suspect));
        }
        self.rows.retain(|row| now < row.until + PROBATION);
        let active = self.active(now);
        let is_kept = |known: &Known| {
            now < known.at + EVIDENCE_LIFETIME
                || known.end.suspects().any(|one| active.binary_search(&one).is_ok())
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
        if self.is_gathering(now) {
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Puts suspects into quarantine, or takes them out of it, according to the evidence.
    fn judge(&mut self, now: Instant) -> Vec<Change> {
        let ends = self.ends_in_force(now);
        let record = |suspect| verdict::Record {
            proofs: self.proof_count(suspect, now),
            is_settled: self.is_settled(suspect, now),
        };
        let probation = self.rows.iter().filter(|row| row.until <= now).map(|row| row.suspect);
        let probation: Vec<Suspect> = probation.collect();
        let verdict::Verdict { blamed, acquitted } = verdict::judge(&ends, &probation, record);
        let is_cleared = |one: &Suspect| {
            let (servers, proofs) = (verdict::servers(&ends, *one), self.proof_count(*one, now));
            acquitted.contains(one) || verdict::is_cleared(*one, servers, proofs)
        };
        let cleared: Vec<Suspect> = self.active(now).into_iter().filter(is_cleared).collect();
        let has_proofs = self.total_proofs(now) >= MIN_PROOFS;
        let is_contested = self.is_contested(&ends, now);
        let is_new = |blamed: &&verdict::Blamed| match self.row(blamed.suspect) {
            Some(row) => row.until <= now,
            None => has_proofs || matches!(blamed.suspect, Suspect::Request(_)),
        };
        let entered: Vec<verdict::Blamed> = blamed.iter().filter(is_new).copied().collect();
        self.rows.retain(|row| !cleared.contains(&row.suspect));
        self.is_report_due |= is_contested;
        let mut changes: Vec<Change> = cleared.into_iter().map(Change::Cleared).collect();
        for verdict::Blamed { suspect, servers } in entered {
            let term = self.row(suspect).map_or(FIRST_TERM, |row| (row.term * 2).min(MAX_TERM));
            let row = Row { suspect, until: now + term, term, is_announced: false };
            match self.rows.binary_search_by_key(&suspect, |row| row.suspect) {
                Ok(at) => self.rows[at] = row,
                Err(at) => self.rows.insert(at, row),
            }
            changes.push(Change::Entered { suspect, servers, term });
        }
        changes
    }

    /// Returns whether others would blame a suspect that the answers at this instance clear, and that
    /// this instance has not reported.
    fn is_contested(&self, ends: &[&End], now: Instant) -> bool {
        let is_contested = |(suspect, servers): &(Suspect, usize)| {
            let own = self.proofs.count(*suspect, now);
            let mut written = self.written.iter().flat_map(Report::suspect_proofs);
            let written = written.find(|row| row.0 == *suspect).map_or(0, |row| row.1);
            let others = self.reported_proofs(*suspect, now);
            let is_cleared =
                |own| verdict::is_cleared(*suspect, *servers, others.saturating_add(own));
            is_cleared(own) && !is_cleared(written)
        };
        let counts = verdict::counts(ends);
        counts.iter().filter(|(_, servers)| *servers >= verdict::MIN_SERVERS).any(is_contested)
    }

    /// Returns the ends that count: recent ones, and those that led to a quarantine which lasts. Ends
    /// before a quarantine that is over don't count any more.
    fn ends_in_force(&self, now: Instant) -> Vec<&End> {
        let is_over = |known: &&Known| {
            let is_before = |row: &Row| row.until <= now && known.at < row.until;
            known.end.suspects().any(|one| self.row(one).is_some_and(is_before))
        };
        let is_active = |one: Suspect| self.row(one).is_some_and(|row| now < row.until);
        let is_in_force = |known: &&Known| {
            now < known.at + EVIDENCE_LIFETIME || known.end.suspects().any(is_active)
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

    /// Returns whether servers ended under a suspect.
    fn has_ended_servers(&self, suspect: Suspect) -> bool {
        self.all_ends().any(|known| known.end.suspects().any(|one| one == suspect))
    }

    /// Returns whether the other instances have had time to report on the ends under a suspect.
    fn is_settled(&self, suspect: Suspect, now: Instant) -> bool {
        let is_recent = |known: &Known| now < known.at + SETTLING_TIME;
        let mut ends =
            self.all_ends().filter(|known| known.end.suspects().any(|one| one == suspect));
        !ends.any(is_recent)
    }

    /// Returns the number of answers with a suspect that went on, at all instances.
    fn proof_count(&self, suspect: Suspect, now: Instant) -> u32 {
        self.reported_proofs(suspect, now).saturating_add(self.proofs.count(suspect, now))
    }

    /// Returns the number of answers with a suspect that went on, at the other instances.
    fn reported_proofs(&self, suspect: Suspect, now: Instant) -> u32 {
        let recent = self.reports.iter().filter(|row| now < row.received_at + EVIDENCE_LIFETIME);
        recent.map(|row| count_of(&row.proofs, suspect)).fold(0, u32::saturating_add)
    }

    /// Returns the suspects in quarantine, in their order.
    fn active(&self, now: Instant) -> Vec<Suspect> {
        self.rows.iter().filter(|row| now < row.until).map(|row| row.suspect).collect()
    }

    fn row(&self, suspect: Suspect) -> Option<&Row> {
        let at = self.rows.binary_search_by_key(&suspect, |row| row.suspect).ok()?;
        Some(&self.rows[at])
    }
}

/// Returns the number of answers with a suspect, of counts in order of the suspects.
fn count_of(proofs: &[(Suspect, u32)], suspect: Suspect) -> u32 {
    proofs.binary_search_by_key(&suspect, |row| row.0).map_or(0, |at| proofs[at].1)
}
