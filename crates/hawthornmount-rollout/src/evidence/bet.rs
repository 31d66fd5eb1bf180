//! Bets against the hypothesis that a version is as good as the stable one. Each bet multiplies a
//! wealth whose expectation stays at most 1 while the hypothesis holds, so that the wealth is an
//! e-value at every time (Ville's inequality).

/// Bets of one signal, each with its own stake.
pub const STAKES: usize = 4;

/// Logarithms of the wealth of each stake.
pub type Wealth = [f64; STAKES];

/// Returns what a block of one answer of the candidate and `size - 1` of the stable version adds,
/// when `bad` of all were bad. Given `bad`, chance decides whose it was: a fault that hits both
/// versions adds nothing. `tolerated` is the odds ratio that is not held against the candidate,
/// and `expected` has those that a bad version may have.
pub fn block(
    candidate_bad: bool,
    bad: usize,
    size: usize,
    tolerated: f64,
    expected: &Wealth,
) -> Wealth {
    let (bad, good) = (bad as f64, size.saturating_sub(bad) as f64);
    expected.map(|ratio| {
        if candidate_bad {
            (ratio * (tolerated * bad + good) / (tolerated * (ratio * bad + good))).ln()
        } else if good > 0.0 {
            ((tolerated * bad + good) / (ratio * bad + good)).ln()
        } else {
            0.0
        }
    })
}

/// Returns what `bad` of `seen` answers add against a rate of bad answers of at most `limit`, for
/// bets on rates whose odds are larger by `expected`.
pub fn rate(bad: f64, seen: f64, limit: f64, expected: &Wealth) -> Wealth {
    expected.map(|ratio| {
        let rate = ratio * limit / (1.0 - limit + ratio * limit);
        bad * (rate / limit).ln() + (seen - bad) * ((1.0 - rate) / (1.0 - limit)).ln()
    })
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
