//! Groups answers of a candidate and of the stable version on the same server into blocks.

use {
    super::{
        bet::{self, OddsRatios, Wealth},
        signal::Signal,
    },
    hawthornmount_core::{id::ServerId, snapshot::Release},
    std::collections::VecDeque,
};

/// Most answers of the stable version in a block.
const MAX_STABLE_ANSWERS: usize = 32;
/// Most answers of the candidate that wait for an answer of the stable version.
const MAX_CANDIDATE_ANSWERS: usize = 16;
/// Odds ratio of failures that is not counted against a candidate.
const TOLERATED_FAILURE_ODDS_RATIO: f64 = 1.5;
/// Odds ratio of bad ratings that is not counted against a candidate.
const TOLERATED_RATING_ODDS_RATIO: f64 = 1.15;
/// Odds ratio of slow answers that is not counted against a candidate.
const TOLERATED_SLOWNESS_ODDS_RATIO: f64 = 3.0;
/// Odds ratios that the alternatives assume for failures and slow answers.
const FAILURE_ALTERNATIVES: OddsRatios = [4.0, 12.0, 40.0, 120.0];
/// Odds ratios that the alternatives assume for bad ratings.
const RATING_ALTERNATIVES: OddsRatios = [1.8, 3.0, 5.0, 12.0];

/// Unpaired answers of one candidate, server and signal, each as its badness: 0 (good) or
/// 1 (bad).
#[derive(Debug)]
struct Queue {
    candidate: Release,
    server: ServerId,
    signal: Signal,
    candidate_answers: VecDeque<f64>,
    stable_answers: VecDeque<f64>,
}

/// Pairs answers of candidates with answers of the stable version. Each answer is used once.
#[derive(Debug, Default)]
pub struct Pairs {
    queues: Vec<Queue>,
}

impl Pairs {
    /// Adds an answer, whose `badness` is 1 if it is bad and 0 if it is good. Returns the
    /// log-likelihood ratios of the block if the answer completes one.
    pub fn push(
        &mut self,
        candidate: &Release,
        server: &ServerId,
        signal: Signal,
        is_candidate: bool,
        badness: f64,
    ) -> Option<Wealth> {
        let queue = self.queue(candidate, server, signal);
        if is_candidate {
            push_bounded(&mut queue.candidate_answers, badness, MAX_CANDIDATE_ANSWERS);
        } else {
            push_bounded(&mut queue.stable_answers, badness, MAX_STABLE_ANSWERS);
        }
        if queue.candidate_answers.is_empty() || queue.stable_answers.is_empty() {
            return None;
        }
        let candidate_answer = queue.candidate_answers.pop_front()?;
        let stable_answers: Vec<f64> = queue.stable_answers.drain(..).collect();
        Some(block(signal, candidate_answer, &stable_answers))
    }

    /// Returns the queue of a candidate, server and signal; creates it if there is none.
    fn queue(&mut self, candidate: &Release, server: &ServerId, signal: Signal) -> &mut Queue {
        let key = (candidate, server, signal);
        let found = self
            .queues
            .binary_search_by(|queue| (&queue.candidate, &queue.server, queue.signal).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let queue = Queue {
                candidate: candidate.clone(),
                server: server.clone(),
                signal,
                candidate_answers: VecDeque::new(),
                stable_answers: VecDeque::new(),
            };
            self.queues.insert(at, queue);
            at
        });
        &mut self.queues[at]
    }
}

/// Appends an answer and drops the oldest one if there are more than `limit`.
fn push_bounded(answers: &mut VecDeque<f64>, badness: f64, limit: usize) {
    answers.push_back(badness);
    if answers.len() > limit {
        answers.pop_front();
    }
}

/// Returns the log-likelihood ratios of a block of one answer of the candidate and some answers of
/// the stable version.
fn block(signal: Signal, candidate_answer: f64, stable_answers: &[f64]) -> Wealth {
    let is_bad = |badness: f64| badness > 0.5;
    let bad = stable_answers.iter().filter(|badness| is_bad(**badness)).count()
        + usize::from(is_bad(candidate_answer));
    let (tolerated, alternatives) = match signal {
        Signal::Failure => (TOLERATED_FAILURE_ODDS_RATIO, FAILURE_ALTERNATIVES),
        Signal::Rating => (TOLERATED_RATING_ODDS_RATIO, RATING_ALTERNATIVES),
        Signal::Latency => (TOLERATED_SLOWNESS_ODDS_RATIO, FAILURE_ALTERNATIVES),
    };
    bet::block(is_bad(candidate_answer), bad, stable_answers.len() + 1, tolerated, &alternatives)
}
