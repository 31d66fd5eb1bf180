//! Quarantine of requests, and of parts of prompts, that end servers.
//!
//! Load: a request ends every server that runs it, and comes again at any instance with other ids. Or a
//! part of a prompt ends every server that begins to write an answer on it, whatever else the request
//! holds; requests with the part arrive at all instances, no two alike, and share their other parts
//! with sound requests. A server that ends also breaks the answers of all requests that run on it.
//!
//! - A request is evidence against itself if it got no answer and its server has ended
//!   ([`detector::Detector`]). It is evidence against its parts if its answer broke off right after its
//!   head ([`start::Start`]), or had not begun and its server has ended.
//!   Streams whose answer had been running are no evidence. Those whose answer had not begun may only
//!   have waited at the server, so that they are weaker evidence.
//! - An answer that went on for a while, or was complete, is a proof in favour of its request and its
//!   parts ([`proof::Counter`]).
//! - What is to blame is found over the ends that all instances know ([`verdict`]). Each instance
//!   writes the ends that it saw to a key of its own ([`evidence::Report`]), and decides by itself, so
//!   that an instance that is cut off uses its own evidence.
//! - A request under which three servers ended is not sent again to another one, whatever is to blame.
//! - A request that is in quarantine, or has a part that is, is rejected before it is sent. A quarantine
//!   ends after a fixed time, after which one more end renews it for twice the time, or when the proofs
//!   outweigh the ends.
//!
//! The module decides on observations and the time that its callers pass, except for
//! [`monitor::Monitor`], which shares the decisions between threads and logs them.

pub mod detector;
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
/// The same for a part without any proof, if the parts that came with it have some.
const MIN_PROOFS_IN_COMPANY: u32 = 3;
/// Time after the last end under a request in which other instances may report what explains it.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// The same for a request that may only have waited: the longest interval between two reports of an
/// instance, and that at which they are read.
const WAITING_SETTLING_TIME: Duration = Duration::from_millis(2_500);

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
    /// Requests that were answered, in their order.
    answered: Vec<Suspect>,
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
    /// The request is not sent again to another server.
    Suspected(Suspect),
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
    /// Streams that were answered, whether servers ended under them or not.
    answered: Counter,
    /// Reports of the other instances, in order of their names.
    reports: Vec<Reported>,
    /// Suspects that are or were in quarantine, in their order.
    rows: Vec<Row>,
    /// Requests that are not sent again to another server, in their order.
    suspected: Vec<Suspect>,
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
            answered: Counter::new(now),
            reports: Vec::new(),
            rows: Vec::new(),
            suspected: Vec::new(),
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

    /// Returns whether a request may not be sent again to another server because several have ended under
    /// it.
    pub fn is_suspected(&self, suspect: Suspect) -> bool {
        self.suspected.binary_search(&suspect).is_ok()
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
        end.waiting_parts.truncate(MAX_PARTS);
        match self.ends.iter_mut().find(|known| known.end.is_same(&end)) {
            Some(known) if end.is_confirmed && !known.end.is_confirmed => {
                known.end.is_confirmed = true;
            }
            Some(_) => return Vec::new(),
            None if end.suspects().next().is_none() => return Vec::new(),
            None => {
                if self.ends.len() == MAX_OWN_ENDS {
                    self.ends.remove(self.least_telling(now));
                }
                self.ends.push(Known { end: end.clone(), at: now });
            }
        }
        self.is_report_due = true;
        // An end under what is in quarantine may explain those under others.
        let is_judged =
            end.waiting.is_none() || self.may_be_blamed(&end) || self.may_have_bad_part(&end, now);
        if is_judged { self.judge(now) } else { Vec::new() }
    }

    /// Records an answer that went on for a while or was complete.
    pub fn record_proof(&mut self, suspects: &[Suspect], now: Instant) -> Vec<Change> {
        for suspect in suspects {
            // Requests are too many to count, and most come once only.
            if matches!(suspect, Suspect::Part(_)) || self.has_ended_servers(*suspect) {
                self.proofs.add(*suspect, 1, now);
            }
        }
        let is_judged = suspects.iter().any(|one| self.is_suspected(*one))
            || self.find(suspects.iter().copied(), now).is_some();
        if !is_judged {
            return Vec::new();
        }
        // Other instances have the suspect in quarantine too.
        self.is_report_due = true;
        self.judge(now)
    }

    /// Records an answer to a stream, which shows later that the stream only waited at servers that end.
    pub fn record_answered(&mut self, request: Suspect, now: Instant) {
        self.answered.add(request, 1, now);
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
        let (own_before, before) = (self.ends.len(), self.all_ends().count());
        self.ends.retain(is_kept);
        // A report without ends replaces the last one, so that it is not taken for recent later.
        self.is_report_due |= own_before > 0 && self.ends.is_empty();
        for report in &mut self.reports {
            report.ends.retain(is_kept);
        }
        // Answers that went on since the last ends may clear a part.
        let is_contested = self.is_contested(&self.ends_in_force(now), now);
        self.is_report_due |= is_contested;
        let has_aged = self.all_ends().count() < before;
        if self.is_gathering(now) || has_aged && !self.suspected.is_empty() {
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Puts suspects into quarantine, or takes them out of it, according to the evidence.
    fn judge(&mut self, now: Instant) -> Vec<Change> {
        let known = self.known_in_force(now);
        let ends: Vec<&End> = known.iter().map(|known| &known.end).collect();
        let history = History::new(&known);
        let record = |suspect| {
            let proofs = self.proof_count(suspect, now);
            if matches!(suspect, Suspect::Part(_)) {
                return verdict::Record { proofs, ..verdict::Record::default() };
            }
            let known = history.of(suspect);
            verdict::Record {
                proofs,
                is_settled: !known.iter().any(|(_, known)| now < known.at + SETTLING_TIME),
                is_answered: self.is_answered(suspect, now),
                settled: settled(known, now),
            }
        };
        let probation = self.rows.iter().filter(|row| row.until <= now).map(|row| row.suspect);
        let probation: Vec<Suspect> = probation.collect();
        let verdict::Verdict { blamed, acquitted, suspected } =
            verdict::judge(&ends, &probation, record);
        let is_cleared = |one: &Suspect| {
            let (servers, proofs) = (verdict::servers(&ends, *one), self.proof_count(*one, now));
            acquitted.contains(one) || verdict::is_cleared(*one, servers, proofs)
        };
        let cleared: Vec<Suspect> = self.active(now).into_iter().filter(is_cleared).collect();
        let proofs = self.total_proofs(now);
        let has_proofs = |suspect| {
            proofs >= MIN_PROOFS
                || proofs >= MIN_PROOFS_IN_COMPANY && self.stands_out(suspect, &ends, now)
        };
        let is_contested = self.is_contested(&ends, now);
        let is_new = |blamed: &&verdict::Blamed| match self.row(blamed.suspect) {
            Some(row) => row.until <= now,
            None => matches!(blamed.suspect, Suspect::Request(_)) || has_proofs(blamed.suspect),
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
        let is_new = |one: &&Suspect| {
            !self.is_suspected(**one) && self.row(**one).is_none_or(|row| row.until <= now)
        };
        changes.extend(suspected.iter().filter(is_new).copied().map(Change::Suspected));
        self.suspected = suspected;
        changes
    }

    /// Returns whether no answer with a part went on, while some did with each other part of the requests
    /// under which servers ended with it.
    fn stands_out(&self, suspect: Suspect, ends: &[&End], now: Instant) -> bool {
        let is_under = |end: &&&End| end.suspects().any(|one| one == suspect);
        let mut company: Vec<Suspect> = ends
            .iter()
            .filter(is_under)
            .flat_map(|end| end.suspects())
            .filter(|one| matches!(one, Suspect::Part(_)) && *one != suspect)
            .collect();
        company.sort_unstable();
        company.dedup();
        let has_proof = |one: &Suspect| self.proof_count(*one, now) > 0;
        self.proof_count(suspect, now) == 0 && company.iter().all(has_proof)
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
            let is_answered = self.answered.count(*suspect, now) > 0
                && !self.is_reported_as_answered(*suspect, now)
                && !self.written.iter().any(|report| report.has_answered(*suspect));
            is_cleared(own) && !is_cleared(written) || is_answered
        };
        let counts = verdict::counts(ends);
        counts.iter().filter(|(_, servers)| *servers >= verdict::MIN_SERVERS).any(is_contested)
    }

    /// Returns the ends that count.
    fn ends_in_force(&self, now: Instant) -> Vec<&End> {
        self.known_in_force(now).into_iter().map(|known| &known.end).collect()
    }

    /// Returns the ends that count: recent ones, and those that led to a quarantine which lasts. Ends
    /// before a quarantine that is over don't count any more.
    fn known_in_force(&self, now: Instant) -> Vec<&Known> {
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
        known
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

    /// Returns whether a request was answered at any instance.
    fn is_answered(&self, suspect: Suspect, now: Instant) -> bool {
        self.answered.count(suspect, now) > 0 || self.is_reported_as_answered(suspect, now)
    }

    /// Returns whether other instances have reported that a request was answered.
    fn is_reported_as_answered(&self, suspect: Suspect, now: Instant) -> bool {
        let mut recent =
            self.reports.iter().filter(|row| now < row.received_at + EVIDENCE_LIFETIME);
        recent.any(|report| report.answered.binary_search(&suspect).is_ok())
    }

    /// Returns whether the request of an end may be suspected, as several servers ended under it or it was in
    /// quarantine before.
    fn may_be_blamed(&self, end: &End) -> bool {
        let Some(request) = end.request_suspect() else { return false };
        let is_under = |known: &&Known| known.end.request_suspect() == Some(request);
        self.row(request).is_some()
            || self.all_ends().filter(is_under).count() >= verdict::MIN_SERVERS
    }

    /// Returns whether a part of a request that may only have waited may be blamed.
    fn may_have_bad_part(&self, end: &End, now: Instant) -> bool {
        let ends: Vec<&End> = self.all_ends().map(|known| &known.end).collect();
        end.waiting_parts.iter().filter(|_| end.is_confirmed).any(|part| {
            let suspect = Suspect::Part(*part);
            let servers = verdict::servers(&ends, suspect);
            servers >= verdict::MIN_SERVERS
                && !verdict::is_cleared(suspect, servers, self.proof_count(suspect, now))
        })
    }

    /// Returns the place of the own end that says least: the oldest one of a request that was answered,
    /// else of those that came least often.
    fn least_telling(&self, now: Instant) -> usize {
        let arrival = |known: &Known| (known.end.request_suspect(), known.end.request.clone());
        let mut arrivals: Vec<_> = self.ends.iter().map(arrival).collect();
        arrivals.sort_unstable();
        arrivals.dedup();
        let weight = |known: &Known| {
            let request = known.end.request_suspect();
            let is_answered = request.is_some_and(|one| self.is_answered(one, now));
            let repeats = arrivals.iter().filter(|arrival| arrival.0 == request).count();
            if is_answered { 0 } else { repeats }
        };
        let weights = self.ends.iter().map(weight).enumerate();
        weights.min_by_key(|(at, weight)| (*weight, *at)).map_or(0, |(at, _)| at)
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

/// The ends that count under requests, by request.
struct History<'a>(Vec<(Suspect, &'a Known)>);

impl<'a> History<'a> {
    fn new(known: &[&'a Known]) -> Self {
        let row = |known: &&'a Known| {
            let request = known.end.request_suspect().filter(|_| known.end.is_confirmed);
            request.map(|request| (request, *known))
        };
        let mut rows: Vec<_> = known.iter().filter_map(row).collect();
        rows.sort_unstable_by_key(|row| row.0);
        Self(rows)
    }

    /// Returns the ends under a request.
    fn of(&self, suspect: Suspect) -> &[(Suspect, &'a Known)] {
        let from = self.0.partition_point(|row| row.0 < suspect);
        let to = self.0.partition_point(|row| row.0 <= suspect);
        &self.0[from..to]
    }
}

/// Returns the extent of the ends on which the other instances have had time to report.
fn settled(known: &[(Suspect, &Known)], now: Instant) -> verdict::Extent {
    let is_settled = |known: &&Known| now >= known.at + WAITING_SETTLING_TIME;
    let ends = known.iter().map(|row| row.1).filter(is_settled).map(|known| &known.end);
    verdict::Extent::new(&ends.collect::<Vec<_>>())
}

/// Returns the number of answers with a suspect, of counts in order of the suspects.
fn count_of(proofs: &[(Suspect, u32)], suspect: Suspect) -> u32 {
    proofs.binary_search_by_key(&suspect, |row| row.0).map_or(0, |at| proofs[at].1)
}
