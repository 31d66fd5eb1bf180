//! Which requests are to blame.
//!
//! Load: one request ends each server that runs it and comes again at any instance, beside sound
//! requests, of which some run at several of the servers that end.

use super::{
    Suspect,
    candidate::{Candidate, MAX_COINCIDENCES},
};

/// Returns the requests that are to blame among the candidates, given the `parts` that are
/// candidates, and adds the others to `acquitted`.
pub fn judge<'a>(
    requests: Vec<Candidate<'a>>,
    parts: &[Candidate<'a>],
    acquitted: &mut Vec<Suspect>,
) -> Vec<Candidate<'a>> {
    let has_only_run_beside: Vec<bool> =
        requests.iter().map(|one| has_only_run_beside(one, &requests, parts)).collect();
    let mut blamed = Vec::new();
    for (one, is_acquitted) in requests.into_iter().zip(has_only_run_beside) {
        if is_acquitted { acquitted.push(one.suspect) } else { blamed.push(one) }
    }
    blamed
}

/// Returns whether a request ran beside others at every server that ended under it, and the evidence
/// against those is no weaker.
fn has_only_run_beside(
    one: &Candidate<'_>,
    requests: &[Candidate<'_>],
    parts: &[Candidate<'_>],
) -> bool {
    let is_weaker = |other: &&Candidate<'_>| {
        other.suspect != one.suspect
            && other.record.proofs <= one.record.proofs
            && (other.runs.len(), other.requests) >= (one.runs.len(), one.requests)
    };
    // A part of the request itself is no other reason for its ends.
    let parts = parts.iter().filter(|part| !one.shares_requests(part));
    let others: Vec<_> = requests.iter().chain(parts).filter(is_weaker).collect();
    one.runs.len() < MAX_COINCIDENCES
        && one.runs.iter().all(|run| others.iter().any(|other| other.has_ended(run)))
}
