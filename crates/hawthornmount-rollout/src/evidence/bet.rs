//! Sequential test of the hypothesis that a version is as good as the stable one, by betting. Each
//! bet multiplies a wealth by a likelihood ratio. While the hypothesis holds, the expected wealth
//! stays at most 1, so that the wealth is an e-value at any stopping time (Ville's inequality).

/// Number of alternative hypotheses for each signal; each has a wealth of its own.
pub const ALTERNATIVE_COUNT: usize = 4;

/// Logarithm of the wealth of each alternative.
pub type Wealth = [f64; ALTERNATIVE_COUNT];

/// Odds ratio of bad answers that each alternative assumes for a bad version.
pub type OddsRatios = [f64; ALTERNATIVE_COUNT];

/// Returns the log-likelihood ratios of a block of one answer of the candidate and `size - 1`
/// answers of the stable version, of which `bad` were bad in total.
///
/// The ratios are conditional on `bad`: they depend only on whether the candidate's answer was one
/// of the bad ones, so that a fault that affects both versions adds no evidence. `tolerated` is the
/// odds ratio that the null hypothesis allows the candidate.
pub fn block(
    candidate_bad: bool,
    bad: usize,
    size: usize,
    tolerated: f64,
    alternatives: &OddsRatios,
) -> Wealth {
    let (bad, good) = (bad as f64, size.saturating_sub(bad) as f64);
    alternatives.map(|ratio| {
        if candidate_bad {
            (ratio * (tolerated * bad + good) / (tolerated * (ratio * bad + good))).ln()
        } else if good > 0.0 {
            ((tolerated * bad + good) / (ratio * bad + good)).ln()
        } else {
            0.0
        }
    })
}

/// Returns the log-likelihood ratios of `bad` bad answers out of `total`, against the null
/// hypothesis that the rate of bad answers is at most `limit`. The odds of each alternative's rate
/// are those of `limit` times its odds ratio.
pub fn rate(bad: f64, total: f64, limit: f64, alternatives: &OddsRatios) -> Wealth {
    alternatives.map(|ratio| {
        let rate = ratio * limit / (1.0 - limit + ratio * limit);
        bad * (rate / limit).ln() + (total - bad) * ((1.0 - rate) / (1.0 - limit)).ln()
    })
}

/// Returns the logarithm of the mean wealth over the alternatives.
pub fn log_mean(wealth: &Wealth) -> f64 {
    let max = wealth.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if !max.is_finite() {
        return max;
    }
    let sum: f64 = wealth.iter().map(|log| (log - max).exp()).sum();
    max + (sum / ALTERNATIVE_COUNT as f64).ln()
}

/// Adds `log_ratios` to `wealth`, which multiplies the wealth of each alternative.
pub fn add(wealth: &mut Wealth, log_ratios: &Wealth) {
    for (log, log_ratio) in wealth.iter_mut().zip(log_ratios) {
        *log += log_ratio;
    }
}
