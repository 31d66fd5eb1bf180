//! Quality estimate of one version from its ratings.

/// Time constant of the decay of old ratings, in ratings.
const MEMORY_RATINGS: f64 = 200.0;
/// Weight of the prior, in ratings.
const PRIOR_RATINGS: f64 = 4.0;

/// Counts of good and bad answers, where older ratings decay, so that the estimate follows drift.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    good: f64,
    bad: f64,
}

impl Estimate {
    /// Records a rating from 0 to 1. Any other value is ignored.
    pub fn observe(&mut self, rating: f64) {
        if !(0.0..=1.0).contains(&rating) {
            return;
        }
        let decay = 1.0 - 1.0 / MEMORY_RATINGS;
        self.good = self.good * decay + rating;
        self.bad = self.bad * decay + (1.0 - rating);
    }

    /// Returns the estimated probability of a good answer. The fewer ratings there are, the closer
    /// it is to `prior`.
    pub fn quality(&self, prior: f64) -> f64 {
        (self.good + prior * PRIOR_RATINGS) / (self.effective_ratings() + PRIOR_RATINGS)
    }

    /// Returns the standard deviation of the estimated probability of a good answer.
    pub fn standard_deviation(&self, prior: f64) -> f64 {
        let quality = self.quality(prior);
        (quality * (1.0 - quality) / (self.effective_ratings() + PRIOR_RATINGS + 1.0)).sqrt()
    }

    /// Returns the sum of the decayed weights of the ratings.
    pub fn effective_ratings(&self) -> f64 {
        self.good + self.bad
    }
}
