//! Blocks of one answer of the candidate and those of the stable version on the same server.

use {
    super::{
        bet::{self, Wealth},
        signal::Signal,
    },
    hawthornmount_core::{id::ServerId, snapshot::Release},
    std::collections::VecDeque,
};

/// Most answers of the stable version in a block.
const MAX_STABLE: usize = 32;
/// Most answers of the candidate that wait for one of the stable version.
const MAX_CANDIDATE: usize = 16;
/// Odds ratio of failures that is not held against a candidate.
const TOLERATED_FAILURES: f64 = 1.5;
/// Odds ratio of bad ratings that is not held against a candidate.
const TOLERATED_RATINGS: f64 = 1.15;
/// Odds ratio of slow answers that is not held against a candidate.
const TOLERATED_SLOWNESS: f64 = 3.0;
/// Odds ratios of failures and slow answers that a bad version may have.
const EXPECTED: Wealth = [4.0, 12.0, 40.0, 120.0];
/// Odds ratios of bad ratings that a bad version may have.
const EXPECTED_RATINGS: Wealth = [1.8, 3.0, 5.0, 12.0];

/// Answers of one server that wait for their counterpart.
#[derive(Debug)]
struct Queue {
    candidate: Release,
    server: ServerId,
    signal: Signal,
    fresh: VecDeque<f64>,
    stable: VecDeque<f64>,
}

/// Pairs answers of candidates with answers of the stable version. Each answer is used once.
#[derive(Debug, Default)]
pub struct Pairs {
    queues: Vec<Queue>,
}

impl Pairs {
    /// Takes whether an answer was bad, as 0 or 1, and returns what a block that became whole adds.
    pub fn take(
        &mut self,
        candidate: &Release,
        server: &ServerId,
        signal: Signal,
        is_candidate: bool,
        badness: f64,
    ) -> Option<Wealth> {
        let queue = self.queue(candidate, server, signal);
        if is_candidate {
            bounded(&mut queue.fresh, badness, MAX_CANDIDATE);
        } else {
            bounded(&mut queue.stable, badness, MAX_STABLE);
        }
        if queue.fresh.is_empty() || queue.stable.is_empty() {
            return None;
        }
        let fresh = queue.fresh.pop_front()?;
        let stable: Vec<f64> = queue.stable.drain(..).collect();
        Some(block(signal, fresh, &stable))
    }

    fn queue(&mut self, candidate: &Release, server: &ServerId, signal: Signal) -> &mut Queue {
        let key = (candidate, server, signal);
        let found =
            self.queues.binary_search_by(|one| (&one.candidate, &one.server, one.signal).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let queue = Queue {
                candidate: candidate.clone(),
                server: server.clone(),
                signal,
                fresh: VecDeque::new(),
                stable: VecDeque::new(),
            };
            self.queues.insert(at, queue);
            at
        });
        &mut self.queues[at]
    }
}

fn bounded(queue: &mut VecDeque<f64>, badness: f64, limit: usize) {
    queue.push_back(badness);
    if queue.len() > limit {
        queue.pop_front();
    }
}

fn block(signal: Signal, fresh: f64, stable: &[f64]) -> Wealth {
    let is_bad = |badness: f64| badness > 0.5;
    let bad = stable.iter().filter(|one| is_bad(**one)).count() + usize::from(is_bad(fresh));
    let (tolerated, expected) = match signal {
        Signal::Failure => (TOLERATED_FAILURES, EXPECTED),
        Signal::Rating => (TOLERATED_RATINGS, EXPECTED_RATINGS),
        Signal::Latency => (TOLERATED_SLOWNESS, EXPECTED),
    };
    bet::block(is_bad(fresh), bad, stable.len() + 1, tolerated, &expected)
}
