//! Load balancing: chooses the server with the least expected wait for a request. The wait is
//! estimated from the prompt tokens that the server has not cached, the requests that run and wait
//! there, and its locality.
//!
//! Many instances balance on the same, slightly outdated load reports. So that they don't all
//! choose the same server, one is drawn at random among the candidates whose waits are nearly equal
//! to the least.

use crate::load::Load;

/// Additional wait at a server whose slots are all in use, in milliseconds. It grows with the
/// square of the share of slots in use. A decoding step of a full batch takes about a third longer
/// than that of a small batch, and a response takes about a second.
const FULL_LOAD_MS: f64 = 250.0;
/// Additional wait for each request in the queue of an engine, in milliseconds: the prefill of a
/// prompt takes some tens of milliseconds.
const WAITING_MS: f64 = 80.0;
/// Cost of a server in another data centre of the region, in milliseconds.
const DATA_CENTRE_MS: f64 = 5.0;
/// Cost of a server in another region, in milliseconds: the round trip and the price of the
/// traffic.
const REGION_MS: f64 = 60.0;
/// Cost of a server that failed recently, in milliseconds: it is chosen only if all others are
/// worse.
const FAILED_SERVER_MS: f64 = 5_000.0;
/// Waits that exceed the least one by no more than this count as equal, in milliseconds.
const EQUAL_WAIT_BAND_MS: f64 = 8.0;

/// Share of a server's slots that a version under trial fills before it uses the next server.
const TRIAL_FILL_SHARE: f64 = 1.0;

/// Location of a server relative to this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Locality {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A server that can be chosen for the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Location relative to this instance.
    pub locality: Locality,
    /// Requests at the server.
    pub load: Load,
    /// Prompt tokens of the request that the server has not cached.
    pub uncached_tokens: u32,
    /// Prefill time per token for the requested model, in milliseconds.
    pub token_prefill_ms: f64,
    /// Prefill time of the prompts that this instance sent and whose responses have not started, in
    /// milliseconds.
    pub prefill_backlog_ms: f64,
    /// How many times as long as usual work takes at the server.
    pub slowness: f64,
    /// Whether the server failed recently.
    pub is_avoided: bool,
}

impl Candidate {
    /// Returns the expected wait at a server of the usual speed in the data centre, in milliseconds.
    pub fn usual_wait(&self) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let fill = f64::from(self.load.running) / slots;
        f64::from(self.uncached_tokens) * self.token_prefill_ms
            + fill * fill * FULL_LOAD_MS
            + f64::from(self.load.waiting) * WAITING_MS
            + self.prefill_backlog_ms
    }

    /// Returns the expected wait, in milliseconds.
    pub fn wait(&self) -> f64 {
        let locality_ms = match self.locality {
            Locality::SameDataCentre => 0.0,
            Locality::SameRegion => DATA_CENTRE_MS,
            Locality::OtherRegion => REGION_MS,
        };
        let failure_ms = if self.is_avoided { FAILED_SERVER_MS } else { 0.0 };
        self.usual_wait() * self.slowness + locality_ms + failure_ms
    }
}

/// Returns the index of the chosen candidate, or `None` if there are no candidates; `random` is a
/// uniform draw from 0 to 1.
pub fn choose(candidates: &[Candidate], random: f64) -> Option<usize> {
    let waits: Vec<f64> = candidates.iter().map(Candidate::wait).collect();
    let least = waits.iter().copied().min_by(f64::total_cmp)?;
    let nearly_least: Vec<usize> =
        (0..waits.len()).filter(|at| waits[*at] <= least + EQUAL_WAIT_BAND_MS).collect();
    let pick = (random * nearly_least.len() as f64) as usize;
    nearly_least.get(pick.min(nearly_least.len() - 1)).copied()
}

/// Returns the index of the candidate for a version under trial: the first whose slots are not all
/// in use, or `None` if there is none.
///
/// A version can be faulty only under load. The few requests of a trial therefore fill one server
/// after the other instead of spreading over all, which exposes the fault while most requests still
/// go to the other version.
pub fn first_unfilled(candidates: &[Candidate]) -> Option<usize> {
    let has_free_slot = |candidate: &Candidate| {
        let load = candidate.load;
        let used_slots = f64::from(load.running + load.waiting);
        !candidate.is_avoided && used_slots < f64::from(load.slots) * TRIAL_FILL_SHARE
    };
    candidates.iter().position(has_free_slot)
}
