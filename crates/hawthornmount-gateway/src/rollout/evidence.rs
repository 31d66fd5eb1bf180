//! Evidence on versions: how many answers failed, by route and for servers under load, since a
//! version may be bad on one route or under load only; how many broke off; and how fast the others
//! came. They are weighed apart: on a busy day a third of all answers is slow and would hide the
//! failures, and connections break for other reasons than the version.

use {
    super::{
        comparison::{self, Aggregate, Comparison, Table},
        latency::{self, LatencyComparison, Moments, Shift, Span, Stratum},
    },
    crate::{load::Load, route::RouteId},
    hawthornmount_core::id::{ModelId, ServiceId, VersionId},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Part of a server's places that has to be taken for it to count as loaded.
const LOADED: f64 = 0.5;
/// Fewest bad answers of all routes that speak against a version.
const MIN_BAD: u32 = 4;
/// Fewest bad answers of one scope that speak against a version.
const MIN_BAD_SCOPE: u32 = 3;
/// Least rate of bad answers that is taken for usual; servers fail a few answers on any day.
const USUAL_RATE: f64 = 0.01;
/// Least rate of answers that break off that is taken for usual: connections break also when the
/// network does or servers die, and a new version has few servers, so a fifth of them may be struck.
const USUAL_BROKEN_RATE: f64 = 0.2;
/// How many times the others' rate of bad answers counts as usual, for chance and unlike servers.
const RATE_FACTOR: f64 = 1.5;
/// Highest rate that counts as usual.
const MOST_USUAL: f64 = 0.9;
/// Answers that are added to the others', so that a few of them say little.
const PRIOR: f64 = 10.0;
/// Bad answers among them.
const PRIOR_BAD: f64 = 0.3;
/// Weight of evidence, in nats, that speaks against a version: an unlucky good one gets there in one
/// of some thousand looks.
const WEIGHT_AGAINST: f64 = 7.0;

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Answers.
    pub all: u32,
    /// Answers that failed.
    pub bad: u32,
}

/// Which answers are counted together.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Answers on one route that failed.
    Route(RouteId),
    /// Answers of servers under load that failed.
    Loaded,
    /// All answers, of which some broke off or never came.
    Broken,
}

/// Answers of one scope, by the new version and by the others.
pub type FailureComparison = Comparison<Scope, Counts>;

/// What one instance has seen of a roll-out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Version that is rolled out.
    pub version: Option<VersionId>,
    /// Answers by scope.
    pub lines: Vec<FailureComparison>,
    /// How fast answers came.
    pub paces: Vec<LatencyComparison>,
    /// Whether requests run on the old version here.
    pub runs_old: bool,
}

impl Report {
    /// Returns how many answers of the new version failed or broke off.
    pub fn failures(&self) -> u32 {
        // Counted on its route already.
        let is_counted = |line: &&FailureComparison| line.scope != Scope::Loaded;
        self.lines.iter().filter(is_counted).map(|line| line.new.bad).sum()
    }

    /// Returns how many answers of the new version came, fast or slow.
    pub fn answers(&self) -> u32 {
        self.paces.iter().map(|pace| pace.new.count).sum()
    }
}

/// What speaks against a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Regression {
    /// Its answers fail more often than the others'.
    Failures {
        /// Answers of the version.
        new: Counts,
        /// Answers of the others.
        old: Counts,
    },
    /// Its answers of one scope do.
    FailuresOf(FailureComparison),
    /// Its answers are slower than the others'.
    Slow {
        /// Time that is longer.
        span: Span,
        /// Route on which it is, or `None` for all.
        route: Option<RouteId>,
        /// By how much.
        shift: Shift,
    },
}

/// How an attempt ended, as far as it speaks for or against a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// An answer began after this time.
    Started(Duration),
    /// Events of a stream came this far apart in the mean.
    EventGap(Duration),
    /// The server answered with a failure.
    Failed,
    /// The answer broke off or never came.
    Broken,
}

/// The end of an attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Service of the server.
    pub service: &'a ServiceId,
    /// Version of the server.
    pub version: &'a VersionId,
    /// Route of the request.
    pub route: &'a RouteId,
    /// Model that was asked.
    pub model: Option<&'a ModelId>,
    /// Whether the version's requests are concentrated on few servers.
    pub is_concentrated: bool,
    /// Whether other versions get no requests any more, so that nothing can be compared with.
    pub is_only_version: bool,
    /// Prompt tokens that the server had to read.
    pub uncached_tokens: u32,
    /// Load of the server as it told with the answer.
    pub load: Option<Load>,
    /// How the attempt ended.
    pub signal: Signal,
}

/// Answers that this instance has seen, by service, version and scope.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    counts: Table<Scope, Counts>,
    logs: Table<Stratum, Moments>,
}

impl Collector {
    /// Takes note of the end of an attempt.
    pub fn record(&mut self, end: &Observation<'_>) {
        if let Some((stratum, log)) = latency::measure(end) {
            self.logs.of(end.service, end.version, stratum).push(log);
        }
        if matches!(end.signal, Signal::EventGap(_)) {
            return;
        }
        let is_broken = end.signal == Signal::Broken;
        let mut scopes = vec![(Scope::Broken, is_broken)];
        if !is_broken {
            let is_failure = end.signal == Signal::Failed;
            scopes.push((Scope::Route(end.route.clone()), is_failure));
            if end.load.is_some_and(is_loaded) {
                scopes.push((Scope::Loaded, is_failure));
            }
        }
        for (scope, is_bad) in scopes {
            let counts = self.counts.of(end.service, end.version, scope);
            counts.all += 1;
            counts.bad += u32::from(is_bad);
        }
    }

    /// Forgets what was seen of a service, when a roll-out begins.
    pub fn forget(&mut self, service: &ServiceId) {
        self.counts.forget(service);
        self.logs.forget(service);
    }

    /// Returns what was seen of a version and of the others of its service.
    pub fn failures(&self, service: &ServiceId, version: &VersionId) -> Vec<FailureComparison> {
        self.counts.compare(service, version)
    }

    /// Returns how fast answers of a version and of the others of its service came.
    pub fn latencies(&self, service: &ServiceId, version: &VersionId) -> Vec<LatencyComparison> {
        self.logs.compare(service, version)
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
            Self::FailuresOf(line) => write!(formatter, "cause=failures of {line}"),
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

impl Aggregate for Counts {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }
}

impl Counts {
    fn rate(self) -> f64 {
        if self.all == 0 { 0.0 } else { f64::from(self.bad) / f64::from(self.all) }
    }
}

/// Returns what speaks against the new version by the evidence of all reports.
pub fn detect_regression<'a>(
    lines: impl Iterator<Item = &'a FailureComparison>,
    paces: impl Iterator<Item = &'a LatencyComparison>,
) -> Option<Regression> {
    if let Some(regression) = failures(lines) {
        return Some(regression);
    }
    let (span, route, shift) = latency::slow(paces, WEIGHT_AGAINST)?;
    Some(Regression::Slow { span, route, shift })
}

/// Returns where answers of the new version fail more often than the others'.
fn failures<'a>(lines: impl Iterator<Item = &'a FailureComparison>) -> Option<Regression> {
    let scopes = comparison::merge(lines.cloned());
    let (mut new, mut old) = (Counts::default(), Counts::default());
    // The other scopes hold answers that are counted on their routes already.
    for line in scopes.iter().filter(|line| matches!(line.scope, Scope::Route(_))) {
        new.add(line.new);
        old.add(line.old);
    }
    if speaks_against(new, old, MIN_BAD, USUAL_RATE) {
        return Some(Regression::Failures { new, old });
    }
    let is_bad = |line: &FailureComparison| match line.scope {
        Scope::Broken => speaks_against(line.new, line.old, MIN_BAD_SCOPE, USUAL_BROKEN_RATE),
        Scope::Route(_) => speaks_against(line.new, line.old, MIN_BAD_SCOPE, USUAL_RATE),
        // Servers of the other versions are seldom filled, and fail hardly more often when they are.
        Scope::Loaded => speaks_against(line.new, old, MIN_BAD_SCOPE, USUAL_RATE),
    };
    scopes.into_iter().find(is_bad).map(Regression::FailuresOf)
}

/// Tells whether a line shows that loaded servers of the new version answered.
pub fn is_load_tested(line: &FailureComparison) -> bool {
    line.scope == Scope::Loaded && line.new.all >= MIN_BAD_SCOPE
}

/// Weighs how unlikely the bad answers are at the usual rate, `least` or more, by the Chernoff bound.
fn speaks_against(new: Counts, old: Counts, fewest: u32, least: f64) -> bool {
    let usual = (f64::from(old.bad) + PRIOR_BAD) / (f64::from(old.all) + PRIOR) * RATE_FACTOR;
    let usual = usual.clamp(least, MOST_USUAL);
    let rate = new.rate();
    if new.bad < fewest || rate <= usual {
        return false;
    }
    let good = 1.0 - rate;
    let rest = if good > 0.0 { good * (good / (1.0 - usual)).ln() } else { 0.0 };
    let divergence = rate * (rate / usual).ln() + rest;
    f64::from(new.all) * divergence >= WEIGHT_AGAINST
}

/// Tells whether many of a server's places are taken.
fn is_loaded(load: Load) -> bool {
    f64::from(load.running + load.waiting) >= f64::from(load.slots) * LOADED
}
