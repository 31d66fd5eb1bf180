//! Checks of the invariants that the requirements list under "What must always hold", against what
//! the stand-ins recorded during a load with faults.

mod caller;
mod observation;
mod version;

pub use observation::{Acceptance, EngineRun, Exchange, Interval, Observations, Sample, Stop};

use {super::Check, std::time::Duration};

/// Maximum time until every instance has to know of a configuration change, a withdrawal or a
/// leaving server.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Checks every invariant, in the order of the requirements.
pub fn all(observations: &Observations) -> Vec<Check> {
    vec![
        version::allowed(observations),
        version::withdrawn(observations),
        version::sessions(observations),
        caller::billed_once(observations),
        caller::answers_complete(observations),
        caller::refused_not_run(observations),
        caller::at_most_once(observations),
        version::leaving(observations),
        caller::graceful_stops(observations),
        version::configuration(observations),
    ]
}

/// Returns a check that passes if at least one item was examined and there is no violation.
fn build_check(name: &'static str, examined: usize, violations: &[String]) -> Check {
    let example = violations.first().map_or_else(String::new, |first| format!("; first: {first}"));
    Check {
        name,
        pass: examined > 0 && violations.is_empty(),
        detail: format!("{examined} looked at, {} wrong{example}", violations.len()).into(),
    }
}
