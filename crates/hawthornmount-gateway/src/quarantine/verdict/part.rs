//! Which parts of prompts are to blame.
//!
//! Load: a part of a prompt ends every server that begins to write an answer on it, in requests that
//! are all different and share their other parts with sound requests. A candidate is acquitted if
//! other ones, with no more proofs in their favour, explain its ends: such a part is often used
//! together with bad ones, or its requests ran beside theirs. The latter is a coincidence and explains
//! few ends only; the requests of several bad parts often run beside each other. Requests that only wait
//! meet the bad one at any number of servers, so a part that was seen in such requests only is acquitted
//! whenever others explain its ends.

use {
    super::{
        Suspect,
        candidate::{Candidate, MAX_COINCIDENCES},
    },
    crate::quarantine::evidence::ServerRun,
    std::cmp::Reverse,
};

/// Number of servers for which no other candidate is to blame, from which a candidate is not
/// acquitted.
const MIN_UNEXPLAINED: usize = 2;

/// Returns the parts that are to blame among the candidates, given the `requests` that are, and adds
/// the others to `acquitted`.
pub fn judge<'a>(
    mut parts: Vec<Candidate<'a>>,
    requests: &[Candidate<'a>],
    acquitted: &mut Vec<Suspect>,
) -> Vec<Candidate<'a>> {
    let is_acquitted = |part: &mut Candidate<'_>| part.is_explained_by_requests(requests);
    acquitted.extend(parts.extract_if(.., is_acquitted).map(|part| part.suspect));
    while let Some(at) = weakest(&parts) {
        acquitted.push(parts.remove(at).suspect);
    }
    parts
}

impl<'a> Candidate<'a> {
    /// Returns the number of servers that have to end without another explanation for blame.
    const fn min_unexplained(&self) -> usize {
        if self.is_on_probation { 1 } else { MIN_UNEXPLAINED }
    }

    /// Returns whether requests are to blame for the ends under this part: one that has the part, or
    /// those beside which the requests with the part ran.
    fn is_explained_by_requests(&self, requests: &[Self]) -> bool {
        let (own, others): (Vec<&Self>, Vec<&Self>) =
            requests.iter().partition(|request| request.shares_requests(self));
        // Several bad requests with the part would be no coincidence.
        let not_under = |request: &Self| -> Vec<&ServerRun<'_>> {
            let is_under = |run: &&ServerRun<'_>| {
                let mut ends = self.evidence.iter().filter(|end| end.server_run() == **run);
                request.has_ended(run)
                    || ends.any(|end| end.request_suspect() == Some(request.suspect))
            };
            self.runs.iter().filter(|run| !is_under(run)).collect()
        };
        let rest = own.into_iter().map(not_under).min_by_key(Vec::len);
        let open = rest.unwrap_or_else(|| self.runs.iter().collect());
        self.without_coincidences(open, &others).len() < self.min_unexplained()
    }

    /// Returns whether another candidate may explain the ends under this one.
    fn is_explained_by(&self, other: &Self) -> bool {
        if other.suspect == self.suspect || other.record.proofs > self.record.proofs {
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
        let open: Vec<_> = self.runs.iter().filter(|run| !is_same_request(run)).collect();
        self.without_coincidences(open, &others).len()
    }

    /// Returns the servers that did not end under one of the `others` too, unless there are too many for
    /// a coincidence.
    fn without_coincidences<'b>(
        &self,
        mut runs: Vec<&'b ServerRun<'a>>,
        others: &[&Self],
    ) -> Vec<&'b ServerRun<'a>> {
        if runs.len() < MAX_COINCIDENCES || self.has_only_waited() {
            runs.retain(|run| !others.iter().any(|other| other.has_ended(run)));
        }
        runs
    }

    /// Returns whether the answers to all requests with this part had not begun.
    fn has_only_waited(&self) -> bool {
        let Suspect::Part(part) = self.suspect else { return false };
        self.evidence.iter().all(|end| end.waiting_parts.contains(&part))
    }
}

/// Returns the candidate against which the evidence is weakest, if others explain its ends.
fn weakest(candidates: &[Candidate<'_>]) -> Option<usize> {
    let unexplained = |one: &Candidate<'_>| {
        Some(one.unexplained(candidates)).filter(|count| *count < one.min_unexplained())
    };
    let rows = candidates.iter().enumerate().filter_map(|(at, one)| {
        let weight = (unexplained(one)?, Reverse(one.record.proofs), Reverse(one.runs.len()));
        Some((weight, at))
    });
    rows.min().map(|(_, at)| at)
}
