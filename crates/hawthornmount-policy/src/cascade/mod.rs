//! Cascade: which models to try and in which order, by their estimated quality and their price.

mod estimate;
mod learner;

pub use {estimate::Estimate, learner::Learner};

/// Cost, quality and speed of one model and version of a cascade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// Price of the request with this model.
    pub cost: f64,
    /// Probability that its answer is good.
    pub quality: f64,
    /// Standard deviation of the estimated quality.
    pub standard_deviation: f64,
    /// Expected time of its answer, in seconds.
    pub seconds: f64,
}

/// Qualities that differ by less than this are treated as equal.
const QUALITY_TOLERANCE: f64 = 0.01;

/// Returns the positions of the tiers to try, in order, for a request whose answers are rated: each
/// badly rated answer but the last is discarded and the next tier is tried.
///
/// Among the paths that end with the best tier and fit into `seconds_left`, returns the one with
/// the lowest expected cost.
pub fn escalation_path(tiers: &[Tier], seconds_left: f64) -> Vec<usize> {
    let Some(last) = best_tier(tiers) else { return Vec::new() };
    let mut paths: Vec<Path> = Vec::with_capacity(last + 1);
    paths.resize_with(last + 1, Path::default);
    paths[last] = Path { cost: tiers[last].cost, seconds: tiers[last].seconds, next: None };
    for at in (0..last).rev() {
        let (next, cost_of_rest) = paths[at + 1..=last]
            .iter()
            .enumerate()
            .filter(|(_, path)| path.seconds + tiers[at].seconds <= seconds_left)
            .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))
            .map_or((None, f64::INFINITY), |(step, path)| (Some(at + 1 + step), path.cost));
        let seconds = next.map_or(f64::INFINITY, |next| paths[next].seconds) + tiers[at].seconds;
        let cost = tiers[at].cost + (1.0 - tiers[at].quality) * cost_of_rest;
        paths[at] = Path { cost, seconds, next };
    }
    let start = (0..=last).min_by(|a, b| paths[*a].cost.total_cmp(&paths[*b].cost));
    let steps = std::iter::successors(start, |at| paths[*at].next);
    steps.collect()
}

/// Returns the tier to use if the first answer is sent without a rating: the cheapest whose quality
/// meets `target` even one standard deviation lower, or the best one if none does.
pub fn cheapest_sufficient(tiers: &[Tier], target: f64) -> Option<usize> {
    let meets_target = |tier: &Tier| tier.quality - tier.standard_deviation >= target;
    tiers.iter().position(meets_target).or_else(|| best_tier(tiers))
}

/// Returns the cheapest of the tiers whose quality equals the highest, within
/// [`QUALITY_TOLERANCE`].
fn best_tier(tiers: &[Tier]) -> Option<usize> {
    let highest = tiers.iter().map(|tier| tier.quality).fold(f64::MIN, f64::max);
    tiers.iter().position(|tier| tier.quality >= highest - QUALITY_TOLERANCE)
}

/// Expected cost and total time of the tiers from one position on, and the position that follows.
#[derive(Clone, Copy, Default)]
struct Path {
    cost: f64,
    seconds: f64,
    next: Option<usize>,
}
