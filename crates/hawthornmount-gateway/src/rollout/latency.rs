//! Compares the latencies of a new version with those of the other versions.
//!
//! Responses on one route and of one model, under a similar load, are compared by the mean of the
//! logarithms of their latencies. The versions run side by side during a roll-out, so no history of
//! usual latencies is needed, and an instance that has just started judges as well as the others.

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

/// Expected time until the response to a request without a prompt starts. It need not be exact,
/// because the times of all versions are divided by expected times that are calculated alike.
const EMPTY_PROMPT_LATENCY: Duration = Duration::from_millis(50);
/// Prefill time per prompt token; engines process about 60 prompt tokens per millisecond.
const PREFILL_SECONDS_PER_TOKEN: f64 = 1.0 / 60_000.0;
/// Time that is added to each measured time until a response starts, so that differences of a few
/// milliseconds have little effect.
const LATENCY_OFFSET: Duration = Duration::from_millis(20);
/// Lower limit of the standard deviation of the logarithms. Delays come in bursts that affect
/// several responses at once, so similar responses count for less than their number.
const MIN_DEVIATION: f64 = 0.5;
/// Smallest shift of the mean logarithm of the times until responses start that counts against a
/// version. If half of the responses are eight times slower, the shift is 1.
const MIN_START_SHIFT: f64 = 0.9;
/// Smallest shift of the mean logarithm of event gaps that counts against a version. Gaps are up to
/// twice as long while the server processes long prompts, and the servers of a new version handle
/// all requests at the end of its roll-out.
const MIN_GAP_SHIFT: f64 = 0.75;
/// Fewest responses of the new version that count against it.
const MIN_RESPONSES: u32 = 6;

/// Kind of latency that is compared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// From the start of an attempt until its response starts.
    Start,
    /// From one event of a stream to the next.
    Gap,
}

/// Group of responses that differ only in their version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stratum {
    /// Kind of latency.
    pub span: Span,
    /// Route of the requests.
    pub route: RouteId,
    /// Requested model.
    pub model: Option<ModelId>,
    /// Fraction of the server's slots that were in use, in quarters.
    #[serde(rename = "fill")]
    pub load_quarters: u8,
}

/// Sums over logarithms of latencies, from which mean and variance follow.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Moments {
    /// Number of logarithms.
    pub count: u32,
    /// Sum of the logarithms.
    pub sum: f32,
    /// Sum of the squares of the logarithms.
    pub squares: f32,
}

/// Latencies of one stratum, for the new version and for the other versions.
pub type LatencyComparison = Comparison<Stratum, Moments>;

/// Difference in latency between the new version and the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shift {
    /// Difference between the mean logarithms; positive if the new version is slower.
    pub mean: f64,
    /// Responses of the new version that were compared.
    pub responses: u32,
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
    /// Adds the logarithm of a latency.
    pub fn push(&mut self, log_time: f64) {
        self.count += 1;
        self.sum += log_time as f32;
        self.squares += (log_time * log_time) as f32;
    }

    fn mean(self) -> f64 {
        f64::from(self.sum) / f64::from(self.count)
    }

    /// Returns the sum of the squared deviations from the mean.
    fn squared_deviations(self) -> f64 {
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
        let Self { mean, responses, weight } = self;
        write!(formatter, "factor={:.2} answers={responses} weight={weight:.1}", mean.exp())
    }
}

impl Display for LatencyComparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Stratum { span, route, model, load_quarters } = &self.scope;
        let model = model.as_deref().unwrap_or("any");
        let factor = (self.new.mean() - self.old.mean()).exp();
        write!(
            formatter,
            "{span}/{route}/{model}/{load_quarters}:new={},old={},factor={factor:.2}",
            self.new.count, self.old.count
        )
    }
}

/// Returns the expected time until the response to a request starts.
pub fn expected_start(uncached_tokens: u32) -> Duration {
    let prefill = f64::from(uncached_tokens) * PREFILL_SECONDS_PER_TOKEN;
    EMPTY_PROMPT_LATENCY + Duration::from_secs_f64(prefill)
}

/// Returns the stratum of an observation and the logarithm of its latency, or `None` if it can't be
/// compared. The time until a response starts is divided by the expected time. That of a request with a
/// prompt can't be compared during a trial, which fills one server after the other, or once one version
/// gets all requests: prompts then wait at fewer servers, which makes it longer.
pub fn measure(observation: &Observation<'_>) -> Option<(Stratum, f64)> {
    let (span, time) = match observation.signal {
        Signal::Started(_)
            if (observation.is_only_version || observation.is_trial)
                && !observation.is_promptless() =>
        {
            return None;
        }
        Signal::Started(time) => (Span::Start, time),
        Signal::EventGap(gap) => (Span::Gap, gap),
        Signal::Failed | Signal::Broken => return None,
    };
    let expected_seconds = match span {
        Span::Start => expected_start(observation.uncached_tokens).as_secs_f64(),
        Span::Gap => 1.0,
    };
    let offset = if span == Span::Start { LATENCY_OFFSET } else { Duration::ZERO };
    let seconds = (time + offset).as_secs_f64().max(f64::MIN_POSITIVE);
    let stratum = Stratum {
        span,
        route: observation.route.clone(),
        model: observation.model.cloned(),
        load_quarters: observation.load.map_or(0, load_quarters),
    };
    Some((stratum, (seconds / expected_seconds).ln()))
}

/// Returns the kind of latency, the route and the size of the regression that the latencies of all
/// reports show, if any. All routes together are checked first, then each route.
pub fn latency_regression<'a>(
    latencies: impl Iterator<Item = &'a LatencyComparison>,
    min_weight: f64,
) -> Option<(Span, Option<RouteId>, Shift)> {
    let latencies = comparison::merge(latencies.cloned());
    let regression = |span: Span, route: Option<&RouteId>| {
        let is_selected = |latency: &&LatencyComparison| {
            latency.scope.span == span && route.is_none_or(|route| latency.scope.route == *route)
        };
        let shift = mean_shift(latencies.iter().filter(is_selected));
        let is_slow = shift.mean >= span.min_shift()
            && shift.responses >= MIN_RESPONSES
            && shift.weight >= min_weight;
        is_slow.then(|| (span, route.cloned(), shift))
    };
    let regression_on_route =
        |latency: &LatencyComparison| regression(latency.scope.span, Some(&latency.scope.route));
    regression(Span::Start, None)
        .or_else(|| regression(Span::Gap, None))
        .or_else(|| latencies.iter().find_map(regression_on_route))
}

/// Returns how much slower the new version is. Strata without responses of either side are left
/// out.
pub fn mean_shift<'a>(latencies: impl Iterator<Item = &'a LatencyComparison> + Clone) -> Shift {
    let comparable = latencies.filter(|latency| latency.new.count > 0 && latency.old.count > 0);
    let weight = |latency: &LatencyComparison| {
        let (new, old) = (f64::from(latency.new.count), f64::from(latency.old.count));
        new * old / (new + old)
    };
    let total_weight: f64 = comparable.clone().map(weight).sum();
    if total_weight <= 0.0 {
        return Shift::default();
    }
    let weighted_difference =
        |latency: &LatencyComparison| weight(latency) * (latency.new.mean() - latency.old.mean());
    let mean = comparable.clone().map(weighted_difference).sum::<f64>() / total_weight;
    let squared_deviations: f64 =
        comparable.clone().map(|latency| latency.old.squared_deviations()).sum();
    let degrees_of_freedom: u32 = comparable.clone().map(|latency| latency.old.count - 1).sum();
    let deviation =
        (squared_deviations / f64::from(degrees_of_freedom.max(1))).sqrt().max(MIN_DEVIATION);
    let z_score = mean * total_weight.sqrt() / deviation;
    let responses = comparable.map(|latency| latency.new.count).sum();
    Shift { mean, responses, weight: z_score.max(0.0).powi(2) / 2.0 }
}

impl Span {
    const fn min_shift(self) -> f64 {
        match self {
            Self::Start => MIN_START_SHIFT,
            Self::Gap => MIN_GAP_SHIFT,
        }
    }
}

/// Returns the fraction of a server's slots that are in use, in quarters.
fn load_quarters(load: Load) -> u8 {
    let quarters = 4 * (load.running + load.waiting) / load.slots.max(1);
    quarters.min(4) as u8
}
