//! Which requests and parts of prompts are to blame for ends of servers.
//!
//! A server ends once, under one request, but the answers of other requests break off in the same
//! moment, and a request has several parts. Everything against which there is enough evidence is a
//! candidate; candidates whose ends others explain are acquitted. Requests are judged first
//! (`request`): the same request seldom breaks at several servers by coincidence. A part is to blame
//! if servers ended under different requests with it (`part`).
//!
//! A stream without an answer may only have waited beside the request that ended its server, so that
//! it takes more to blame it. Meanwhile it is suspected, and not sent again to another server.

mod candidate;
mod part;
mod request;

pub use candidate::{Extent, Record, counts};

use {
    super::evidence::{End, Suspect},
    candidate::{
        Candidate, MIN_PART_SERVERS, MIN_REQUEST_SERVERS, SERVERS_PER_PROOF, candidates, distinct,
    },
};

/// Number of servers that have to end under any suspect before it is blamed.
pub const MIN_SERVERS: usize = MIN_REQUEST_SERVERS;

/// A suspect that is to blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Blamed {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of servers that ended under it.
    pub servers: usize,
}

/// The suspects that are to blame, and those that are not although there is enough evidence.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Suspects to blame, in their order.
    pub blamed: Vec<Blamed>,
    /// Suspects whose ends others explain.
    pub acquitted: Vec<Suspect>,
    /// Requests under which so many servers ended that they are not sent again to another one, in their
    /// order. Those to blame are among them.
    pub suspected: Vec<Suspect>,
}

/// Returns what is to blame for the ends. The suspects in `probation`, in order, were in quarantine
/// before.
pub fn judge(ends: &[&End], probation: &[Suspect], record: impl Fn(Suspect) -> Record) -> Verdict {
    let candidates: Vec<Candidate<'_>> = candidates(ends, probation, record).collect();
    let suspected: Vec<Suspect> =
        candidates.iter().filter(|one| is_suspected(one)).map(|one| one.suspect).collect();
    let (candidates, others): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(Candidate::is_blamed);
    let others: Vec<_> = others.into_iter().filter(Candidate::is_ambiguous).collect();
    let (parts, requests): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|one| matches!(one.suspect, Suspect::Part(_)));
    let mut acquitted = Vec::new();
    let requests = request::judge(ends, requests, &others, &parts, &mut acquitted);
    let parts = part::judge(parts, &requests, &mut acquitted);
    let blamed = |one: Candidate<'_>| Blamed { suspect: one.suspect, servers: one.runs.len() };
    let mut blamed: Vec<Blamed> = requests.into_iter().chain(parts).map(blamed).collect();
    blamed.sort_unstable_by_key(|one| one.suspect);
    Verdict { blamed, acquitted, suspected }
}

/// Returns whether as many servers ended under a request as three attempts, or as one if it was in
/// quarantine before.
fn is_suspected(one: &Candidate<'_>) -> bool {
    let servers = MIN_REQUEST_SERVERS + SERVERS_PER_PROOF * one.record.proofs as usize;
    matches!(one.suspect, Suspect::Request(_)) && (one.is_on_probation || one.runs.len() >= servers)
}

/// Returns the number of servers that ended under a suspect.
pub fn servers(ends: &[&End], suspect: Suspect) -> usize {
    let is_under = |end: &&&End| end.suspects().any(|one| one == suspect);
    distinct(ends.iter().filter(is_under).map(|end| end.server_run())).len()
}

/// Returns whether the answers with a suspect that went on outweigh the servers that ended under it.
pub const fn is_cleared(suspect: Suspect, servers: usize, proofs: u32) -> bool {
    let needed = match suspect {
        Suspect::Part(_) => MIN_PART_SERVERS,
        Suspect::Request(_) => MIN_REQUEST_SERVERS,
    };
    proofs > 0 && servers < needed + SERVERS_PER_PROOF * proofs as usize
}
