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
/// Number of times that it has to come for that, as long as others may still explain its ends.
const MIN_REPEATS: usize = 2;
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
}

/// A suspect with the servers and requests that ended under it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub suspect: Suspect,
    /// Servers in order.
    pub runs: Vec<ServerRun<'a>>,
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
        let needed = match self.suspect {
            _ if self.is_on_probation => (1, 1),
            Suspect::Part(_) => (MIN_PART_SERVERS, MIN_PART_REQUESTS),
            Suspect::Request(_) if self.record.is_settled => (MIN_REQUEST_SERVERS, 1),
            Suspect::Request(_) => (MIN_REQUEST_SERVERS, MIN_REPEATS),
        };
        let servers = needed.0 + SERVERS_PER_PROOF * self.record.proofs as usize;
        self.runs.len() >= servers && self.requests >= needed.1
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

/// Returns the suspects against which there is enough evidence, in their order. Those in `probation`
/// were in quarantine before.
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
            runs,
            ends,
            requests: count_requests(suspect, &evidence),
            evidence,
            is_first: rows.iter().any(|row| row.is_first),
            is_on_probation,
            record: record(suspect),
        })
    };
    groups(ends).into_iter().filter_map(candidate).filter(Candidate::is_blamed)
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
    let mut runs: Vec<_> = rows.iter().map(|row| row.end.server_run()).collect();
    runs.sort_unstable();
    runs.dedup();
    runs
}

/// Returns in how many different requests a part is, or how often a request came.
fn count_requests(suspect: Suspect, evidence: &[&End]) -> usize {
    let evidence = evidence.iter();
    match suspect {
        // The same request is not different because its caller sent it again.
        Suspect::Part(_) => count(evidence.map(|end| match end.digest {
            Some(digest) => Identity::Digest(digest),
            None => Identity::Id(&end.request),
        })),
        Suspect::Request(_) => count(evidence.map(|end| &end.request)),
    }
}

/// Returns the number of different items.
fn count<T: Ord>(items: impl Iterator<Item = T>) -> usize {
    let mut items: Vec<T> = items.collect();
    items.sort_unstable();
    items.dedup();
    items.len()
}
