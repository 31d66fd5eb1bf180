//! Which model of a route's ladder answers. Small models are cheap and fast and answer most
//! requests well enough; each answer carries the model's own opinion of it before any of it is
//! passed on, so an answer that the model doubts is dropped and asked of the largest model.
//!
//! Answers the load of requests whose difficulty is not known beforehand.

/// Opinion, from 0 to 100, below which an answer is asked again of the largest model.
///
/// Two thirds of the opinions of answers that are good lie above it.
const DOUBT: u8 = 55;

/// Position in a ladder of models, from the smallest.
pub type Rung = usize;

/// Returns the rung on which a request starts.
pub const fn start(rungs: usize) -> Option<Rung> {
    if rungs == 0 { None } else { Some(0) }
}

/// Returns the rung on which the request is asked again, if the answer is in doubt.
pub const fn climb(rung: Rung, rungs: usize, confidence: Option<u8>) -> Option<Rung> {
    let Some(confidence) = confidence else { return None };
    if confidence < DOUBT && rung + 1 < rungs { Some(rungs - 1) } else { None }
}
