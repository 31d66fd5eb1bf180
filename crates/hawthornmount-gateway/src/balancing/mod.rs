//! Which server gets a request: the one with the least expected wait. The wait is estimated from
//! the prompt that the server has not cached, the requests that run and wait there, and the way.
//!
//! Answers the load of many instances that act on old reports: candidates within a narrow band of
//! the least wait are drawn at random, so instances with the same view spread out.

use crate::load::Load;

/// Wait behind a server whose places are all taken, in milliseconds. A batch at its largest takes
/// about a third longer a step than a small one, on answers of a second or so.
const FULL_LOAD_MS: f64 = 250.0;
/// Wait behind each request that waits at an engine, in milliseconds: reading a prompt takes some
/// tens of milliseconds.
const WAITING_MS: f64 = 80.0;
/// Cost of a server in another data centre of the region, in milliseconds.
const DATA_CENTRE_MS: f64 = 5.0;
/// Cost of a server in another region, in milliseconds: the way both ways and the priced traffic.
const REGION_MS: f64 = 60.0;
/// Cost of a server that failed lately, in milliseconds; it is used when all others are worse.
const FAILED_SERVER_MS: f64 = 5_000.0;
/// Waits that differ by less count as equal, in milliseconds.
const EQUAL_WAIT_BAND_MS: f64 = 8.0;

/// Part of a server's places that a trial fills before it takes the next server.
const TRIAL_FILL_SHARE: f64 = 1.0;

/// Where a server stands, seen from this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Locality {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Where it stands.
    pub locality: Locality,
    /// Requests there.
    pub load: Load,
    /// Prompt tokens that it has to read.
    pub uncached_tokens: u32,
    /// Time in which it reads a token for the model that is asked, in milliseconds.
    pub token_prefill_ms: f64,
    /// Time in which it reads the prompts that this instance sent and that have not begun to be
    /// answered, in milliseconds.
    pub prefill_backlog_ms: f64,
    /// Whether it failed lately.
    pub is_avoided: bool,
}

impl Candidate {
    /// Returns the expected wait, in milliseconds.
    pub fn wait(&self) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let fill = f64::from(self.load.running) / slots;

        let locality_ms = match self.locality {
            Locality::SameDataCentre => 0.0,
            Locality::SameRegion => DATA_CENTRE_MS,
            Locality::OtherRegion => REGION_MS,
        };
        let failure_ms = if self.is_avoided { FAILED_SERVER_MS } else { 0.0 };
        f64::from(self.uncached_tokens) * self.token_prefill_ms
            + fill * fill * FULL_LOAD_MS
            + f64::from(self.load.waiting) * WAITING_MS
            + self.prefill_backlog_ms
            + locality_ms
            + failure_ms
    }
}

/// Returns the position of the chosen candidate; `random` is from 0 to 1.
pub fn choose(candidates: &[Candidate], random: f64) -> Option<usize> {
    let waits: Vec<f64> = candidates.iter().map(Candidate::wait).collect();
    let least = waits.iter().copied().min_by(f64::total_cmp)?;
    let near: Vec<usize> =
        (0..waits.len()).filter(|at| waits[*at] <= least + EQUAL_WAIT_BAND_MS).collect();
    let pick = (random * near.len() as f64) as usize;
    near.get(pick.min(near.len() - 1)).copied()
}

/// Returns the position of the candidate that a version on trial uses: the first that is not yet
/// filled. `None` if all are.
///
/// Answers versions that are bad under load only: the few requests of a trial fill one server
/// instead of spreading over all, so the fault shows while most requests still go elsewhere.
pub fn first_unfilled(candidates: &[Candidate]) -> Option<usize> {
    let is_open = |candidate: &Candidate| {
        let load = candidate.load;
        let taken = f64::from(load.running + load.waiting);
        !candidate.is_avoided && taken < f64::from(load.slots) * TRIAL_FILL_SHARE
    };
    candidates.iter().position(is_open)
}
