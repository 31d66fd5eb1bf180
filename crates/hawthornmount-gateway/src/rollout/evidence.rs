//! Evidence on versions: how many answers failed or came much later than usual, by route.

use {
    crate::{ladder::Rung, route::RouteId},
    hawthornmount_core::id::{ServiceId, VersionId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Answers that take longer than this many times the usual count as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Answers that take less than this longer than the usual never count as slow.
const SLOW_MARGIN: Duration = Duration::from_millis(250);
/// Weight of a new answer in the usual time.
const WEIGHT: f64 = 0.1;
/// Fewest bad answers of all routes that speak against a version.
const MIN_BAD: u32 = 4;
/// Fewest bad answers of one route that speak against a version.
const MIN_BAD_ROUTE: u32 = 3;
/// Rate of bad answers by which a version has to exceed the others.
const EXCESS: f64 = 0.12;
/// How many times the others' rate of bad answers a version has to exceed.
const FACTOR: f64 = 2.5;

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Answers.
    pub all: u32,
    /// Answers that failed or were slow.
    pub bad: u32,
}

/// Answers on one route, by the new version and by the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// The route.
    pub route: RouteId,
    /// Answers of the new version.
    pub new: Counts,
    /// Answers of the other versions.
    pub old: Counts,
}

/// What one instance has seen of a roll-out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Version that is rolled out.
    pub version: VersionIdOrNone,
    /// Answers by route.
    pub lines: Vec<Line>,
    /// Whether requests run on the old version here.
    pub runs_old: bool,
}

/// Version of a report; none before the first roll-out.
pub type VersionIdOrNone = Option<VersionId>;

/// How an attempt ended, as far as it speaks for or against a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// An answer began after this time.
    Began(Duration),
    /// The server failed.
    Failed,
}

/// Usual time until answers of one kind begin.
#[derive(Clone, Debug)]
struct Usual {
    route: RouteId,
    rung: Option<Rung>,
    seconds: f64,
}

#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    version: VersionId,
    route: RouteId,
    counts: Counts,
}

/// Answers that this instance has seen, by service, version and route.
#[derive(Clone, Debug, Default)]
pub struct Book {
    rows: Vec<Row>,
    usual: Vec<Usual>,
}

impl Book {
    /// Takes note of the end of an attempt. The usual times come from versions that are not under a
    /// roll-out (`is_new` is false).
    pub fn note(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        route: &RouteId,
        rung: Option<Rung>,
        is_new: bool,
        sign: Sign,
    ) {
        let is_bad = match sign {
            Sign::Failed => true,
            Sign::Began(time) => self.is_slow(route, rung, is_new, time),
        };
        let counts = self.counts(service, version, route);
        counts.all += 1;
        counts.bad += u32::from(is_bad);
    }

    /// Forgets what was seen of a service, when a roll-out begins.
    pub fn forget(&mut self, service: &ServiceId) {
        self.rows.retain(|row| row.service != *service);
    }

    /// Returns what was seen of a version and of the others of its service.
    pub fn lines(&self, service: &ServiceId, version: &VersionId) -> Vec<Line> {
        let mut lines: Vec<Line> = Vec::new();
        for row in self.rows.iter().filter(|row| row.service == *service) {
            let at = match lines.binary_search_by(|line| line.route.cmp(&row.route)) {
                Ok(at) => at,
                Err(at) => {
                    let line = Line {
                        route: row.route.clone(),
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

    /// Tells whether an answer came much later than usual, and learns the usual time.
    fn is_slow(
        &mut self,
        route: &RouteId,
        rung: Option<Rung>,
        is_new: bool,
        time: Duration,
    ) -> bool {
        let seconds = time.as_secs_f64();
        let key = |usual: &Usual| (usual.route.clone(), usual.rung);
        let wanted = (route.clone(), rung);
        match self.usual.binary_search_by(|usual| key(usual).cmp(&wanted)) {
            Ok(at) => {
                let usual = &mut self.usual[at].seconds;
                let is_slow =
                    seconds > *usual * SLOW_FACTOR && seconds > *usual + SLOW_MARGIN.as_secs_f64();
                if !is_new {
                    *usual += (seconds - *usual) * WEIGHT;
                }
                is_slow
            }
            Err(at) if !is_new => {
                self.usual.insert(at, Usual { route: route.clone(), rung, seconds });
                false
            }
            Err(_) => false,
        }
    }

    fn counts(&mut self, service: &ServiceId, version: &VersionId, route: &RouteId) -> &mut Counts {
        let wanted = (service, version, route);
        let found =
            self.rows.binary_search_by(|row| (&row.service, &row.version, &row.route).cmp(&wanted));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let row = Row {
                    service: service.clone(),
                    version: version.clone(),
                    route: route.clone(),
                    counts: Counts::default(),
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at].counts
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
    let mut routes: Vec<Line> = Vec::new();
    for line in lines {
        match routes.binary_search_by(|known| known.route.cmp(&line.route)) {
            Ok(at) => {
                routes[at].new.add(line.new);
                routes[at].old.add(line.old);
            }
            Err(at) => routes.insert(at, line.clone()),
        }
    }
    let mut all = (Counts::default(), Counts::default());
    for line in &routes {
        all.0.add(line.new);
        all.1.add(line.old);
    }
    let is_route_bad = |line: &Line| speaks_against(line.new, line.old, MIN_BAD_ROUTE);
    speaks_against(all.0, all.1, MIN_BAD) || routes.iter().any(is_route_bad)
}

fn speaks_against(new: Counts, old: Counts, fewest: u32) -> bool {
    new.bad >= fewest && new.rate() > old.rate() * FACTOR + EXCESS
}
