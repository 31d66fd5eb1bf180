//! Which parts are to blame for ends of servers.
//!
//! A server ends once, under one request, but the answers of others may break off in the same moment
//! right after their own heads. Parts are therefore blamed one after the other, those without proofs
//! and with the most servers first, and a blamed part explains the ends of all servers that ended
//! under it.

use {super::evidence::End, crate::message::PartId, std::cmp::Reverse};

/// Number of servers that have to end under a part before it is blamed, and of requests.
const MIN_SERVERS: usize = 3;
const MIN_REQUESTS: usize = 2;
/// Number of servers that one answer which went on outweighs.
const SERVERS_PER_PROOF: usize = 4;
/// Number of servers from which a part without proofs is suspect.
pub const SUSPECT_SERVERS: usize = 2;

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

#[derive(Clone, Copy, Debug)]
struct Candidate {
    part: PartId,
    servers: usize,
    requests: usize,
    proofs: u32,
    /// Whether the part begins a prompt.
    is_first: bool,
}

impl Candidate {
    /// Returns how strongly the evidence speaks against the part.
    const fn weight(&self) -> (Reverse<u32>, usize, usize) {
        (Reverse(self.proofs), self.servers, self.requests)
    }
}

/// Returns the parts that are to blame for the ends.
pub fn blame(ends: &[&End], record: impl Fn(PartId) -> Record) -> Vec<Blamed> {
    let mut open = ends.to_vec();
    let mut blamed = Vec::new();
    loop {
        let candidates = candidates(&open, &record);
        let Some(weight) = candidates.iter().map(Candidate::weight).max() else { return blamed };
        let worst: Vec<&Candidate> =
            candidates.iter().filter(|candidate| candidate.weight() == weight).collect();
        // Most requests share the first part, so another one that explains the same is to blame.
        let spares_first = worst.iter().any(|candidate| !candidate.is_first);
        for candidate in worst.iter().filter(|candidate| !(spares_first && candidate.is_first)) {
            let (part, servers) = (candidate.part, candidate.servers);
            blamed.push(Blamed { part, servers });
        }
        let is_explained = |end: &&&End| {
            end.parts.iter().any(|part| blamed.iter().any(|blamed| blamed.part == *part))
        };
        let explained: Vec<_> =
            open.iter().filter(is_explained).map(|end| end.server_run()).collect();
        open.retain(|end| !explained.contains(&end.server_run()));
    }
}

/// Returns the number of servers that ended under a part.
pub fn servers(ends: &[&End], part: PartId) -> usize {
    let of_part = ends.iter().filter(|end| end.parts.contains(&part));
    distinct(of_part.map(|end| end.server_run()))
}

/// Returns whether the answers with a part that went on outweigh the servers that ended under it.
pub const fn is_cleared(servers: usize, proofs: u32) -> bool {
    proofs > 0 && servers < MIN_SERVERS + SERVERS_PER_PROOF * proofs as usize
}

/// Returns the parts against which there is enough evidence.
fn candidates(ends: &[&End], record: &impl Fn(PartId) -> Record) -> Vec<Candidate> {
    let mut parts: Vec<PartId> = ends.iter().flat_map(|end| end.parts.iter().copied()).collect();
    parts.sort_unstable();
    parts.dedup();
    let candidate = |part: PartId| {
        let of_part = || ends.iter().filter(|end| end.parts.contains(&part));
        let Record { proofs, is_on_probation } = record(part);
        let candidate = Candidate {
            part,
            servers: distinct(of_part().map(|end| end.server_run())),
            requests: distinct(of_part().map(|end| &end.request)),
            proofs,
            is_first: of_part().any(|end| end.parts.first() == Some(&part)),
        };
        let (servers, requests) =
            if is_on_probation { (1, 1) } else { (MIN_SERVERS, MIN_REQUESTS) };
        let needed = servers + SERVERS_PER_PROOF * proofs as usize;
        (candidate.servers >= needed && candidate.requests >= requests).then_some(candidate)
    };
    parts.into_iter().filter_map(candidate).collect()
}

fn distinct<T: Ord>(items: impl Iterator<Item = T>) -> usize {
    let mut items: Vec<T> = items.collect();
    items.sort_unstable();
    items.dedup();
    items.len()
}
