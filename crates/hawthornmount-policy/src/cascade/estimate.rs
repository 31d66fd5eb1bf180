//! What the ratings have taught about one version.

/// Ratings after which an old one has lost most of its weight.
const MEMORY_RATINGS: f64 = 200.0;
/// Ratings that a prior is worth.
const PRIOR_RATINGS: f64 = 4.0;

/// Counts of good and bad answers; older ones weigh less, so that drift is followed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    good: f64,
    bad: f64,
}

impl Estimate {
    /// Takes a rating from 0 to 1; anything else is passed over.
    pub fn observe(&mut self, rating: f64) {
        if !(0.0..=1.0).contains(&rating) {
            return;
        }
        let kept = 1.0 - 1.0 / MEMORY_RATINGS;
        self.good = self.good * kept + rating;
        self.bad = self.bad * kept + (1.0 - rating);
    }

    /// Returns the chance of a good answer, with `prior` as far as there are few ratings.
    pub fn quality(&self, prior: f64) -> f64 {
        (self.good + prior * PRIOR_RATINGS) / (self.effective_ratings() + PRIOR_RATINGS)
    }

    /// Returns the standard deviation of the chance.
    pub fn standard_deviation(&self, prior: f64) -> f64 {
        let quality = self.quality(prior);
        (quality * (1.0 - quality) / (self.effective_ratings() + PRIOR_RATINGS + 1.0)).sqrt()
    }

    /// Returns the number of ratings that still weigh.
    pub fn effective_ratings(&self) -> f64 {
        self.good + self.bad
    }
}
