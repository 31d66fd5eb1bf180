//! The evidence against one suspect.

use {
    crate::{
        message::Digest,
        quarantine::evidence::{End, ServerRun, Suspect},
    },
    hawthornmount_core::id::RequestId,
};

/// Number of servers that have to end under a part before it is blamed, and of different requests.
pub const MIN_PART_SERVERS: usize = 4;
const MIN_PART_REQUESTS: usize = 2;
/// Number of servers that have to end under a request before it is blamed.
pub const MIN_REQUEST_SERVERS: usize = 3;
/// Number of times that it has to come for that, as long as others may still explain its ends. Callers
/// send a sound request again once.
const MIN_REPEATS: usize = 3;
/// Number of times that an ambiguous request has to come. Callers send a stream that broke off again a
/// few times.
const MIN_AMBIGUOUS_REPEATS: usize = 4;
/// Number of servers at work on a request that outweigh one at which it may only have waited.
const WORKED_PER_WAITED: usize = 3;
/// Number of servers, and of times that it has to come, from which those beside an ambiguous request are
/// no longer taken for the reason.
const MIN_CERTAIN_SERVERS: usize = 6;
const MIN_CERTAIN_REPEATS: usize = 6;
/// Number of servers that one answer which went on outweighs.
pub const SERVERS_PER_PROOF: usize = 4;
/// Number of servers from which it is no coincidence that requests ran beside others.
pub const MAX_COINCIDENCES: usize = 6;

/// What is known of a suspect apart from the ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Number of answers that went on.
    pub proofs: u32,
    /// Whether the other instances have had time to report ends that may explain its own.
    pub is_settled: bool,
    /// Whether an answer to the request was seen, before its servers ended or since.
    pub is_answered: bool,
    /// Ends on which the other instances have had time to report what explains them.
    pub settled: Extent,
}

/// Numbers of servers that ended under a suspect, and of the times that it came.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Extent {
    /// Number of servers.
    pub servers: usize,
    /// Number of different ids of requests.
    pub requests: usize,
}

impl Extent {
    /// Counts the servers and the requests of ends.
    pub fn new(ends: &[&End]) -> Self {
        let servers = distinct(ends.iter().map(|end| end.server_run())).len();
        Self { servers, requests: distinct(ends.iter().map(|end| &end.request)).len() }
    }
}

/// A suspect with the servers and requests that ended under it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub suspect: Suspect,
    /// Servers in order.
    pub runs: Vec<ServerRun<'a>>,
    /// Number of servers among them that were certainly at work on the request.
    pub worked: usize,
    /// Servers with the requests under which they ended, in order.
    pub ends: Vec<(ServerRun<'a>, &'a RequestId)>,
    /// The ends under it.
    pub evidence: Vec<&'a End>,
    /// Number of different requests that have the part, or how often the request came.
    pub requests: usize,
    /// Whether the part begins a prompt.
    pub is_first: bool,
    /// Whether the suspect was in quarantine before, so that one more end is enough.
    pub is_on_probation: bool,
    pub record: Record,
}

impl Candidate<'_> {
    /// Returns whether there is enough evidence against the suspect.
    pub fn is_blamed(&self) -> bool {
        let (found, needed) = match self.suspect {
            _ if self.is_ambiguous() => (self.record.settled, self.needed_if_ambiguous()),
            _ if self.is_on_probation => (self.extent(), (1, 1)),
            Suspect::Part(_) => (self.extent(), (MIN_PART_SERVERS, MIN_PART_REQUESTS)),
            Suspect::Request(_) if self.record.is_settled => {
                (self.extent(), (MIN_REQUEST_SERVERS, 1))
            }
            Suspect::Request(_) => (self.extent(), (MIN_REQUEST_SERVERS, MIN_REPEATS)),
        };
        let servers = needed.0 + SERVERS_PER_PROOF * self.record.proofs as usize;
        found.servers >= servers && found.requests >= needed.1
    }

    /// Returns the numbers of servers and of requests that are needed to blame an ambiguous request.
    const fn needed_if_ambiguous(&self) -> (usize, usize) {
        if self.is_on_probation { (2, 2) } else { (MIN_REQUEST_SERVERS, MIN_AMBIGUOUS_REPEATS) }
    }

    /// Returns whether the request may be sound: it may only have waited at servers that ended, or was
    /// answered.
    pub const fn is_ambiguous(&self) -> bool {
        if matches!(self.suspect, Suspect::Part(_)) {
            return false;
        }
        let waited = self.runs.len() - self.worked;
        self.record.is_answered || waited * WORKED_PER_WAITED >= self.worked
    }

    /// Returns the servers that ended under it, and how often it came.
    pub const fn extent(&self) -> Extent {
        Extent { servers: self.runs.len(), requests: self.requests }
    }

    /// Returns whether an ambiguous request came so often, and so many servers ended under it, that it is no
    /// coincidence.
    pub const fn is_certain(&self) -> bool {
        !self.record.is_answered
            && self.runs.len() >= MIN_CERTAIN_SERVERS
            && self.requests >= MIN_CERTAIN_REPEATS
    }

    /// Returns whether a request has the part that `other` is, or the other way round.
    pub fn shares_requests(&self, other: &Self) -> bool {
        self.evidence.iter().any(|end| end.suspects().any(|one| one == other.suspect))
    }

    /// Returns whether a server ended under the suspect.
    pub fn has_ended(&self, run: &ServerRun<'_>) -> bool {
        self.runs.binary_search(run).is_ok()
    }
}

/// What tells requests from each other.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Identity<'a> {
    Digest(Digest),
    /// Only the id is known.
    Id(&'a RequestId),
}

/// Returns the suspects under which several servers ended, in their order. Those in `probation` were in
/// quarantine before, so that one is enough.
pub fn candidates<'a>(
    ends: &[&'a End],
    probation: &[Suspect],
    record: impl Fn(Suspect) -> Record,
) -> impl Iterator<Item = Candidate<'a>> {
    let candidate = move |(suspect, rows): (Suspect, Vec<Row<'a>>)| {
        let is_on_probation = probation.binary_search(&suspect).is_ok();
        let runs = runs(&rows);
        if runs.len() < MIN_REQUEST_SERVERS && !is_on_probation {
            return None;
        }
        let evidence: Vec<&'a End> = rows.iter().map(|row| row.end).collect();
        let mut ends: Vec<_> =
            evidence.iter().map(|end| (end.server_run(), &end.request)).collect();
        ends.sort_unstable();
        Some(Candidate {
            suspect,
            worked: worked(suspect, &rows),
            runs,
            ends,
            requests: count_requests(suspect, &evidence),
            evidence,
            is_first: rows.iter().any(|row| row.is_first),
            is_on_probation,
            record: record(suspect),
        })
    };
    groups(ends).into_iter().filter_map(candidate)
}

/// Returns the suspects of ends with the number of servers that ended under each, in their order.
pub fn counts(ends: &[&End]) -> Vec<(Suspect, usize)> {
    groups(ends).into_iter().map(|(suspect, rows)| (suspect, runs(&rows).len())).collect()
}

/// An end under a suspect.
#[derive(Clone, Copy)]
struct Row<'a> {
    suspect: Suspect,
    end: &'a End,
    /// Whether the suspect is the first of the request.
    is_first: bool,
}

/// Returns the ends under each suspect, in order of the suspects.
fn groups<'a>(ends: &[&'a End]) -> Vec<(Suspect, Vec<Row<'a>>)> {
    let row = |end: &'a End| {
        let suspects = end.suspects().enumerate();
        suspects.map(move |(at, suspect)| Row { suspect, end, is_first: at == 0 })
    };
    let mut rows: Vec<Row<'a>> = ends.iter().copied().flat_map(row).collect();
    rows.sort_by_key(|row| row.suspect);
    let group = |rows: &[Row<'a>]| (rows[0].suspect, rows.to_vec());
    rows.chunk_by(|a, b| a.suspect == b.suspect).map(group).collect()
}

/// Returns the runs of the servers that ended, in order.
fn runs<'a>(rows: &[Row<'a>]) -> Vec<ServerRun<'a>> {
    distinct(rows.iter().map(|row| row.end.server_run()))
}

/// Returns the number of servers that were certainly at work on a request when they ended; parts are not
/// counted.
fn worked(suspect: Suspect, rows: &[Row<'_>]) -> usize {
    if matches!(suspect, Suspect::Part(_)) {
        return 0;
    }
    let worked = rows.iter().filter(|row| row.end.waiting.is_none());
    distinct(worked.map(|row| row.end.server_run())).len()
}

/// Returns in how many different requests a part is, or how often a request came.
fn count_requests(suspect: Suspect, evidence: &[&End]) -> usize {
    let evidence = evidence.iter();
    match suspect {
        // The same request is not different because its caller sent it again.
        Suspect::Part(_) => distinct(evidence.map(|end| match end.digest.or(end.waiting) {
            Some(digest) => Identity::Digest(digest),
            None => Identity::Id(&end.request),
        }))
        .len(),
        Suspect::Request(_) => distinct(evidence.map(|end| &end.request)).len(),
    }
}

/// Returns the different items, in order.
pub fn distinct<T: Ord>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut items: Vec<T> = items.collect();
    items.sort_unstable();
    items.dedup();
    items
}
