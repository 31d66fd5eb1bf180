//! Which requests are to blame.
//!
//! Load: one request ends each server that runs it and comes again at any instance, beside sound
//! requests, of which some run at several of the servers that end.

use {
    super::{
        End, Suspect,
        candidate::{Candidate, MAX_COINCIDENCES},
    },
    crate::quarantine::evidence::ServerRun,
};

/// Number of servers without another explanation from which an ambiguous request is to blame.
const MIN_UNEXPLAINED: usize = 2;
/// Part of the servers of a request from which another one that waited beside it may have ended them as
/// well, as a divisor.
const COMPARABLE_PART: usize = 2;

/// Returns the requests that are to blame for `ends` among the candidates, and adds the others to
/// `acquitted`. `waiting` are ambiguous requests against which there is too little evidence so far, and
/// `parts` are candidates.
pub fn judge<'a>(
    ends: &[&End],
    requests: Vec<Candidate<'a>>,
    waiting: &[Candidate<'a>],
    parts: &[Candidate<'a>],
    acquitted: &mut Vec<Suspect>,
) -> Vec<Candidate<'a>> {
    let is_acquitted: Vec<bool> = requests
        .iter()
        .map(|one| {
            // A part of the request itself is no other reason for its ends.
            let parts = parts.iter().filter(|part| !one.shares_requests(part));
            let others =
                requests.iter().chain(waiting).filter(|other| other.suspect != one.suspect);
            let others: Vec<_> = others.chain(parts).collect();
            if one.record.is_answered {
                has_company(one, ends)
            } else if one.is_ambiguous() {
                has_only_waited_beside(one, &others)
            } else {
                has_only_run_beside(one, &others)
            }
        })
        .collect();
    let mut blamed = Vec::new();
    for (one, is_acquitted) in requests.into_iter().zip(is_acquitted) {
        if is_acquitted { acquitted.push(one.suspect) } else { blamed.push(one) }
    }
    blamed
}

/// Returns whether a request ran beside others at every server that ended under it, and the evidence
/// against those is no weaker.
fn has_only_run_beside(one: &Candidate<'_>, others: &[&Candidate<'_>]) -> bool {
    let is_no_weaker = |other: &&&Candidate<'_>| {
        other.record.proofs <= one.record.proofs && other.extent() >= one.extent()
    };
    let others: Vec<_> = others.iter().filter(is_no_weaker).collect();
    one.runs.len() < MAX_COINCIDENCES
        && one.runs.iter().all(|run| others.iter().any(|other| other.has_ended(run)))
}

/// Returns whether a request that was not answered may only have waited beside others which ended its
/// servers. Those were not answered either, and about as many servers ended under them, as requests that
/// only wait meet the one to blame at some of its servers.
fn has_only_waited_beside(one: &Candidate<'_>, others: &[&Candidate<'_>]) -> bool {
    let may_explain = |other: &&&Candidate<'_>| {
        !other.record.is_answered && other.runs.len() * COMPARABLE_PART >= one.runs.len()
    };
    let others: Vec<_> = others.iter().filter(may_explain).collect();
    let is_weaker = others.iter().any(|other| other.extent() > one.extent());
    if one.is_certain() && !is_weaker {
        return false;
    }
    let is_open = |run: &&_| !others.iter().any(|other| other.has_ended(run));
    one.runs.iter().filter(is_open).count() < MIN_UNEXPLAINED
}

/// Returns whether others, whatever they are, were at half of the servers of a request that was answered.
fn has_company(one: &Candidate<'_>, ends: &[&End]) -> bool {
    let is_alone = |run: &&ServerRun<'_>| {
        let mut ends = ends.iter().filter(|end| end.server_run() == **run);
        ends.all(|end| end.request_suspect() == Some(one.suspect))
    };
    let alone = one.runs.iter().filter(is_alone).count();
    alone < MIN_UNEXPLAINED || alone * 2 <= one.runs.len()
}
