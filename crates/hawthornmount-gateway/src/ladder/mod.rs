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
const DOUBT: u8 = 45;

/// Opinion below which an answer is asked again however late the other one would begin: nearly all
/// such answers are useless.
const LEAST_DOUBT: u8 = 10;
/// Part of the target up to which a later answer is as good as an early one.
const EARLY: f64 = 0.5;
/// Part of the target from which only useless answers are asked again.
const LATE: f64 = 0.9;

/// Position in a ladder of models, from the smallest.
pub type Rung = usize;

/// Returns the rung on which a request starts.
pub const fn start(rungs: usize) -> Option<Rung> {
    if rungs == 0 { None } else { Some(0) }
}

/// When an answer of a larger model would begin.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Time from the request's arrival until then.
    pub begins: Duration,
    /// Time within which an answer is on time.
    pub target: Duration,
}

/// Returns the rung on which the request is asked again, if the answer is in doubt.
pub fn climb(
    rung: Rung,
    rungs: usize,
    confidence: Option<u8>,
    outlook: impl FnOnce(Rung) -> Outlook,
) -> Option<Rung> {
    let confidence = confidence?;
    let last = rungs.checked_sub(1).filter(|last| rung < *last)?;
    if confidence >= DOUBT {
        return None;
    }
    let outlook = outlook(last);
    let used = outlook.begins.as_secs_f64() / outlook.target.as_secs_f64().max(f64::EPSILON);
    let ease = ((LATE - used) / (LATE - EARLY)).clamp(0.0, 1.0);
    let least = f64::from(LEAST_DOUBT);
    let doubt = least + (f64::from(DOUBT) - least) * ease;
    (f64::from(confidence) < doubt).then_some(last)
}
