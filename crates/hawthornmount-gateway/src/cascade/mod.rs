//! Which model of a route's ladder answers. Small models are cheap and fast and answer most
//! requests well enough; each answer carries the model's own opinion of it before any of it is
//! passed on, so an answer that the model doubts is dropped and asked of the largest model.
//!
//! Answers the load of requests whose difficulty is not known beforehand, and bursts: the largest
//! model takes ten times the work of the smallest, so the later its answer would begin, the more
//! doubtful an answer has to be to be asked again. The ladder is the valve of an overloaded fleet.

use std::time::Duration;

/// Opinion, from 0 to 100, below which an answer is asked again of the largest model. Of 25 to 65 in
/// steps of ten it gave the most useful answers in time on the users' bench.
const ESCALATION_THRESHOLD: u8 = 45;

/// Opinion below which an answer is asked again however late the other one would begin: nearly all
/// such answers are useless.
const LATE_ESCALATION_THRESHOLD: u8 = 10;
/// Part of the target up to which a later answer is as good as an early one.
const EARLY_SHARE: f64 = 0.5;
/// Part of the target from which only useless answers are asked again.
const LATE_SHARE: f64 = 0.9;

/// Position in a ladder of models, from the smallest.
pub type Level = usize;

/// Returns the rung on which a request starts.
pub const fn initial_level(levels: usize) -> Option<Level> {
    if levels == 0 { None } else { Some(0) }
}

/// When an answer of a larger model would begin.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Time from the request's arrival until then.
    pub begins: Duration,
    /// Time within which an answer is on time.
    pub target: Duration,
}

/// Returns the rung on which the request is asked again, if the answer is in doubt.
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
    let used = estimate.begins.as_secs_f64() / estimate.target.as_secs_f64().max(f64::EPSILON);
    let ease = ((LATE_SHARE - used) / (LATE_SHARE - EARLY_SHARE)).clamp(0.0, 1.0);
    let least = f64::from(LATE_ESCALATION_THRESHOLD);
    let threshold = least + (f64::from(ESCALATION_THRESHOLD) - least) * ease;
    (f64::from(confidence) < threshold).then_some(last)
}
