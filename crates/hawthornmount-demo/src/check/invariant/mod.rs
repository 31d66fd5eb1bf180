//! The promises of "What must always hold", checked one by one against what the stand-ins really
//! ran during a load with faults.

mod caller;
mod observation;
mod version;

pub use observation::{Acceptance, EngineRun, Exchange, Interval, Observations, Sample, Stop};

use {super::Check, std::time::Duration};

/// Time after which a change, a withdrawal or a leaving server has to be known everywhere.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Checks every promise, in the order of the brief.
pub fn all(observations: &Observations) -> Vec<Check> {
    vec![
        version::allowed(observations),
        version::withdrawn(observations),
        version::sessions(observations),
        caller::billed(observations),
        caller::whole(observations),
        caller::not_run(observations),
        caller::once(observations),
        version::leaving(observations),
        caller::stops(observations),
        version::configuration(observations),
    ]
}

/// Returns a check that holds if something was seen and nothing was wrong.
fn verdict(name: &'static str, seen: usize, wrong: &[String]) -> Check {
    let example = wrong.first().map_or_else(String::new, |one| format!("; first: {one}"));
    Check {
        name,
        pass: seen > 0 && wrong.is_empty(),
        detail: format!("{seen} looked at, {} wrong{example}", wrong.len()).into(),
    }
}
