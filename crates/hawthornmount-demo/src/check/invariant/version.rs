//! Invariants of versions, servers and the configuration.

use {
    super::{EngineRun, Interval, Observations, PROPAGATION_LIMIT, Sample, build_check},
    crate::{check::Check, load::Kind},
    hawthornmount_core::table::Table,
    hawthornmount_standin::engine::Loaded,
    std::{sync::Arc, time::Instant},
};

/// Checks that engines ran only versions that the account in the prompt may use.
pub fn allowed(observations: &Observations) -> Check {
    let is_violation = |run: &&EngineRun| {
        let account = prompt_account(&run.run.prompt);
        let account = observations.config.accounts.get(account);
        !account
            .is_some_and(|account| account.allows(&run.run.loaded.model, &run.run.loaded.version))
    };
    let violations: Vec<String> =
        observations.engine_runs.iter().filter(is_violation).map(describe).collect();
    build_check("only allowed models and versions run", observations.engine_runs.len(), &violations)
}

/// Checks that no engine got a request for a version that had been withdrawn for longer than
/// [`PROPAGATION_LIMIT`].
pub fn withdrawn(observations: &Observations) -> Check {
    let is_violation = |run: &&EngineRun| {
        is_past_propagation(&observations.withdrawn, &release(&run.run.loaded), run.run.at)
    };
    let violations: Vec<String> =
        observations.engine_runs.iter().filter(is_violation).map(describe).collect();
    build_check("a withdrawn version gets no new work", observations.withdrawn.len(), &violations)
}

/// Checks that no server that had been leaving for longer than [`PROPAGATION_LIMIT`] got a
/// request.
pub fn leaving(observations: &Observations) -> Check {
    let is_violation =
        |run: &&EngineRun| is_past_propagation(&observations.leaving, &run.server, run.run.at);
    let violations: Vec<String> =
        observations.engine_runs.iter().filter(is_violation).map(describe).collect();
    build_check("a leaving server gets no new work", observations.leaving.len(), &violations)
}

/// Checks that a session keeps its version until that version is withdrawn or suspended, and that
/// the answer reports the move. An answer to a request that was in flight when the session moved
/// may still come from the previous version.
pub fn sessions(observations: &Observations) -> Check {
    let mut last_answers: Table<LastAnswer> = Table::new();
    let mut violations = Vec::new();
    let mut answers: Vec<_> = observations.answers().collect();
    answers.sort_by_key(|(exchange, _)| exchange.ended);
    for (exchange, answered) in answers {
        let Some(session) = &exchange.completed.call.session else { continue };
        if !matches!(exchange.completed.call.kind, Kind::Json | Kind::Stream) {
            continue;
        }
        let key: Arc<str> = format!("{}/{session}", exchange.completed.call.account.id).into();
        let current = LastAnswer { release: answered.release.clone(), ended: exchange.ended };
        let previous = last_answers.insert(key.clone(), current);
        if let Some(previous) = previous.filter(|previous| previous.release != answered.release) {
            let overlaps = exchange.at < previous.ended;
            let has_reason = was_unusable_recently(observations, &previous.release, exchange.ended)
                || overlaps
                    && was_unusable_recently(observations, &answered.release, exchange.ended);
            if !has_reason || !(answered.moved || overlaps) {
                violations.push(format!(
                    "{key} from {} to {}, told {}, reason to move {has_reason}, {}",
                    previous.release, answered.release, answered.moved, answered.request
                ));
            }
        }
    }
    build_check("a session keeps its version", last_answers.len(), &violations)
}

/// Version of a session's last answer, and when that answer ended.
struct LastAnswer {
    release: Arc<str>,
    ended: Instant,
}

/// Checks that an accepted configuration is in force everywhere after [`PROPAGATION_LIMIT`], and
/// that no instance goes back to an earlier revision.
pub fn configuration(observations: &Observations) -> Check {
    let mut highest: Table<u64> = Table::new();
    let mut violations = Vec::new();
    for sample in observations.samples.iter().filter(|sample| sample.revision > 0) {
        let previous = highest.insert(sample.instance.clone(), sample.revision).unwrap_or(0);
        if sample.revision < previous {
            let text =
                format!("{} went from {previous} back to {}", sample.instance, sample.revision);
            violations.push(text);
        }
        if let Some(required) =
            required_revision(observations, sample).filter(|required| sample.revision < *required)
        {
            violations.push(format!(
                "{} has {} when {required} was due",
                sample.instance, sample.revision
            ));
        }
    }
    build_check(
        "an accepted configuration is in force and stays",
        observations.acceptances.len(),
        &violations,
    )
}

/// Returns the newest revision that had to be in force when a sample was taken.
fn required_revision(observations: &Observations, sample: &Sample) -> Option<u64> {
    let is_required = |accepted: &&super::Acceptance| accepted.at + PROPAGATION_LIMIT < sample.at;
    observations.acceptances.iter().filter(is_required).map(|accepted| accepted.revision).max()
}

/// Returns whether a state of `subject` held at a point in time and had begun at least
/// [`PROPAGATION_LIMIT`] before.
fn is_past_propagation(intervals: &[Interval], subject: &str, at: Instant) -> bool {
    let known = |interval: &Interval| Interval {
        from: interval.from + PROPAGATION_LIMIT,
        ..interval.clone()
    };
    intervals
        .iter()
        .filter(|interval| *interval.subject == *subject)
        .any(|interval| known(interval).covers(at))
}

/// Returns whether a version was withdrawn or suspended at a point in time, or until less than
/// [`PROPAGATION_LIMIT`] before.
fn was_unusable_recently(observations: &Observations, release: &str, at: Instant) -> bool {
    let intervals = observations.withdrawn.iter().chain(&observations.suspended);
    let was_unusable = |interval: &Interval| {
        let until = interval.until.map(|until| until + PROPAGATION_LIMIT);
        Interval { until, ..interval.clone() }.covers(at)
    };
    intervals.filter(|interval| *interval.subject == *release).any(was_unusable)
}

/// Returns the account that a prompt of the load names, or an empty name.
fn prompt_account(prompt: &str) -> &str {
    let name = prompt.strip_prefix("For ").and_then(|rest| rest.split_once(':'));
    name.map_or("", |(name, _)| name)
}

fn release(loaded: &Loaded) -> String {
    format!("{}@{}", loaded.model, loaded.version)
}

fn describe(run: &EngineRun) -> String {
    let release = release(&run.run.loaded);
    format!("{release} for {} on {}", prompt_account(&run.run.prompt), run.server)
}
