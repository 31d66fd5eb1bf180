//! How much slower a new version is than the others. Answers of one route and model, under a like
//! load, are compared in the mean of their logarithms: the versions run side by side during a
//! roll-out, so nothing has to be known of what is usual, and an instance that has just started
//! judges as well as the others.

use {
    super::{
        comparison::{self, Aggregate, Comparison},
        evidence::{Observation, Signal},
    },
    crate::{load::Load, route::RouteId},
    hawthornmount_core::id::ModelId,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Time in which an answer without a prompt begins.
const WORK_BASE: Duration = Duration::from_millis(50);
/// Time in which an engine reads a token of a prompt; engines read some 60 in a millisecond.
const SECONDS_PER_TOKEN: f64 = 1.0 / 60_000.0;
/// Time that is added to each, so that differences of a few milliseconds say nothing.
const BLUR: Duration = Duration::from_millis(20);
/// Least spread of the logarithms. Waits come in bursts that strike several answers at once, so
/// answers that are alike say less than their number.
const MIN_SPREAD: f64 = 0.5;
/// Least shift of the mean logarithm that speaks against a version, by the time that is compared:
/// half of the answers eight times slower shift it by 1. Events come at up to twice the distance where
/// long prompts are read, and the servers of a new version take all requests at its end.
const MIN_START_SHIFT: f64 = 0.9;
const MIN_GAP_SHIFT: f64 = 0.75;
/// Fewest answers of the new version that speak against it.
const MIN_ANSWERS: u32 = 6;

/// Time that is compared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// From the hand-over until the answer begins.
    Start,
    /// From one event of a stream to the next.
    Gap,
}

/// Answers that are alike but for the version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stratum {
    /// Time that is compared.
    pub span: Span,
    /// Route of the requests.
    pub route: RouteId,
    /// Model that was asked.
    pub model: Option<ModelId>,
    /// How far the server's places were taken, in quarters.
    pub fill: u8,
}

/// Logarithms of times.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Moments {
    /// How many.
    pub count: u32,
    /// Their sum.
    pub sum: f32,
    /// Aggregate of their squares.
    pub squares: f32,
}

/// Times of one stratum, by the new version and by the others.
pub type LatencyComparison = Comparison<Stratum, Moments>;

/// Difference between the new version and the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shift {
    /// By how much the mean logarithm is larger.
    pub mean: f64,
    /// Answers of the new version that could be compared.
    pub answers: u32,
    /// Weight of the evidence, in nats.
    pub weight: f64,
}

impl Aggregate for Moments {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }
}

impl Moments {
    /// Adds a logarithm.
    pub fn push(&mut self, log: f64) {
        self.count += 1;
        self.sum += log as f32;
        self.squares += (log * log) as f32;
    }

    fn mean(self) -> f64 {
        f64::from(self.sum) / f64::from(self.count)
    }

    /// Returns the sum of the squared distances from the mean.
    fn scatter(self) -> f64 {
        (f64::from(self.squares) - f64::from(self.sum) * self.mean()).max(0.0)
    }
}

impl Display for Span {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Start => "start",
            Self::Gap => "gap",
        })
    }
}

impl Display for Shift {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { mean, answers, weight } = self;
        write!(formatter, "factor={:.2} answers={answers} weight={weight:.1}", mean.exp())
    }
}

impl Display for LatencyComparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Stratum { span, route, model, fill } = &self.scope;
        let model = model.as_deref().unwrap_or("any");
        let factor = (self.new.mean() - self.old.mean()).exp();
        write!(
            formatter,
            "{span}/{route}/{model}/{fill}:new={},old={},factor={factor:.2}",
            self.new.count, self.old.count
        )
    }
}

/// Returns the stratum of an answer and the logarithm of its time for its work, if it can be
/// compared. The time until an answer begins can't while a trial fills a server or once one version
/// gets all requests: the prompts that wait at fewer servers make it longer.
pub fn measure(end: &Observation<'_>) -> Option<(Stratum, f64)> {
    let (span, time) = match end.signal {
        Signal::Started(_) if end.is_only_version || end.is_concentrated => return None,
        Signal::Started(time) => (Span::Start, time),
        Signal::EventGap(gap) => (Span::Gap, gap),
        Signal::Failed | Signal::Broken => return None,
    };
    let work = match span {
        Span::Start => WORK_BASE.as_secs_f64() + f64::from(end.uncached_tokens) * SECONDS_PER_TOKEN,
        Span::Gap => 1.0,
    };
    let blur = if span == Span::Start { BLUR } else { Duration::ZERO };
    let seconds = (time + blur).as_secs_f64().max(f64::MIN_POSITIVE);
    let stratum = Stratum {
        span,
        route: end.route.clone(),
        model: end.model.cloned(),
        fill: end.load.map_or(0, fill),
    };
    Some((stratum, (seconds / work).ln()))
}

/// Returns in what the new version is slower by the paces of all reports, if they speak against it:
/// in all answers together, or those of one route.
pub fn slow<'a>(
    paces: impl Iterator<Item = &'a LatencyComparison>,
    weight_against: f64,
) -> Option<(Span, Option<RouteId>, Shift)> {
    let paces = comparison::merge(paces.cloned());
    let speaks = |span: Span, route: Option<&RouteId>| {
        let is_meant = |pace: &&LatencyComparison| {
            pace.scope.span == span && route.is_none_or(|route| pace.scope.route == *route)
        };
        let shift = shift(paces.iter().filter(is_meant));
        let is_slow = shift.mean >= span.min_shift()
            && shift.answers >= MIN_ANSWERS
            && shift.weight >= weight_against;
        is_slow.then(|| (span, route.cloned(), shift))
    };
    let one = |pace: &LatencyComparison| speaks(pace.scope.span, Some(&pace.scope.route));
    speaks(Span::Start, None)
        .or_else(|| speaks(Span::Gap, None))
        .or_else(|| paces.iter().find_map(one))
}

/// Returns by how much the new version is slower. Strata in which a version gave no answer tell
/// nothing.
pub fn shift<'a>(paces: impl Iterator<Item = &'a LatencyComparison> + Clone) -> Shift {
    let both = paces.filter(|pace| pace.new.count > 0 && pace.old.count > 0);
    let weight = |pace: &LatencyComparison| {
        let (new, old) = (f64::from(pace.new.count), f64::from(pace.old.count));
        new * old / (new + old)
    };
    let all: f64 = both.clone().map(weight).sum();
    if all <= 0.0 {
        return Shift::default();
    }
    let moved = |pace: &LatencyComparison| weight(pace) * (pace.new.mean() - pace.old.mean());
    let mean = both.clone().map(moved).sum::<f64>() / all;
    let scatter: f64 = both.clone().map(|pace| pace.old.scatter()).sum();
    let degrees: u32 = both.clone().map(|pace| pace.old.count - 1).sum();
    let spread = (scatter / f64::from(degrees.max(1))).sqrt().max(MIN_SPREAD);
    let deviations = mean * all.sqrt() / spread;
    let answers = both.map(|pace| pace.new.count).sum();
    Shift { mean, answers, weight: deviations.max(0.0).powi(2) / 2.0 }
}

impl Span {
    const fn min_shift(self) -> f64 {
        match self {
            Self::Start => MIN_START_SHIFT,
            Self::Gap => MIN_GAP_SHIFT,
        }
    }
}

/// Returns how far a server's places are taken, in quarters.
fn fill(load: Load) -> u8 {
    let quarters = 4 * (load.running + load.waiting) / load.slots.max(1);
    quarters.min(4) as u8
}
