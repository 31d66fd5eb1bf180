//! Which parts are to blame for ends of servers.
//!
//! A server ends once, under one request, but that request has several parts, and the answers of other
//! requests may break off in the same moment right after their own heads. Every part against which
//! there is enough evidence is a candidate. A candidate is acquitted if other ones, with no more
//! proofs in their favour, explain its ends: such a part is often used together with bad ones, or its
//! requests ran beside theirs. The latter is a coincidence and explains few ends only; the requests of
//! several bad parts often run beside each other.

use {
    super::evidence::{End, ServerRun},
    crate::message::PartId,
    hawthornmount_core::id::RequestId,
    std::cmp::Reverse,
};

/// Number of servers that have to end under a part before it is blamed, and of requests.
const MIN_SERVERS: usize = 4;
const MIN_REQUESTS: usize = 2;
/// Number of servers that one answer which went on outweighs.
const SERVERS_PER_PROOF: usize = 4;
/// Number of servers from which a part without proofs is suspect.
pub const SUSPECT_SERVERS: usize = 2;
/// Number of servers for which no other candidate is to blame, from which a candidate is not
/// acquitted.
const MIN_UNEXPLAINED: usize = 2;

/// Number of servers from which it is no coincidence that the requests with a part ran beside others.
const MAX_COINCIDENCES: usize = 6;

/// What is known of a part apart from the ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Number of answers that went on.
    pub proofs: u32,
    /// Whether the part was in quarantine before, so that one more end is enough.
    pub is_on_probation: bool,
}

/// A part that is to blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Blamed {
    /// The part.
    pub part: PartId,
    /// Number of servers that ended under it.
    pub servers: usize,
}

/// The parts that are to blame, and those that are not although there is enough evidence.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Parts to blame, in order of their ids.
    pub blamed: Vec<Blamed>,
    /// Parts whose ends the blamed ones explain.
    pub acquitted: Vec<PartId>,
}

/// A part with the servers and requests that ended under it, in order.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    part: PartId,
    runs: Vec<ServerRun<'a>>,
    /// Servers with the requests under which they ended, in order.
    ends: Vec<(ServerRun<'a>, &'a RequestId)>,
    requests: usize,
    /// Whether the part begins a prompt.
    is_first: bool,
    record: Record,
}

impl Candidate<'_> {
    /// Returns whether there is enough evidence against the part.
    fn is_blamed(&self) -> bool {
        let (servers, requests) =
            if self.record.is_on_probation { (1, 1) } else { (MIN_SERVERS, MIN_REQUESTS) };
        let needed = servers + SERVERS_PER_PROOF * self.record.proofs as usize;
        self.runs.len() >= needed && self.requests >= requests
    }

    /// Returns whether another candidate may explain the ends under this one.
    fn is_explained_by(&self, other: &Self) -> bool {
        if other.part == self.part || other.record.proofs > self.record.proofs {
            return false;
        }
        // Parts that can't be told apart don't acquit each other, except that most requests share
        // the first part.
        other.runs != self.runs || self.is_first && !other.is_first
    }

    /// Returns the number of servers that ended under this part and under none of the others.
    fn unexplained(&self, others: &[Self]) -> usize {
        let others: Vec<&Self> =
            others.iter().filter(|other| self.is_explained_by(other)).collect();
        let is_same_request = |run: &&ServerRun<'_>| {
            let mut ends = self.ends.iter().filter(|end| end.0 == **run);
            ends.any(|end| others.iter().any(|other| other.ends.binary_search(end).is_ok()))
        };
        let mut open: Vec<_> = self.runs.iter().filter(|run| !is_same_request(run)).collect();
        if open.len() < MAX_COINCIDENCES {
            let is_beside = |run| others.iter().any(|other| other.runs.binary_search(run).is_ok());
            open.retain(|run| !is_beside(run));
        }
        open.len()
    }
}

/// Returns the parts that are to blame for the ends.
pub fn judge(ends: &[&End], record: impl Fn(PartId) -> Record) -> Verdict {
    let mut acquitted = Vec::new();
    let mut candidates = candidates(ends, &record);
    while let Some(at) = weakest(&candidates) {
        acquitted.push(candidates.remove(at).part);
    }
    let blamed = |one: Candidate<'_>| Blamed { part: one.part, servers: one.runs.len() };
    let mut blamed: Vec<Blamed> = candidates.into_iter().map(blamed).collect();
    blamed.sort_unstable_by_key(|one| one.part);
    Verdict { blamed, acquitted }
}

/// Returns the candidate against which the evidence is weakest, if others explain its ends.
fn weakest(candidates: &[Candidate<'_>]) -> Option<usize> {
    let unexplained = |one: &Candidate<'_>| {
        let needed = if one.record.is_on_probation { 1 } else { MIN_UNEXPLAINED };
        Some(one.unexplained(candidates)).filter(|count| *count < needed)
    };
    let rows = candidates.iter().enumerate().filter_map(|(at, one)| {
        let weight = (unexplained(one)?, Reverse(one.record.proofs), Reverse(one.runs.len()));
        Some((weight, at))
    });
    rows.min().map(|(_, at)| at)
}

/// Returns whether servers ended under a part, and all of them under one of the `others` too.
pub fn is_explained(ends: &[&End], part: PartId, others: &[PartId]) -> bool {
    let own = runs(ends, |one| one == part);
    let explained = runs(ends, |one| one != part && others.contains(&one));
    !own.is_empty() && own.iter().all(|run| explained.binary_search(run).is_ok())
}

/// Returns the number of servers that ended under a part.
pub fn servers(ends: &[&End], part: PartId) -> usize {
    runs(ends, |one| one == part).len()
}

/// Returns whether the answers with a part that went on outweigh the servers that ended under it.
pub const fn is_cleared(servers: usize, proofs: u32) -> bool {
    proofs > 0 && servers < MIN_SERVERS + SERVERS_PER_PROOF * proofs as usize
}

/// Returns the parts of ends with the number of servers that ended under each, in order of the parts.
pub fn counts(ends: &[&End]) -> Vec<(PartId, usize)> {
    groups(ends, &|_| Record::default()).map(|one| (one.part, one.runs.len())).collect()
}

/// Returns the parts against which there is enough evidence.
fn candidates<'a>(ends: &[&'a End], record: &impl Fn(PartId) -> Record) -> Vec<Candidate<'a>> {
    groups(ends, record).filter(Candidate::is_blamed).collect()
}

/// Returns the evidence against each part, in order of the parts.
fn groups<'a>(
    ends: &[&'a End],
    record: &impl Fn(PartId) -> Record,
) -> impl Iterator<Item = Candidate<'a>> {
    let row = |end: &'a End| {
        let parts = end.parts.iter().enumerate();
        parts.map(move |(at, part)| (*part, end.server_run(), &end.request, at == 0))
    };
    let mut rows: Vec<(PartId, ServerRun<'a>, &'a RequestId, bool)> =
        ends.iter().copied().flat_map(row).collect();
    rows.sort_unstable();
    let candidate = |rows: &[(PartId, ServerRun<'a>, &'a RequestId, bool)]| {
        let mut runs: Vec<_> = rows.iter().map(|row| row.1).collect();
        runs.dedup();
        let ends = rows.iter().map(|row| (row.1, row.2)).collect();
        let mut requests: Vec<_> = rows.iter().map(|row| row.2).collect();
        requests.sort_unstable();
        requests.dedup();
        Candidate {
            part: rows[0].0,
            runs,
            ends,
            requests: requests.len(),
            is_first: rows.iter().any(|row| row.3),
            record: record(rows[0].0),
        }
    };
    let groups: Vec<_> = rows.chunk_by(|a, b| a.0 == b.0).map(candidate).collect();
    groups.into_iter()
}

/// Returns the runs of servers that ended under a part for which `is_so` holds, in order.
fn runs<'a>(ends: &[&'a End], is_so: impl Fn(PartId) -> bool) -> Vec<ServerRun<'a>> {
    let ended = ends.iter().filter(|end| end.parts.iter().any(|part| is_so(*part)));
    let mut runs: Vec<_> = ended.map(|end| end.server_run()).collect();
    runs.sort_unstable();
    runs.dedup();
    runs
}
