//! The promises of "What must always hold", checked one by one against what the stand-ins really
//! ran during a load with faults.

mod caller;
mod evidence;
mod version;

pub use evidence::{Accept, Evidence, Ran, Sent, Sight, Span, Stop};

use {super::Check, std::time::Duration};

/// Time after which a change, a withdrawal or a leaving server has to be known everywhere.
pub const EVERYWHERE_WITHIN: Duration = Duration::from_secs(4);

/// Checks every promise, in the order of the brief.
pub fn all(evidence: &Evidence) -> Vec<Check> {
    vec![
        version::allowed(evidence),
        version::withdrawn(evidence),
        version::sessions(evidence),
        caller::billed(evidence),
        caller::whole(evidence),
        caller::not_run(evidence),
        caller::once(evidence),
        version::leaving(evidence),
        caller::stops(evidence),
        version::configuration(evidence),
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
