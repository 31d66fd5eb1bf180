//! Detector of a version that turns bad in the middle of a season, against its own past.
//!
//! A reference is learned from the first observations. After it, each observation multiplies a
//! wealth that gets a small deposit beforehand, so that it can start to grow at any time. The
//! expected wealth after `HORIZON` observations is at most 1 while the version is as it was. One
//! group of servers can't condemn: the wealth is counted without each group in turn.

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
const HORIZON: f64 = 20_000.0;
/// Least rate of failures that is held against a version.
const LEAST_FAILURES: f64 = 0.02;
/// Rise of the mean badness of ratings that is tolerated.
const RATING_MARGIN: f64 = 0.05;
/// Rates of failures that the bets expect of a bad version.
const RATES: Wealth = [0.08, 0.2, 0.5, 0.95];
/// Parts of the wealth that the bets on ratings stake, in units of the largest valid stake.
const PARTS: Wealth = [0.1, 0.25, 0.45, 0.7];

/// Logarithm of the wealth from which on it counts as rising.
const RISING: f64 = -5.0;
/// Batches that show whether a release is as it was.
const SHOWING: usize = 10;
/// Largest logarithm of a wealth; it stays far above every threshold.
const MAX_LOG: f64 = 600.0;

/// Observations that come together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Batch {
    /// Observations.
    pub seen: u64,
    /// Sum of their badness.
    pub bad: f64,
}

/// Wealth without one group.
#[derive(Clone, Debug)]
struct Rest {
    group: Arc<str>,
    wealth: Wealth,
}

/// Detector of one release and signal.
#[derive(Clone, Debug)]
pub struct Season {
    signal: Signal,
    past: Batch,
    limit: Option<f64>,
    all: Wealth,
    rests: Vec<Rest>,
    rising_since: Option<u64>,
    last: VecDeque<u64>,
}

impl Season {
    /// Creates a detector that has seen nothing.
    pub fn new(signal: Signal) -> Self {
        let empty = [f64::NEG_INFINITY; STAKES];
        Self {
            signal,
            past: Batch::default(),
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
            self.past.seen += batch.seen;
            self.past.bad += batch.bad;
            self.note(group);
            if self.past.seen >= REFERENCE {
                self.limit = Some(self.reference());
            }
            return;
        };
        self.note(group);
        let gain = self.gain(limit, batch);
        grow(&mut self.all, &gain, batch.seen);
        for rest in self.rests.iter_mut().filter(|rest| rest.group != *group) {
            grow(&mut rest.wealth, &gain, batch.seen);
        }
        self.mark(sequence);
    }

    /// Returns the sequence since which the wealth has been rising, if it is.
    pub const fn rising_since(&self) -> Option<u64> {
        self.rising_since
    }

    /// Tells whether enough observations after `sequence` show the release as it was.
    pub fn is_steady_after(&self, sequence: u64) -> bool {
        let showed = self.last.front().is_some_and(|first| *first > sequence);
        showed && self.last.len() == SHOWING && self.rising_since.is_none()
    }

    fn mark(&mut self, sequence: u64) {
        let rising = bet::mean(&self.all) > RISING;
        self.rising_since = rising.then(|| self.rising_since.unwrap_or(sequence));
        self.last.push_back(sequence);
        if self.last.len() > SHOWING {
            self.last.pop_front();
        }
    }

    /// Returns the logarithm of the wealth against the release, without the group that speaks most
    /// against it; none while there is only one group or no reference.
    pub fn against(&self) -> f64 {
        if self.limit.is_none() || self.rests.len() < 2 {
            return f64::NEG_INFINITY;
        }
        self.rests.iter().map(|rest| bet::mean(&rest.wealth)).fold(f64::INFINITY, f64::min)
    }

    fn note(&mut self, group: &Arc<str>) {
        if let Err(at) = self.rests.binary_search_by(|rest| rest.group.cmp(group)) {
            self.rests.insert(at, Rest { group: group.clone(), wealth: self.all });
        }
    }

    /// Returns the upper confidence limit of the past.
    fn reference(&self) -> f64 {
        let seen = self.past.seen as f64;
        let mean = self.past.bad / seen;
        match self.signal {
            Signal::Failure | Signal::Latency => {
                let upper = (self.past.bad + 2.0 * (self.past.bad + 1.0).sqrt() + 1.0) / seen;
                upper.max(LEAST_FAILURES)
            }
            Signal::Rating => mean + 2.0 * (mean * (1.0 - mean) / seen).sqrt() + RATING_MARGIN,
        }
    }

    fn gain(&self, limit: f64, batch: Batch) -> Wealth {
        let (seen, bad) = (batch.seen as f64, batch.bad);
        match self.signal {
            Signal::Failure | Signal::Latency => RATES.map(|rate| {
                if rate <= limit {
                    return 0.0;
                }
                bad * (rate / limit).ln() + (seen - bad) * ((1.0 - rate) / (1.0 - limit)).ln()
            }),
            Signal::Rating => PARTS.map(|part| {
                let stake = part / limit.max(f64::EPSILON);
                let worst = (stake * (1.0 - limit)).ln_1p();
                let best = (-part).ln_1p();
                bad * worst + (seen - bad) * best
            }),
        }
    }
}

/// Deposits for `seen` observations, then multiplies.
fn grow(wealth: &mut Wealth, gain: &Wealth, seen: u64) {
    let deposit = seen as f64 / HORIZON;
    for (one, gain) in wealth.iter_mut().zip(gain) {
        *one = ((one.exp() + deposit).ln() + gain).min(MAX_LOG);
    }
}
