//! Judgement of a new version by the evidence of several instances.

use {
    super::{
        comparison,
        counts::{Counts, MIN_REGRESSION_WEIGHT},
        evidence::{self, Regression, Report, Scope},
        waits,
    },
    crate::route::RouteId,
};

/// Fewest slow responses that count as evidence against a version.
const MIN_SLOW: u32 = 4;
/// Lower limit of the baseline rate of slow responses.
const MIN_BASELINE_SLOW_RATE: f64 = 0.1;
/// Fewest bad responses that raise doubt about a version. Among the few responses of loaded servers a single
/// one is enough.
const MIN_DOUBTFUL: u32 = 2;
/// Weight of evidence, in nats, that raises doubt.
const MIN_DOUBT_WEIGHT: f64 = 1.4;
/// Fewest responses without which a version counts as unknown, if the other versions have had many times
/// as many.
const MIN_RESPONSES: u32 = 12;
/// Responses of the other versions for each of [`MIN_RESPONSES`].
const MIN_OTHER_FACTOR: u32 = 20;
/// Fewest responses of loaded servers that show a version under load: a version that fails on a fifth of
/// them fails on one of these with a probability of 0.93.
const MIN_LOADED_RESPONSES: u32 = 12;

/// What the evidence shows about a new version.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Why the version is bad, if it is.
    pub regression: Option<Regression>,
    /// Whether the evidence is too weak against the version to call it bad, but too strong to rely on it,
    /// or whether there is too little of it.
    pub is_doubtful: bool,
    /// Whether enough responses came from servers of the version under load.
    pub is_load_tested: bool,
}

/// Judges a version by reports that share no observation.
pub fn judge(reports: &[&Report]) -> Verdict {
    let failures = || reports.iter().flat_map(|report| &report.failures);
    let latencies = reports.iter().flat_map(|report| &report.latencies);
    let late = reports.iter().flat_map(|report| &report.late);
    let slow = comparison::merge(reports.iter().flat_map(|report| report.slow.iter().cloned()));
    let slow_regression = || {
        let (new, old, route) =
            worst(&slow, |new, old| new.is_failing_more(old, MIN_SLOW, MIN_BASELINE_SLOW_RATE))?;
        Some(Regression::SlowShare { new, old, route })
    };
    let regression = evidence::detect_regression(failures(), latencies)
        .or_else(slow_regression)
        .or_else(|| waits::late_regression(late));
    let scopes = comparison::merge(failures().cloned());
    let counts = |scope: &Scope| {
        let of_scope = scopes.iter().find(|failures| failures.scope == *scope);
        of_scope.map_or_else(Default::default, |failures| (failures.new, failures.old))
    };
    let (new, old) = counts(&Scope::Broken);
    let is_unknown = new.all < MIN_RESPONSES && old.all >= MIN_RESPONSES * MIN_OTHER_FACTOR;
    let (loaded, _) = counts(&Scope::Loaded);
    let (_, all_old) = evidence::all_routes(&scopes);
    let is_loaded_suspect =
        loaded.weight_against(all_old, evidence::MIN_BASELINE_RATE) >= MIN_DOUBT_WEIGHT;
    let is_suspect = |new: Counts, old: Counts, min_baseline: f64| {
        new.weight_against(old, min_baseline) >= MIN_DOUBT_WEIGHT && new.bad >= MIN_DOUBTFUL
    };
    let is_slow_suspect =
        worst(&slow, |new, old| is_suspect(new, old, MIN_BASELINE_SLOW_RATE)).is_some();
    Verdict {
        is_doubtful: is_unknown
            || is_slow_suspect
            || is_loaded_suspect
            || evidence::is_any_scope(failures(), is_suspect),
        is_load_tested: loaded.all >= MIN_LOADED_RESPONSES,
        regression,
    }
}

/// Returns the counts of all routes together, or those of the first route, for which `is_worse` is true.
fn worst(
    routes: &[comparison::Comparison<RouteId, Counts>],
    is_worse: impl Fn(Counts, Counts) -> bool,
) -> Option<(Counts, Counts, Option<RouteId>)> {
    let (mut new, mut old) = (Counts::default(), Counts::default());
    for route in routes {
        comparison::Aggregate::add(&mut new, route.new);
        comparison::Aggregate::add(&mut old, route.old);
    }
    if is_worse(new, old) {
        return Some((new, old, None));
    }
    let route = routes.iter().find(|route| is_worse(route.new, route.old))?;
    Some((route.new, route.old, Some(route.scope.clone())))
}

// A weaker judgement must not be possible where a stronger one is: both compare the same counts.
const _: () = assert!(MIN_DOUBT_WEIGHT < MIN_REGRESSION_WEIGHT);
