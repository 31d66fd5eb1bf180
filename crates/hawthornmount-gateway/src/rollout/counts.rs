//! Counts of responses and of the failed ones among them.

use {
    super::comparison::Aggregate,
    serde::{Deserialize, Serialize},
};

/// Factor by which the other versions' failure rate is raised to get the baseline, to allow for
/// chance and for differences between servers.
const BASELINE_FACTOR: f64 = 1.5;
/// Upper limit of the baseline failure rate.
const MAX_BASELINE_RATE: f64 = 0.9;
/// Responses that are added to those of the other versions, so that a few responses have little
/// effect on the baseline.
const PRIOR_RESPONSES: f64 = 10.0;
/// Failures among [`PRIOR_RESPONSES`].
const PRIOR_FAILURES: f64 = 0.3;
/// Weight of evidence, in nats, from which a version counts as bad. A good version reaches 7 nats
/// by chance in about one of a thousand evaluations.
pub const MIN_REGRESSION_WEIGHT: f64 = 7.0;

/// Number of responses of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// All responses.
    pub all: u32,
    /// Failed responses.
    pub bad: u32,
}

impl Aggregate for Counts {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }
}

impl Counts {
    /// Returns whether there are at least `min_failures` failures, and they are too unlikely at the
    /// baseline rate of `old`, which is at least `min_baseline`.
    pub fn is_failing_more(self, old: Self, min_failures: u32, min_baseline: f64) -> bool {
        self.bad >= min_failures && self.weight_against(old, min_baseline) >= MIN_REGRESSION_WEIGHT
    }

    /// Returns the weight of the evidence, in nats, that the failures are more than the baseline rate of
    /// `old`, which is at least `min_baseline`, yields: by the Chernoff bound.
    pub fn weight_against(self, old: Self, min_baseline: f64) -> f64 {
        let baseline = (f64::from(old.bad) + PRIOR_FAILURES)
            / (f64::from(old.all) + PRIOR_RESPONSES)
            * BASELINE_FACTOR;
        let baseline = baseline.clamp(min_baseline, MAX_BASELINE_RATE);
        let rate = self.rate();
        if rate <= baseline {
            return 0.0;
        }
        let success_rate = 1.0 - rate;
        let success_divergence = if success_rate > 0.0 {
            success_rate * (success_rate / (1.0 - baseline)).ln()
        } else {
            0.0
        };
        let divergence = rate * (rate / baseline).ln() + success_divergence;
        f64::from(self.all) * divergence
    }

    fn rate(self) -> f64 {
        if self.all == 0 { 0.0 } else { f64::from(self.bad) / f64::from(self.all) }
    }
}
