//! Model cascade: which model of a route handles a request.
//!
//! Small models are cheap and fast and handle most requests well enough. The difficulty of a
//! request is not known beforehand, so each request starts at the smallest model. The head of a
//! response carries the model's confidence; if it is low, the response is dropped before any of it
//! reaches the caller, and the request is escalated to the largest model.
//!
//! The largest model takes ten times the work of the smallest. In a burst, the confidence below
//! which a request is escalated therefore falls the later the larger model would start its
//! response, which takes load off an overloaded fleet.

use std::time::Duration;

/// Confidence, from 0 to 100, below which a request is escalated while the larger model can respond
/// early. A lower threshold delivers more poor responses; a higher one spends more work of the
/// largest model in a burst.
const ESCALATION_THRESHOLD: u8 = 45;

/// Confidence below which a request is escalated however late the larger model would respond:
/// nearly all responses below it are useless.
const LATE_ESCALATION_THRESHOLD: u8 = 10;
/// Share of the target latency up to which the full threshold applies.
const EARLY_SHARE: f64 = 0.5;
/// Share of the target latency from which only the lowest threshold applies.
const LATE_SHARE: f64 = 0.9;

/// Index of a model in a cascade, starting with the smallest.
pub type Level = usize;

/// Share of the target latency within which the largest model has to start its response for an urgent
/// request to begin with it. The rest is left for another server if the first one is silent.
const DIRECT_SHARE: f64 = 0.4;

/// Returns the level at which a request starts, or `None` if the cascade has no models.
pub const fn initial_level(levels: usize) -> Option<Level> {
    if levels == 0 { None } else { Some(0) }
}

/// Returns the level at which a request of the most urgent rank starts: the largest model while it
/// responds early, so that no time of the target is spent on an answer that is dropped. Under load, the
/// smallest model takes a tenth of the work.
pub fn urgent_level(levels: usize, estimate: impl FnOnce(Level) -> Estimate) -> Option<Level> {
    let last = levels.checked_sub(1)?;
    let Estimate { latency, target } = estimate(last);
    let is_early = latency <= target.mul_f64(DIRECT_SHARE);
    Some(if is_early { last } else { 0 })
}

/// Estimate of when the response of a larger model would start.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Time from the arrival of the request to the start of the response.
    pub latency: Duration,
    /// Target latency of the route.
    pub target: Duration,
}

/// Returns the level to which a request is escalated, or `None` if the response can be delivered:
/// the model gave no confidence or a sufficient one, or there is no larger model.
pub fn escalate(
    level: Level,
    levels: usize,
    confidence: Option<u8>,
    estimate: impl FnOnce(Level) -> Estimate,
) -> Option<Level> {
    let confidence = confidence?;
    let last = levels.checked_sub(1).filter(|last| level < *last)?;
    if confidence >= ESCALATION_THRESHOLD {
        return None;
    }
    let estimate = estimate(last);
    let used = estimate.latency.as_secs_f64() / estimate.target.as_secs_f64().max(f64::EPSILON);
    let slack = ((LATE_SHARE - used) / (LATE_SHARE - EARLY_SHARE)).clamp(0.0, 1.0);
    let least = f64::from(LATE_ESCALATION_THRESHOLD);
    let threshold = least + (f64::from(ESCALATION_THRESHOLD) - least) * slack;
    (f64::from(confidence) < threshold).then_some(last)
}
