//! Evidence on versions: how many answers failed, by route and for servers under load, since a
//! version may be bad on one route or under load only; and how many came much later or slower than
//! usual. Failures and slow answers are weighed apart: on a busy day a third of all answers is slow,
//! and would hide the failures.

use {
    crate::{ladder::Rung, load::Load, route::RouteId},
    hawthornmount_core::id::{ServiceId, VersionId},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Answers that take longer than this many times the usual count as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Events that come this many times farther apart than usual count as slow. Long prompts between them
/// often double the gaps of every version.
const SLOW_GAP_FACTOR: f64 = 2.2;
/// Answers that take less than this longer than the usual never count as slow.
/// In seconds.
const SLOW_MARGIN: f64 = 0.1;
/// Time in which an answer without a prompt begins.
const WORK_BASE: Duration = Duration::from_millis(50);
/// Time in which an engine reads a token of a prompt; engines read some 60 in a millisecond.
const SECONDS_PER_TOKEN: f64 = 1.0 / 60_000.0;
/// Weight of a new answer in the usual pace.
const WEIGHT: f64 = 0.1;
/// Part of a server's places that has to be taken for it to count as loaded.
const LOADED: f64 = 0.45;
/// Fewest bad answers of all routes that speak against a version.
const MIN_BAD: u32 = 4;
/// Fewest bad answers of one scope that speak against a version.
const MIN_BAD_SCOPE: u32 = 3;
/// Least rate of bad answers that is taken for usual; servers fail a few answers on any day.
const USUAL_RATE: f64 = 0.01;
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
    /// Answers that failed or were slow.
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
    /// Answers that began late.
    Start,
    /// Streams whose events came far apart.
    Pace,
}

/// Answers of one scope, by the new version and by the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Which answers.
    pub scope: Scope,
    /// Answers of the new version.
    pub new: Counts,
    /// Answers of the other versions.
    pub old: Counts,
}

/// What one instance has seen of a roll-out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Version that is rolled out.
    pub version: Option<VersionId>,
    /// Answers by scope.
    pub lines: Vec<Line>,
    /// Whether requests run on the old version here.
    pub runs_old: bool,
}

impl Report {
    /// Returns how much the report says against the new version: a slow answer less than a failure,
    /// since answers of every version are slow now and then.
    pub fn gravity(&self) -> u32 {
        let weight = |line: &Line| match line.scope {
            Scope::Route(_) => 2,
            Scope::Start | Scope::Pace => 1,
            // Counted on its route already.
            Scope::Loaded => 0,
        };
        self.lines.iter().map(|line| line.new.bad * weight(line)).sum()
    }
}

/// How an attempt ended, as far as it speaks for or against a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// An answer began after this time.
    Began(Duration),
    /// Events of a stream came this far apart in the mean.
    Paced(Duration),
    /// The server failed.
    Failed,
}

/// The end of an attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct End<'a> {
    /// Service of the server.
    pub service: &'a ServiceId,
    /// Version of the server.
    pub version: &'a VersionId,
    /// Route of the request.
    pub route: &'a RouteId,
    /// Rung of the model that was asked.
    pub rung: Option<Rung>,
    /// Whether the version is under a roll-out.
    pub is_new: bool,
    /// Whether the version's requests are concentrated on few servers.
    pub is_trial: bool,
    /// Prompt tokens that the server had to read.
    pub unread: u32,
    /// Time within which an answer of the route is on time.
    pub target: Duration,
    /// Load of the server as it told with the answer.
    pub load: Option<Load>,
    /// How the attempt ended.
    pub sign: Sign,
}

/// Usual pace at which answers of one kind begin.
#[derive(Clone, Debug)]
struct Usual {
    route: RouteId,
    rung: Option<Rung>,
    /// Logarithm of the pace.
    log_pace: f64,
}

#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    version: VersionId,
    scope: Scope,
    counts: Counts,
}

/// Answers that this instance has seen, by service, version and scope.
#[derive(Clone, Debug, Default)]
pub struct Book {
    rows: Vec<Row>,
    /// Usual time until an answer begins, by the time that its work should take.
    usual: Vec<Usual>,
    /// Usual seconds between two events.
    gaps: Vec<Usual>,
}

impl Book {
    /// Takes note of the end of an attempt. The usual times come from versions that are not under a
    /// roll-out.
    pub fn note(&mut self, end: &End<'_>) {
        let mut seen = Vec::new();
        match end.sign {
            Sign::Failed => seen.push((Scope::Route(end.route.clone()), true)),
            Sign::Began(time) => {
                seen.push((Scope::Route(end.route.clone()), false));
                // A trial fills its server on purpose, so slow answers say nothing there.
                if !end.is_trial {
                    seen.push((Scope::Start, self.is_slow(end, time)));
                }
            }
            Sign::Paced(_) if end.is_trial => {}
            Sign::Paced(gap) => seen.push((Scope::Pace, self.is_sluggish(end, gap))),
        }
        let is_answer = !matches!(end.sign, Sign::Paced(_));
        if is_answer && end.load.is_some_and(is_loaded) {
            seen.push((Scope::Loaded, end.sign == Sign::Failed));
        }
        for (scope, is_bad) in seen {
            let counts = self.counts(end.service, end.version, scope);
            counts.all += 1;
            counts.bad += u32::from(is_bad);
        }
    }

    /// Forgets what was seen of a service, when a roll-out begins.
    pub fn forget(&mut self, service: &ServiceId) {
        self.rows.retain(|row| row.service != *service);
    }

    /// Returns what was seen of a version and of the others of its service.
    pub fn lines(&self, service: &ServiceId, version: &VersionId) -> Vec<Line> {
        let mut lines: Vec<Line> = Vec::new();
        for row in self.rows.iter().filter(|row| row.service == *service) {
            let at = match lines.binary_search_by(|line| line.scope.cmp(&row.scope)) {
                Ok(at) => at,
                Err(at) => {
                    let line = Line {
                        scope: row.scope.clone(),
                        new: Counts::default(),
                        old: Counts::default(),
                    };
                    lines.insert(at, line);
                    at
                }
            };
            let line = &mut lines[at];
            let counts = if row.version == *version { &mut line.new } else { &mut line.old };
            counts.add(row.counts);
        }
        lines
    }

    /// Tells whether events came much farther apart than usual, and learns what is usual.
    fn is_sluggish(&mut self, end: &End<'_>, gap: Duration) -> bool {
        let factor = learn(&mut self.gaps, end, gap.as_secs_f64());
        factor.is_some_and(|factor| factor > SLOW_GAP_FACTOR)
    }

    /// Tells whether an answer came much later than usual for its work, and learns what is usual. An
    /// instance that has just started knows nothing usual and goes by the route's target.
    fn is_slow(&mut self, end: &End<'_>, time: Duration) -> bool {
        let seconds = time.as_secs_f64();
        let work = WORK_BASE.as_secs_f64() + f64::from(end.unread) * SECONDS_PER_TOKEN;
        match learn(&mut self.usual, end, seconds / work) {
            Some(factor) => factor > SLOW_FACTOR && seconds * (1.0 - 1.0 / factor) > SLOW_MARGIN,
            None => time > end.target,
        }
    }

    fn counts(&mut self, service: &ServiceId, version: &VersionId, scope: Scope) -> &mut Counts {
        let wanted = (service, version, &scope);
        let found =
            self.rows.binary_search_by(|row| (&row.service, &row.version, &row.scope).cmp(&wanted));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let (service, version) = (service.clone(), version.clone());
                let counts = Counts::default();
                self.rows.insert(at, Row { service, version, scope, counts });
                at
            }
        };
        &mut self.rows[at].counts
    }
}

impl Display for Line {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let scope = match &self.scope {
            Scope::Route(route) => route,
            Scope::Loaded => "loaded",
            Scope::Start => "start",
            Scope::Pace => "pace",
        };
        let Line { new, old, .. } = self;
        write!(formatter, "{scope}:new={}/{},old={}/{}", new.bad, new.all, old.bad, old.all)
    }
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }

    fn rate(self) -> f64 {
        if self.all == 0 { 0.0 } else { f64::from(self.bad) / f64::from(self.all) }
    }
}

/// Tells whether the evidence of all reports speaks against the new version.
pub fn is_bad<'a>(lines: impl Iterator<Item = &'a Line>) -> bool {
    let mut scopes: Vec<Line> = Vec::new();
    for line in lines {
        match scopes.binary_search_by(|known| known.scope.cmp(&line.scope)) {
            Ok(at) => {
                scopes[at].new.add(line.new);
                scopes[at].old.add(line.old);
            }
            Err(at) => scopes.insert(at, line.clone()),
        }
    }
    let mut all = (Counts::default(), Counts::default());
    // The other scopes hold answers that are counted on their routes already.
    for line in scopes.iter().filter(|line| matches!(line.scope, Scope::Route(_))) {
        all.0.add(line.new);
        all.1.add(line.old);
    }
    let is_scope_bad = |line: &Line| speaks_against(line.new, line.old, MIN_BAD_SCOPE);
    speaks_against(all.0, all.1, MIN_BAD) || scopes.iter().any(is_scope_bad)
}

/// Tells whether a line shows that loaded servers of the new version answered.
pub fn is_tested(line: &Line) -> bool {
    line.scope == Scope::Loaded && line.new.all >= MIN_BAD_SCOPE
}

/// Weighs how unlikely the bad answers are at the usual rate, by the Chernoff bound.
fn speaks_against(new: Counts, old: Counts, fewest: u32) -> bool {
    let usual = (f64::from(old.bad) + PRIOR_BAD) / (f64::from(old.all) + PRIOR) * RATE_FACTOR;
    let usual = usual.clamp(USUAL_RATE, MOST_USUAL);
    let rate = new.rate();
    if new.bad < fewest || rate <= usual {
        return false;
    }
    let good = 1.0 - rate;
    let rest = if good > 0.0 { good * (good / (1.0 - usual)).ln() } else { 0.0 };
    let divergence = rate * (rate / usual).ln() + rest;
    f64::from(new.all) * divergence >= WEIGHT_AGAINST
}

/// Returns how many times the usual pace a pace is, if one is known, and learns the usual one from versions that are
/// not under a roll-out. The geometric mean is kept, since a few answers wait many times longer.
fn learn(usual: &mut Vec<Usual>, end: &End<'_>, pace: f64) -> Option<f64> {
    let log = pace.max(f64::MIN_POSITIVE).ln();
    let wanted = (end.route, end.rung);
    match usual.binary_search_by(|usual| (&usual.route, usual.rung).cmp(&wanted)) {
        Ok(at) => {
            let known = &mut usual[at].log_pace;
            let factor = (log - *known).exp();
            if !end.is_new {
                *known += (log - *known) * WEIGHT;
            }
            Some(factor)
        }
        Err(_) if end.is_new => None,
        Err(at) => {
            usual.insert(at, Usual { route: end.route.clone(), rung: end.rung, log_pace: log });
            None
        }
    }
}

fn is_loaded(load: Load) -> bool {
    f64::from(load.running + load.waiting) >= f64::from(load.slots) * LOADED
}
