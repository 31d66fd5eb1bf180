//! Invariants of answers, refusals, bills and graceful stops, as callers see them.

use {
    super::{Observations, build_check},
    crate::{check::Check, load::Outcome},
    hawthornmount_core::{problem::Execution, table::Table},
    std::sync::Arc,
};

/// Checks that there is one usage record for each answer. A replayed answer, a failed request and a
/// refusal that leaves open whether the request ran may have one; other refusals have none.
pub fn billed_once(observations: &Observations) -> Check {
    let mut ids: Vec<Arc<str>> = observations
        .answers()
        .filter(|(_, answered)| !answered.replayed)
        .map(|(_, answered)| answered.request.clone())
        .collect();
    let answers = ids.len();
    ids.sort();
    ids.dedup();
    let maybe_billed =
        observations.exchanges.iter().filter(|exchange| match &exchange.completed.outcome {
            Outcome::Answered(answered) => answered.replayed,
            Outcome::Refused(refused) => refused.ran == Execution::Unknown,
            Outcome::Failed => true,
        });
    let (min, max) = (ids.len() as u64, (ids.len() + maybe_billed.count()) as u64);
    let mut violations = Vec::new();
    if ids.len() != answers {
        violations.push(format!("{} answers share a request id", answers - ids.len()));
    }
    if observations.usage_records < min || observations.usage_records > max {
        violations.push(format!("{} bills, expected {min} to {max}", observations.usage_records));
    }
    build_check("each request is billed once", answers, &violations)
}

/// Checks that every answer is complete and belongs to the caller's request.
pub fn answers_complete(observations: &Observations) -> Check {
    let violations: Vec<String> = observations
        .answers()
        .filter(|(_, answered)| !answered.complete)
        .map(|(exchange, answered)| {
            format!("{} to {:?}", answered.request, exchange.completed.call.kind)
        })
        .collect();
    build_check(
        "each caller gets its own whole answer",
        observations.answers().count(),
        &violations,
    )
}

/// Checks that no request ran whose refusal says that it did not run.
pub fn refused_not_run(observations: &Observations) -> Check {
    let mut ran: Vec<&str> =
        observations.engine_runs.iter().map(|run| request_id(&run.run.request)).collect();
    ran.extend(observations.service_runs.iter().map(|call| request_id(&call.request)));
    ran.sort_unstable();
    let violations: Vec<String> = observations
        .refusals()
        .filter(|refused| refused.ran == Execution::NotRun)
        .filter(|refused| ran.binary_search(&&*refused.request).is_ok())
        .map(|refused| format!("{} refused with {}", refused.request, refused.reason))
        .collect();
    build_check("a refusal that says not run is true", observations.refusals().count(), &violations)
}

/// Checks that the call of every idempotency key ran at most once.
pub fn at_most_once(observations: &Observations) -> Check {
    let mut runs: Table<usize> = Table::new();
    for key in observations.service_runs.iter().filter_map(|call| call.key.clone()) {
        let count = runs.get(&key).copied().unwrap_or(0);
        runs.insert(key, count + 1);
    }
    let duplicates = runs.iter().filter(|row| row.value > 1);
    let violations: Vec<String> =
        duplicates.map(|row| format!("{} ran {} times", row.id, row.value)).collect();
    build_check("a submission runs at most once", runs.len(), &violations)
}

/// Checks that graceful stops cut no request, by the counts of the instance and of its callers.
pub fn graceful_stops(observations: &Observations) -> Check {
    let mut violations = Vec::new();
    for stop in &observations.stops {
        let failed = observations.exchanges.iter().filter(|exchange| {
            exchange.instance == stop.instance
                && matches!(exchange.completed.outcome, Outcome::Failed)
        });
        let failed = failed.count();
        if stop.cut > 0 || failed > 0 {
            violations
                .push(format!("{}: {} cut, {failed} callers failed", stop.instance, stop.cut));
        }
    }
    build_check("a planned stop cuts no request", observations.stops.len(), &violations)
}

/// Returns the id of the request that an attempt belongs to: the attempt's id without its number.
fn request_id(attempt: &str) -> &str {
    attempt.rsplit_once('.').map_or(attempt, |(request, _)| request)
}
