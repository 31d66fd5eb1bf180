//! Evidence for and against the versions of a service.
//!
//! Failed responses are counted by route and for servers under load, because a version may be bad
//! on one route or under load only. Interrupted responses are counted separately, because
//! connections also break for reasons other than the version. Latencies are compared separately too
//! ([`latency`]): on a busy day a third of all responses is slow, which would hide the failures.

use {
    super::{
        comparison::{self, Aggregate, Comparison, Table},
        counts::{Counts, MIN_REGRESSION_WEIGHT},
        latency::{self, LatencyComparison, Moments, Shift, Span, Stratum},
        slowness::{SlowComparison, Slowness},
        waits::{LateComparison, Waits},
    },
    crate::{load::Load, route::RouteId},
    hawthornmount_core::id::{ModelId, ServiceId, VersionId},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        sync::Arc,
        time::Duration,
    },
};

/// Fraction of a server's slots that must be in use for it to count as loaded.
const LOADED_FRACTION: f64 = 0.5;
/// Factor by which an estimate of the requests in flight has to exceed the needed number: a reader
/// knows those of its data centre and takes the others to have as many.
const LOAD_ESTIMATE_MARGIN: f64 = 1.35;
/// Fewest failed responses on all routes that count as evidence against a version.
const MIN_FAILURES: u32 = 4;
/// Fewest failed responses in one scope that count as evidence against a version.
const MIN_SCOPE_FAILURES: u32 = 3;
/// Lower limit of the baseline failure rate; servers fail a few requests on any day.
pub(super) const MIN_BASELINE_RATE: f64 = 0.01;
/// Lower limit of the baseline rate of interrupted responses. Connections also break when the
/// network fails or servers die. A new version has few servers, so a fifth of them may be affected.
const MIN_BASELINE_BROKEN_RATE: f64 = 0.2;
/// Group of responses that are counted together.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Responses on one route; failed ones count as bad.
    Route(RouteId),
    /// Responses of servers under load; failed ones count as bad.
    Loaded,
    /// All responses; those that were interrupted or never arrived count as bad.
    Broken,
}

/// Response counts of one scope, for the new version and for the other versions.
pub type FailureComparison = Comparison<Scope, Counts>;

/// Evidence that one or more instances have collected during a roll-out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Version that is rolled out.
    pub version: Option<VersionId>,
    /// Response counts by scope.
    #[serde(rename = "lines")]
    pub failures: Vec<FailureComparison>,
    /// Latencies by stratum.
    #[serde(rename = "paces")]
    pub latencies: Vec<LatencyComparison>,
    /// Counts of late requests by route.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub late: Vec<LateComparison>,
    /// Counts of slow responses to requests without a prompt, by route.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slow: Vec<SlowComparison>,
    /// Whether requests run on the old version at one of the instances.
    pub runs_old: bool,
    /// Names under which the instances report whose evidence the report contains.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reporters: Vec<Arc<str>>,
}

impl Report {
    /// Returns how many responses of the new version failed, were interrupted, are slow or are late.
    pub fn failure_count(&self) -> u32 {
        // Responses of loaded servers are also counted on their routes.
        let is_counted_once = |failures: &&FailureComparison| failures.scope != Scope::Loaded;
        let failed = self.failures.iter().filter(is_counted_once).map(|failures| failures.new.bad);
        let slow = self.slow.iter().map(|slow| slow.new.bad);
        failed.chain(slow).chain(self.late.iter().map(|late| late.new.bad)).sum()
    }

    /// Returns the number of responses of all versions.
    pub fn response_count(&self) -> u32 {
        let all = self.failures.iter().filter(|failures| failures.scope == Scope::Broken);
        all.map(|failures| failures.new.all + failures.old.all).sum()
    }

    /// Returns the number of responses of the new version.
    pub fn new_count(&self) -> u32 {
        let all = self.failures.iter().filter(|failures| failures.scope == Scope::Broken);
        all.map(|failures| failures.new.all).sum()
    }

    /// Adds the evidence of another report, which must not contain the same observations.
    #[must_use]
    pub fn merge(self, other: &Self) -> Self {
        let mut reporters = self.reporters;
        reporters.extend(other.reporters.iter().cloned());
        Self {
            version: self.version,
            failures: comparison::merge(
                self.failures.into_iter().chain(other.failures.iter().cloned()),
            ),
            latencies: comparison::merge(
                self.latencies.into_iter().chain(other.latencies.iter().cloned()),
            ),
            late: comparison::merge(self.late.into_iter().chain(other.late.iter().cloned())),
            slow: comparison::merge(self.slow.into_iter().chain(other.slow.iter().cloned())),
            runs_old: self.runs_old || other.runs_old,
            reporters,
        }
    }

    /// Returns the number of responses of the new version that were compared by the time until they
    /// started, late ones included.
    pub fn comparison_count(&self) -> u32 {
        self.latency_count() + self.late.iter().map(|late| late.new.all).sum::<u32>()
    }

    /// Returns the number of latency measurements of the new version.
    pub fn latency_count(&self) -> u32 {
        self.latencies.iter().map(|latency| latency.new.count).sum()
    }
}

/// Evidence that a version is worse than the other versions.
#[derive(Clone, Debug, PartialEq)]
pub enum Regression {
    /// Its responses fail more often on all routes together.
    Failures {
        /// Responses of the version.
        new: Counts,
        /// Responses of the other versions.
        old: Counts,
    },
    /// Its responses in one scope fail more often.
    FailuresInScope(FailureComparison),
    /// Its responses to requests without a prompt are slow more often.
    SlowShare {
        /// Responses of the version.
        new: Counts,
        /// Responses of the other versions.
        old: Counts,
        /// Route on which they are slow, or `None` for all routes.
        route: Option<RouteId>,
    },
    /// Its responses start late more often.
    Late {
        /// Requests to the version.
        new: Counts,
        /// Requests to the other versions.
        old: Counts,
        /// Route on which they are late, or `None` for all routes.
        route: Option<RouteId>,
    },
    /// Its responses are slower.
    Slow {
        /// Kind of latency that is longer.
        span: Span,
        /// Route on which it is longer, or `None` for all routes.
        route: Option<RouteId>,
        /// Size of the difference.
        shift: Shift,
    },
}

/// Observation from an attempt that counts for or against a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The response started after this time.
    Started(Duration),
    /// Mean time between two events of a stream.
    EventGap(Duration),
    /// The server responded with a failure.
    Failed,
    /// The response was interrupted or never arrived.
    Broken,
}

/// Observation of an attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Service of the server.
    pub service: &'a ServiceId,
    /// Version of the server.
    pub version: &'a VersionId,
    /// Route of the request.
    pub route: &'a RouteId,
    /// Requested model.
    pub model: Option<&'a ModelId>,
    /// Whether the request was part of the version's trial, which fills one server after the other
    /// to test the version under load.
    pub is_trial: bool,
    /// Whether the other versions no longer get requests, so that there is nothing to compare with.
    pub is_only_version: bool,
    /// Prompt tokens that the server had to process because it had not cached them.
    pub uncached_tokens: u32,
    /// Load that the server reported with the response.
    pub load: Option<Load>,
    /// What was observed.
    pub signal: Signal,
}

/// Observations of this instance, summed by service, version and scope.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    failures: Table<Scope, Counts>,
    latencies: Table<Stratum, Moments>,
    slowness: Slowness,
    /// Requests that wait for the start of their responses.
    pub waits: Waits,
}

impl Observation<'_> {
    /// Returns whether the request has no prompt, so that its time does not depend on what the server has
    /// cached, nor on how many prompts wait there.
    pub const fn is_promptless(&self) -> bool {
        self.model.is_none() && self.uncached_tokens == 0
    }
}

impl Collector {
    /// Records an observation.
    pub fn record(&mut self, observation: &Observation<'_>) {
        if let Some((stratum, log_time)) = latency::measure(observation) {
            self.latencies.entry(observation.service, observation.version, stratum).push(log_time);
        }
        if let (Signal::Started(time), true) = (observation.signal, observation.is_promptless()) {
            let Observation { service, version, route, .. } = observation;
            self.slowness.record(service, version, route, time);
        }
        if matches!(observation.signal, Signal::EventGap(_)) {
            return;
        }
        let is_broken = observation.signal == Signal::Broken;
        let mut scopes = vec![(Scope::Broken, is_broken)];
        if !is_broken {
            let is_failure = observation.signal == Signal::Failed;
            scopes.push((Scope::Route(observation.route.clone()), is_failure));
            if observation.load.is_some_and(is_loaded) {
                scopes.push((Scope::Loaded, is_failure));
            }
        }
        for (scope, is_bad) in scopes {
            let counts = self.failures.entry(observation.service, observation.version, scope);
            counts.all += 1;
            counts.bad += u32::from(is_bad);
        }
    }

    /// Discards the observations of a service when a roll-out starts.
    pub fn forget(&mut self, service: &ServiceId) {
        self.failures.forget(service);
        self.latencies.forget(service);
        self.slowness.forget(service);
        self.waits.forget(service);
    }

    /// Returns the response counts of `version` and of the other versions of its service, by scope.
    pub fn failures(&self, service: &ServiceId, version: &VersionId) -> Vec<FailureComparison> {
        self.failures.compare(service, version)
    }

    /// Returns the counts of slow responses of `version` and of the other versions of its service, by
    /// route.
    pub fn slow(&self, service: &ServiceId, version: &VersionId) -> Vec<SlowComparison> {
        self.slowness.compare(service, version)
    }

    /// Returns the latencies of `version` and of the other versions of its service, by stratum.
    pub fn latencies(&self, service: &ServiceId, version: &VersionId) -> Vec<LatencyComparison> {
        self.latencies.compare(service, version)
    }
}

impl Display for Regression {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failures { new, old } => write!(
                formatter,
                "cause=failures new={}/{} old={}/{}",
                new.bad, new.all, old.bad, old.all
            ),
            Self::SlowShare { new, old, route } => write!(
                formatter,
                "cause=slow answers route={} new={}/{} old={}/{}",
                route.as_deref().unwrap_or("all"),
                new.bad,
                new.all,
                old.bad,
                old.all
            ),
            Self::Late { new, old, route } => write!(
                formatter,
                "cause=late route={} new={}/{} old={}/{}",
                route.as_deref().unwrap_or("all"),
                new.bad,
                new.all,
                old.bad,
                old.all
            ),
            Self::FailuresInScope(failures) => write!(formatter, "cause=failures of {failures}"),
            Self::Slow { span, route, shift } => {
                let route = route.as_deref().unwrap_or("all");
                write!(formatter, "cause=slow {span} route={route} {shift}")
            }
        }
    }
}

impl Display for FailureComparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let scope = match &self.scope {
            Scope::Route(route) => route,
            Scope::Loaded => "loaded",
            Scope::Broken => "broken",
        };
        let FailureComparison { new, old, .. } = self;
        write!(formatter, "{scope}:new={}/{},old={}/{}", new.bad, new.all, old.bad, old.all)
    }
}

/// Returns the regression of the new version that the evidence of all reports shows, if any.
/// Failures take precedence over latencies.
pub fn detect_regression<'a>(
    failures: impl Iterator<Item = &'a FailureComparison>,
    latencies: impl Iterator<Item = &'a LatencyComparison>,
) -> Option<Regression> {
    if let Some(regression) = failure_regression(failures) {
        return Some(regression);
    }
    let (span, route, shift) = latency::latency_regression(latencies, MIN_REGRESSION_WEIGHT)?;
    Some(Regression::Slow { span, route, shift })
}

/// Returns the regression in the failure rate of the new version, if there is one.
fn failure_regression<'a>(
    failures: impl Iterator<Item = &'a FailureComparison>,
) -> Option<Regression> {
    let scopes = comparison::merge(failures.cloned());
    let (new, old) = all_routes(&scopes);
    if new.is_failing_more(old, MIN_FAILURES, MIN_BASELINE_RATE) {
        return Some(Regression::Failures { new, old });
    }
    let is_failing = |new: Counts, old: Counts, min_baseline: f64| {
        new.is_failing_more(old, MIN_SCOPE_FAILURES, min_baseline)
    };
    let failing = scopes.iter().find(|one| one.is_worse(old, is_failing))?;
    Some(Regression::FailuresInScope(failing.clone()))
}

/// Returns whether the counts of the new and of the other versions are worse, in the sense of `is_worse`, in
/// one scope or on all routes together. Its last argument is the least baseline rate.
pub(super) fn is_any_scope(
    scopes: &[FailureComparison],
    is_worse: impl Fn(Counts, Counts, f64) -> bool,
) -> bool {
    let (new, old) = all_routes(scopes);
    is_worse(new, old, MIN_BASELINE_RATE) || scopes.iter().any(|one| one.is_worse(old, &is_worse))
}

/// Returns the counts of all routes together. Responses of the other scopes are also counted there.
pub(super) fn all_routes(scopes: &[FailureComparison]) -> (Counts, Counts) {
    let (mut new, mut old) = (Counts::default(), Counts::default());
    for failures in scopes.iter().filter(|failures| matches!(failures.scope, Scope::Route(_))) {
        new.add(failures.new);
        old.add(failures.old);
    }
    (new, old)
}

impl FailureComparison {
    /// Returns whether the counts are worse in the sense of `is_worse`; `all_old` are those of the other
    /// versions on all routes.
    fn is_worse(&self, all_old: Counts, is_worse: impl Fn(Counts, Counts, f64) -> bool) -> bool {
        match self.scope {
            Scope::Broken => is_worse(self.new, self.old, MIN_BASELINE_BROKEN_RATE),
            Scope::Route(_) => is_worse(self.new, self.old, MIN_BASELINE_RATE),
            // Servers of the other versions are seldom loaded, and hardly fail more often when they
            // are. They are therefore compared by their responses on all routes.
            Scope::Loaded => is_worse(self.new, all_old, MIN_BASELINE_RATE),
        }
    }
}

/// Returns reports that don't share observations, with as many of them as possible: `single` are the
/// reports of one instance each, `merged` those of several instances, whose reporters may be among
/// the single ones or in several merged reports. An instance that reports to another reader after
/// the first one failed is in the reports of both.
pub fn disjoint_reports<'a>(
    single: Vec<&'a Report>,
    mut merged: Vec<&'a Report>,
) -> Vec<&'a Report> {
    merged.sort_by_key(|report| std::cmp::Reverse(report.response_count()));
    let (mut single, mut chosen): (Vec<&Report>, Vec<&Report>) = (single, Vec::new());
    let shares = |a: &Report, b: &Report| a.reporters.iter().any(|one| b.reporters.contains(one));
    for report in merged {
        if chosen.iter().any(|other| shares(other, report)) {
            continue;
        }
        let covered = single.iter().filter(|other| shares(other, report));
        let covered_responses: u32 = covered.map(|other| other.response_count()).sum();
        if covered_responses < report.response_count() {
            single.retain(|other| !shares(other, report));
            chosen.push(report);
        }
    }
    chosen.extend(single);
    chosen
}

/// Returns whether a server with `slots` would certainly count as loaded with the share of `in_flight`
/// requests that a version gets in the widening phase.
pub fn could_load(in_flight: f64, slots: u32, widening_share: f64) -> bool {
    in_flight * widening_share >= f64::from(slots) * LOADED_FRACTION * LOAD_ESTIMATE_MARGIN
}

/// Returns whether a server counts as loaded.
fn is_loaded(load: Load) -> bool {
    f64::from(load.running + load.waiting) >= f64::from(load.slots) * LOADED_FRACTION
}
