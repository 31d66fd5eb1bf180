//! Cascade: which models to try and in which order, by what is known of their quality and price.

mod estimate;
mod learner;

pub use {estimate::Estimate, learner::Learner};

/// A model and version as the cascade sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// Price of the request with this model.
    pub cost: f64,
    /// Chance that its answer is good.
    pub quality: f64,
    /// Uncertainty of the chance, as a standard deviation.
    pub standard_deviation: f64,
    /// Seconds that its answer takes.
    pub seconds: f64,
}

/// Chances that differ by less are taken as equal.
const QUALITY_TOLERANCE: f64 = 0.01;

/// Returns the positions of the tiers to try in order, where each answer but the last is rated and
/// a bad one is dropped for the next: the path of the least expected cost that ends with the best
/// tier and fits into `seconds_left`.
pub fn escalation_path(tiers: &[Tier], seconds_left: f64) -> Vec<usize> {
    let Some(last) = best_tier(tiers) else { return Vec::new() };
    let mut paths: Vec<Path> = Vec::with_capacity(last + 1);
    paths.resize_with(last + 1, Path::default);
    paths[last] = Path { cost: tiers[last].cost, seconds: tiers[last].seconds, next: None };
    for at in (0..last).rev() {
        let (next, rest) = paths[at + 1..=last]
            .iter()
            .enumerate()
            .filter(|(_, path)| path.seconds + tiers[at].seconds <= seconds_left)
            .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))
            .map_or((None, f64::INFINITY), |(step, path)| (Some(at + 1 + step), path.cost));
        let seconds = next.map_or(f64::INFINITY, |next| paths[next].seconds) + tiers[at].seconds;
        let cost = tiers[at].cost + (1.0 - tiers[at].quality) * rest;
        paths[at] = Path { cost, seconds, next };
    }
    let start = (0..=last).min_by(|a, b| paths[*a].cost.total_cmp(&paths[*b].cost));
    let steps = std::iter::successors(start, |at| paths[*at].next);
    steps.collect()
}

/// Returns the tier to take where the first answer goes out unrated: the cheapest that meets
/// `target` with some certainty, else the best.
pub fn cheapest_sufficient(tiers: &[Tier], target: f64) -> Option<usize> {
    let sure = |tier: &Tier| tier.quality - tier.standard_deviation >= target;
    tiers.iter().position(sure).or_else(|| best_tier(tiers))
}

/// Returns the cheapest of the tiers with the highest quality.
fn best_tier(tiers: &[Tier]) -> Option<usize> {
    let highest = tiers.iter().map(|tier| tier.quality).fold(f64::MIN, f64::max);
    tiers.iter().position(|tier| tier.quality >= highest - QUALITY_TOLERANCE)
}

#[derive(Clone, Copy, Default)]
struct Path {
    cost: f64,
    seconds: f64,
    next: Option<usize>,
}
