//! Detector of a version that turns bad while it is in use, against its own past.
//!
//! A reference is learned from the first observations, and again at each doubling of them while the
//! version is steady. Each later observation multiplies a wealth that gets a small deposit
//! beforehand, so that it can start to grow at any time: after `HORIZON` observations of a version
//! that is as bad as the reference's upper limit, its expectation is at most 1; a version as good as
//! the reference itself stays far below. One group of servers can't condemn: the wealth without it
//! has to agree.

use {
    super::{
        bet::{self, STAKES, Wealth},
        signal::Signal,
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Observations from which the reference is learned.
const REFERENCE: u64 = 400;
/// Observations over which the chance of a false alarm is bounded.
const HORIZON: f64 = 2_000.0;
/// Least rate of failures that is held against a version.
const LEAST_FAILURES: f64 = 0.02;
/// Largest rate of bad answers that a reference may have.
const LARGEST_LIMIT: f64 = 0.95;
/// Rise of the mean badness of ratings that is tolerated.
const RATING_MARGIN: f64 = 0.02;
/// Odds ratios of failures, against the limit, that a bad version may have.
const EXPECTED: Wealth = [4.0, 12.0, 50.0, 900.0];
/// Odds ratios of bad ratings, against the limit, that a bad version may have.
const EXPECTED_RATINGS: Wealth = [1.6, 2.5, 5.0, 20.0];
/// Logarithm of the wealth without any one group that a condemnation needs.
const AGREED: f64 = 5.0;
/// Logarithm of the wealth from which on it counts as rising.
const RISING: f64 = -5.0;
/// Logarithm of the wealth below which a release counts as it was.
const STEADY: f64 = -1.0;
/// Logarithm of the wealth below which the reference goes on learning. It is high, because to leave
/// out what looks a little bad would bend the reference.
const LEARNING: f64 = 2.0;
/// Batches that show whether a release is as it was.
const SHOWING: usize = 8;
/// Largest logarithm of a wealth; it stays far above every threshold.
const MAX_LOG: f64 = 600.0;

/// Observations that come together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Batch {
    /// Observations.
    pub seen: u64,
    /// Bad ones of them.
    pub bad: u64,
}

/// Wealth without one group.
#[derive(Clone, Debug)]
struct Rest {
    group: Arc<str>,
    wealth: Wealth,
}

/// Detector of one release and signal.
#[derive(Clone, Debug)]
pub struct Drift {
    signal: Signal,
    past: Batch,
    learn_at: u64,
    limit: Option<f64>,
    all: Wealth,
    rests: Vec<Rest>,
    rising_since: Option<u64>,
    last: VecDeque<u64>,
}

impl Drift {
    /// Creates a detector that has seen nothing.
    pub fn new(signal: Signal) -> Self {
        let empty = [f64::NEG_INFINITY; STAKES];
        Self {
            signal,
            past: Batch::default(),
            learn_at: REFERENCE,
            limit: None,
            all: empty,
            rests: Vec::new(),
            rising_since: None,
            last: VecDeque::new(),
        }
    }

    /// Takes observations of a group of servers, such as a data centre. `sequence` grows with each
    /// batch over all releases.
    pub fn take(&mut self, group: &Arc<str>, batch: Batch, sequence: u64) {
        if batch.seen == 0 {
            return;
        }
        let Some(limit) = self.limit else {
            self.note(group);
            self.learn(batch);
            return;
        };
        self.note(group);
        let gain = self.gain(limit, batch);
        grow(&mut self.all, &gain, batch.seen);
        for rest in self.rests.iter_mut().filter(|rest| rest.group != *group) {
            grow(&mut rest.wealth, &gain, batch.seen);
        }
        self.mark(sequence);
        if bet::mean(&self.all) < LEARNING {
            self.learn(batch);
        }
    }

    /// Returns the sequence since which the wealth has been rising, if it is.
    pub const fn rising_since(&self) -> Option<u64> {
        self.rising_since
    }

    /// Tells whether enough observations after `sequence` show the release as it was.
    pub fn is_steady_after(&self, sequence: u64) -> bool {
        let showed = self.last.front().is_some_and(|first| *first > sequence);
        showed && self.last.len() == SHOWING && bet::mean(&self.all) < STEADY
    }

    fn mark(&mut self, sequence: u64) {
        let rising = bet::mean(&self.all) > RISING;
        self.rising_since = rising.then(|| self.rising_since.unwrap_or(sequence));
        self.last.push_back(sequence);
        if self.last.len() > SHOWING {
            self.last.pop_front();
        }
    }

    /// Returns the logarithm of the wealth against the release; none while there is only one group,
    /// no reference, or a group without which the others do not agree.
    pub fn against(&self) -> f64 {
        let without = self.rests.iter().map(|rest| bet::mean(&rest.wealth));
        let agreed = self.rests.len() > 1 && without.fold(f64::INFINITY, f64::min) >= AGREED;
        if agreed && self.limit.is_some() { bet::mean(&self.all) } else { f64::NEG_INFINITY }
    }

    fn learn(&mut self, batch: Batch) {
        self.past.seen += batch.seen;
        self.past.bad += batch.bad;
        if self.past.seen >= self.learn_at {
            self.learn_at *= 2;
            self.limit = Some(self.reference());
        }
    }

    fn note(&mut self, group: &Arc<str>) {
        if let Err(at) = self.rests.binary_search_by(|rest| rest.group.cmp(group)) {
            self.rests.insert(at, Rest { group: group.clone(), wealth: self.all });
        }
    }

    /// Returns the upper confidence limit of the past.
    fn reference(&self) -> f64 {
        let seen = self.past.seen as f64;
        let bad = self.past.bad as f64;
        let mean = bad / seen;
        match self.signal {
            Signal::Failure | Signal::Latency => {
                let upper = (bad + 2.0 * (bad + 1.0).sqrt() + 1.0) / seen;
                upper.clamp(LEAST_FAILURES, LARGEST_LIMIT)
            }
            Signal::Rating => mean + 2.0 * (mean * (1.0 - mean) / seen).sqrt() + RATING_MARGIN,
        }
    }

    fn gain(&self, limit: f64, batch: Batch) -> Wealth {
        let expected = match self.signal {
            Signal::Failure | Signal::Latency => &EXPECTED,
            Signal::Rating => &EXPECTED_RATINGS,
        };
        bet::rate(batch.bad as f64, batch.seen as f64, limit, expected)
    }
}

/// Deposits for `seen` observations, then multiplies.
fn grow(wealth: &mut Wealth, gain: &Wealth, seen: u64) {
    let deposit = seen as f64 / HORIZON;
    for (one, gain) in wealth.iter_mut().zip(gain) {
        *one = ((one.exp() + deposit).ln() + gain).min(MAX_LOG);
    }
}
