//! Bets against the hypothesis that a version is as good as the stable one. Each bet multiplies a
//! wealth whose expectation stays at most 1 while the hypothesis holds, so that the wealth is an
//! e-value at every time (Ville's inequality).

/// Bets of one signal, each with its own stake.
pub const STAKES: usize = 4;

/// Logarithms of the wealth of each stake.
pub type Wealth = [f64; STAKES];

/// Odds ratios that the bets on failures and on slow answers expect of a bad version.
const ODDS: Wealth = [4.0, 12.0, 40.0, 120.0];
/// Parts of the wealth that the bets on ratings stake.
const PARTS: Wealth = [0.2, 0.45, 0.7, 0.9];
/// Drop of the mean rating that is tolerated.
const RATING_MARGIN: f64 = 0.02;

/// Returns what a block of one answer of the candidate and `size - 1` of the stable version adds,
/// when `bad` of all were bad. Given `bad`, chance decides whose it was: a fault that hits both
/// versions adds nothing. `tolerated` is the odds ratio that is not held against the candidate.
pub fn odds(candidate_bad: bool, bad: usize, size: usize, tolerated: f64) -> Wealth {
    let (bad, good) = (bad as f64, size.saturating_sub(bad) as f64);
    ODDS.map(|ratio| {
        if candidate_bad {
            let (expected, chance) =
                (ratio / (ratio * bad + good), tolerated / (tolerated * bad + good));
            (expected / chance).ln()
        } else if good > 0.0 {
            ((tolerated * bad + good) / (ratio * bad + good)).ln()
        } else {
            0.0
        }
    })
}

/// Returns what a rating of the candidate adds beside the mean of ratings of the stable version.
pub fn rating(candidate: f64, stable: f64) -> Wealth {
    let drop = stable - candidate - RATING_MARGIN;
    PARTS.map(|part| (part * drop).ln_1p())
}

/// Returns the logarithm of the mean wealth over the stakes.
pub fn mean(wealth: &Wealth) -> f64 {
    let most = wealth.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if !most.is_finite() {
        return most;
    }
    let sum: f64 = wealth.iter().map(|one| (one - most).exp()).sum();
    most + (sum / STAKES as f64).ln()
}

/// Adds `other` to `wealth`.
pub fn add(wealth: &mut Wealth, other: &Wealth) {
    for (one, more) in wealth.iter_mut().zip(other) {
        *one += more;
    }
}
