//! Detects that a version in use gets worse than it was before.
//!
//! A reference rate is learned from the first observations, and again at each doubling of their
//! number while the version is steady. Each later batch of observations multiplies a wealth by
//! likelihood ratios against the reference. A small deposit is added before each multiplication, so
//! that the wealth can start to grow at any time. After `HORIZON_OBSERVATIONS` observations of a
//! version that is as bad as the reference's upper limit, the expected wealth is at most 1; for a
//! version as good as the reference itself it stays far below. One group of servers is not enough
//! for a detection: the wealth computed without that group has to agree.

use {
    super::{
        bet::{self, ALTERNATIVE_COUNT, OddsRatios, Wealth},
        signal::Signal,
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Observations from which the reference is first learned.
const FIRST_REFERENCE_OBSERVATIONS: u64 = 400;
/// Observations over which the probability of a false alarm is bounded.
const HORIZON_OBSERVATIONS: f64 = 2_000.0;
/// Lowest reference limit for failures and slow answers. A rate below it never counts against a
/// version.
const MIN_FAILURE_LIMIT: f64 = 0.02;
/// Highest reference limit for failures and slow answers.
const MAX_FAILURE_LIMIT: f64 = 0.95;
/// Tolerated rise of the mean badness of ratings.
const RATING_MARGIN: f64 = 0.02;
/// Odds ratios, relative to the reference limit, that the alternatives assume for failures and slow
/// answers.
const FAILURE_ALTERNATIVES: OddsRatios = [4.0, 12.0, 50.0, 900.0];
/// Odds ratios, relative to the reference limit, that the alternatives assume for bad ratings.
const RATING_ALTERNATIVES: OddsRatios = [1.6, 2.5, 5.0, 20.0];
/// Lowest log wealth that a detection needs after any single group is left out.
const MIN_LOG_WEALTH_WITHOUT_GROUP: f64 = 5.0;
/// Log wealth above which the wealth counts as rising.
const RISING_LOG_WEALTH: f64 = -5.0;
/// Log wealth below which the release counts as steady, that is, no worse than its reference.
const STEADY_LOG_WEALTH: f64 = -1.0;
/// Log wealth below which the reference is still learned. A lower value would leave out batches
/// that look slightly bad and so bias the reference.
const LEARNING_LOG_WEALTH: f64 = 2.0;
/// Batches that are needed to count a release as steady.
const STEADY_BATCHES: usize = 8;
/// Highest log wealth; it is far above every threshold.
const MAX_LOG_WEALTH: f64 = 600.0;

/// Observations that are taken at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Batch {
    /// Number of observations.
    pub total: u64,
    /// Number of bad observations.
    pub bad: u64,
}

/// Wealth computed without the observations of one group.
#[derive(Clone, Debug)]
struct LeaveOneOut {
    group: Arc<str>,
    wealth: Wealth,
}

/// Drift detector of one release and signal.
#[derive(Clone, Debug)]
pub struct Drift {
    signal: Signal,
    /// Observations from which the reference is learned.
    reference: Batch,
    /// Number of reference observations at which the limit is computed next.
    next_update: u64,
    /// Upper confidence limit of the reference rate, once it is learned.
    limit: Option<f64>,
    wealth: Wealth,
    /// One entry for each group, in order of the groups.
    leave_one_out: Vec<LeaveOneOut>,
    /// Sequence number of the batch from which on the wealth has been rising, if it is rising.
    rising_since: Option<u64>,
    /// Sequence numbers of the last [`STEADY_BATCHES`] batches.
    recent: VecDeque<u64>,
}

impl Drift {
    /// Creates a detector without observations.
    pub fn new(signal: Signal) -> Self {
        let empty = [f64::NEG_INFINITY; ALTERNATIVE_COUNT];
        Self {
            signal,
            reference: Batch::default(),
            next_update: FIRST_REFERENCE_OBSERVATIONS,
            limit: None,
            wealth: empty,
            leave_one_out: Vec::new(),
            rising_since: None,
            recent: VecDeque::new(),
        }
    }

    /// Adds observations of a group of servers, such as a data centre. `sequence` increases with
    /// each batch over all releases.
    pub fn observe(&mut self, group: &Arc<str>, batch: Batch, sequence: u64) {
        if batch.total == 0 {
            return;
        }
        let Some(limit) = self.limit else {
            self.add_group(group);
            self.learn(batch);
            return;
        };
        self.add_group(group);
        let log_ratios = self.log_ratios(limit, batch);
        grow(&mut self.wealth, &log_ratios, batch.total);
        for rest in self.leave_one_out.iter_mut().filter(|rest| rest.group != *group) {
            grow(&mut rest.wealth, &log_ratios, batch.total);
        }
        self.update_trend(sequence);
        if bet::log_mean(&self.wealth) < LEARNING_LOG_WEALTH {
            self.learn(batch);
        }
    }

    /// Returns the sequence number since which the wealth has been rising, if it is rising.
    pub const fn rising_since(&self) -> Option<u64> {
        self.rising_since
    }

    /// Returns whether enough batches after `sequence` show that the release is steady.
    pub fn is_steady_after(&self, sequence: u64) -> bool {
        let all_later = self.recent.front().is_some_and(|first| *first > sequence);
        all_later
            && self.recent.len() == STEADY_BATCHES
            && bet::log_mean(&self.wealth) < STEADY_LOG_WEALTH
    }

    fn update_trend(&mut self, sequence: u64) {
        let rising = bet::log_mean(&self.wealth) > RISING_LOG_WEALTH;
        self.rising_since = rising.then(|| self.rising_since.unwrap_or(sequence));
        self.recent.push_back(sequence);
        if self.recent.len() > STEADY_BATCHES {
            self.recent.pop_front();
        }
    }

    /// Returns the log wealth against the release. It is negative infinity while there is only one
    /// group, no reference, or a group without which the others do not agree.
    pub fn log_wealth(&self) -> f64 {
        let without_group = self.leave_one_out.iter().map(|rest| bet::log_mean(&rest.wealth));
        let agreed = self.leave_one_out.len() > 1
            && without_group.fold(f64::INFINITY, f64::min) >= MIN_LOG_WEALTH_WITHOUT_GROUP;
        if agreed && self.limit.is_some() { bet::log_mean(&self.wealth) } else { f64::NEG_INFINITY }
    }

    /// Adds a batch to the reference, and updates the limit when the reference has doubled.
    fn learn(&mut self, batch: Batch) {
        self.reference.total += batch.total;
        self.reference.bad += batch.bad;
        if self.reference.total >= self.next_update {
            self.next_update *= 2;
            self.limit = Some(self.reference_limit());
        }
    }

    fn add_group(&mut self, group: &Arc<str>) {
        if let Err(at) = self.leave_one_out.binary_search_by(|rest| rest.group.cmp(group)) {
            let rest = LeaveOneOut { group: group.clone(), wealth: self.wealth };
            self.leave_one_out.insert(at, rest);
        }
    }

    /// Returns the upper confidence limit of the rate of bad observations in the reference.
    fn reference_limit(&self) -> f64 {
        let total = self.reference.total as f64;
        let bad = self.reference.bad as f64;
        let mean = bad / total;
        match self.signal {
            Signal::Failure | Signal::Latency => {
                let upper = (bad + 2.0 * (bad + 1.0).sqrt() + 1.0) / total;
                upper.clamp(MIN_FAILURE_LIMIT, MAX_FAILURE_LIMIT)
            }
            Signal::Rating => mean + 2.0 * (mean * (1.0 - mean) / total).sqrt() + RATING_MARGIN,
        }
    }

    fn log_ratios(&self, limit: f64, batch: Batch) -> Wealth {
        let alternatives = match self.signal {
            Signal::Failure | Signal::Latency => &FAILURE_ALTERNATIVES,
            Signal::Rating => &RATING_ALTERNATIVES,
        };
        bet::rate(batch.bad as f64, batch.total as f64, limit, alternatives)
    }
}

/// Adds the deposit for `total` observations to the wealth, then multiplies it by the ratios.
fn grow(wealth: &mut Wealth, log_ratios: &Wealth, total: u64) {
    let deposit = total as f64 / HORIZON_OBSERVATIONS;
    for (log, log_ratio) in wealth.iter_mut().zip(log_ratios) {
        *log = ((log.exp() + deposit).ln() + log_ratio).min(MAX_LOG_WEALTH);
    }
}
