//! Judgement of a new version by the evidence of several instances.

use {
    super::{
        comparison::{self, Aggregate},
        counts::Counts,
        evidence::{self, FailureComparison, Regression, Report, Scope},
        slowness::SlowComparison,
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
    let failures = comparison::merge(reports.iter().flat_map(|report| &report.failures).cloned());
    let slow = comparison::merge(reports.iter().flat_map(|report| &report.slow).cloned());
    let latencies = reports.iter().flat_map(|report| &report.latencies);
    let late = reports.iter().flat_map(|report| &report.late);
    let regression = evidence::detect_regression(failures.iter(), latencies)
        .or_else(|| slow_regression(&slow))
        .or_else(|| waits::late_regression(late));
    let (loaded, _) = counts(&failures, &Scope::Loaded);
    Verdict {
        regression,
        is_doubtful: is_unknown(&failures) || is_suspect(&failures, &slow),
        is_load_tested: loaded.all >= MIN_LOADED_RESPONSES,
    }
}

/// Returns the regression in the share of slow responses of the new version, if there is one.
fn slow_regression(slow: &[SlowComparison]) -> Option<Regression> {
    let is_slower = |new: Counts, old| new.is_failing_more(old, MIN_SLOW, MIN_BASELINE_SLOW_RATE);
    let (new, old, route) = worst(slow, is_slower)?;
    Some(Regression::SlowShare { new, old, route })
}

/// Returns whether the new version has hardly responded although the service gets many requests.
fn is_unknown(failures: &[FailureComparison]) -> bool {
    let (new, old) = counts(failures, &Scope::Broken);
    new.all < MIN_RESPONSES && old.all >= MIN_RESPONSES * MIN_OTHER_FACTOR
}

/// Returns whether something speaks against the new version, even if it does not show it to be bad.
fn is_suspect(failures: &[FailureComparison], slow: &[SlowComparison]) -> bool {
    let weighs =
        |new: Counts, old, min_baseline| new.weight_against(old, min_baseline) >= MIN_DOUBT_WEIGHT;
    let is_worse =
        |new: Counts, old, min_baseline| new.bad >= MIN_DOUBTFUL && weighs(new, old, min_baseline);
    let (loaded, _) = counts(failures, &Scope::Loaded);
    let (_, all_old) = evidence::all_routes(failures);
    weighs(loaded, all_old, evidence::MIN_BASELINE_RATE)
        || evidence::is_any_scope(failures, is_worse)
        || worst(slow, |new, old| is_worse(new, old, MIN_BASELINE_SLOW_RATE)).is_some()
}

/// Returns the counts of the new and of the other versions in a scope.
fn counts(failures: &[FailureComparison], scope: &Scope) -> (Counts, Counts) {
    let of_scope = failures.iter().find(|failures| failures.scope == *scope);
    of_scope.map_or_else(Default::default, |failures| (failures.new, failures.old))
}

/// Returns the counts of all routes together, or those of the first route, for which `is_worse` is true.
fn worst(
    routes: &[SlowComparison],
    is_worse: impl Fn(Counts, Counts) -> bool,
) -> Option<(Counts, Counts, Option<RouteId>)> {
    let (mut new, mut old) = (Counts::default(), Counts::default());
    for route in routes {
        new.add(route.new);
        old.add(route.old);
    }
    if is_worse(new, old) {
        return Some((new, old, None));
    }
    let route = routes.iter().find(|route| is_worse(route.new, route.old))?;
    Some((route.new, route.old, Some(route.scope.clone())))
}
