//! Checks what callers observed against what the stand-ins ran and what was billed.

use {
    super::{
        caller::{Kind, Operation, Outcome},
        history::{Call, Effect, is_linearizable},
    },
    hawthornmount_core::table::Table,
    hawthornmount_standin::service::Run,
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// Violations and counts of outcomes found in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Findings {
    /// Runs of an idempotency key beyond the first.
    pub duplicate_runs: u64,
    /// Idempotency keys whose calls are not linearizable.
    pub nonlinearizable: u64,
    /// Refusals that state "not run" although the request ran.
    pub false_not_run: u64,
    /// Answers to requests that never ran.
    pub lost_calls: u64,
    /// Answers that belong to another request.
    pub wrong_answers: u64,
    /// Answers that are incomplete and not marked as failed.
    pub incomplete: u64,
    /// Answers from another version than the session's previous one that do not report the move.
    pub unreported_moves: u64,
    /// Complete answers.
    pub answered: u64,
    /// Failures of requests that may have run.
    pub unknown: u64,
    /// Refusals that state "not run".
    pub not_run: u64,
    /// Calls without an answer.
    pub unanswered: u64,
}

/// Bounds of the amount billed to an account, in micro-units.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Price of the answers that callers received.
    pub least: u64,
    /// `least` plus the highest price for each call that may have run.
    pub most: u64,
}

/// Checks the calls against the runs of the service and the request ids that engines ran.
///
/// Only an instance that was killed may break the connection of a stream.
pub fn check(
    operations: &[Operation],
    runs: &[Run],
    engine_runs: &[Arc<str>],
    killed: &[SocketAddr],
) -> Findings {
    let mut findings = Findings::default();
    let mut service_ids: Vec<Arc<str>> = runs.iter().map(|run| run.request.clone()).collect();
    service_ids.sort_unstable();
    let mut ids: Vec<Arc<str>> = engine_runs.to_vec();
    ids.extend(service_ids.iter().cloned());
    ids.sort_unstable();
    for operation in operations {
        count_outcome(&mut findings, operation, &ids, killed);
    }
    check_keys(&mut findings, operations, runs);
    check_sessions(&mut findings, operations);
    findings
}

/// Returns the bounds of what an account's calls cost, from what its callers observed.
pub fn bounds(operations: &[Operation], is_included: impl Fn(&Kind) -> bool) -> Bounds {
    let included: Vec<&Operation> =
        operations.iter().filter(|operation| is_included(&operation.kind)).collect();
    let price = |operation: &&Operation| match &operation.outcome {
        Outcome::Answer { price, .. } => *price,
        _ => 0,
    };
    let highest = included.iter().map(price).max().unwrap_or(0);
    let least = included.iter().map(price).sum();
    let uncertain = included
        .iter()
        .filter(|operation| !matches!(operation.outcome, Outcome::Answer { .. } | Outcome::NotRun));
    Bounds { least, most: least + highest * uncertain.count() as u64 }
}

/// Returns whether a request ran. Servers record it as its id followed by `.` and the number of the
/// attempt.
fn has_run(ids: &[Arc<str>], request: &str) -> bool {
    let prefix = format!("{request}.");
    let at = ids.partition_point(|id| **id < *prefix);
    ids.get(at).is_some_and(|id| id.starts_with(&prefix))
}

fn is_attempt_of(run: &str, request: &str) -> bool {
    run.strip_prefix(request).is_some_and(|rest| rest.starts_with('.'))
}

fn count_outcome(
    findings: &mut Findings,
    operation: &Operation,
    ids: &[Arc<str>],
    killed: &[SocketAddr],
) {
    match &operation.outcome {
        Outcome::Answer { content, replayed, .. } => {
            findings.answered += 1;
            findings.wrong_answers +=
                u64::from(!replayed && !is_attempt_of(content, &operation.request));
            findings.lost_calls += u64::from(!replayed && !has_run(ids, &operation.request));
        }
        Outcome::Unknown => findings.unknown += 1,
        Outcome::NotRun => {
            findings.not_run += 1;
            findings.false_not_run += u64::from(has_run(ids, &operation.request));
        }
        Outcome::NoAnswer => findings.unanswered += 1,
        Outcome::Disconnected if killed.contains(&operation.target) => findings.unanswered += 1,
        Outcome::Disconnected | Outcome::Incomplete => findings.incomplete += 1,
    }
}

/// Calls and runs of one idempotency key.
#[derive(Default)]
struct KeyHistory<'a> {
    operations: Vec<&'a Operation>,
    runs: Vec<Arc<str>>,
}

fn get_or_insert<'a, V: Default>(table: &'a mut Table<V>, id: &Arc<str>) -> &'a mut V {
    if !table.contains(id) {
        table.insert(id.clone(), V::default());
    }
    table.get_mut(id).expect("the id was inserted above")
}

fn check_keys(findings: &mut Findings, operations: &[Operation], runs: &[Run]) {
    let mut keys: Table<KeyHistory> = Table::new();
    for operation in operations {
        if let Kind::Submit(key) = &operation.kind {
            get_or_insert(&mut keys, key).operations.push(operation);
        }
    }
    for run in runs {
        if let Some(key) = &run.key {
            get_or_insert(&mut keys, key).runs.push(run.request.clone());
        }
    }
    for row in &keys {
        let history = &row.value;
        findings.duplicate_runs += (history.runs.len() as u64).saturating_sub(1);
        let calls = effects(&history.operations, &history.runs);
        findings.nonlinearizable += u64::from(!is_linearizable(&calls));
    }
}

/// Returns the effect of each call with one key. A run that no answer names is attributed to a call
/// that got no answer.
fn effects(operations: &[&Operation], runs: &[Arc<str>]) -> Vec<Call> {
    let is_named =
        |run: &Arc<str>| operations.iter().any(|operation| is_attempt_of(run, &operation.request));
    let mut unnamed: Vec<Arc<str>> = runs.iter().filter(|run| !is_named(run)).cloned().collect();
    let mut calls = Vec::new();
    for operation in operations {
        let own = runs.iter().find(|run| is_attempt_of(run, &operation.request));
        let is_unidentified = operation.request.is_empty();
        let effect = match (&operation.outcome, own) {
            (Outcome::Answer { content, replayed: true, .. }, _) => {
                Effect::Replayed(content.clone())
            }
            (_, Some(run)) => Effect::Ran(run.clone()),
            _ if is_unidentified => unnamed.pop().map_or(Effect::Nothing, Effect::Ran),
            _ => Effect::Nothing,
        };
        let answered: Option<Instant> = (!is_unidentified).then_some(operation.answered);
        calls.push(Call { called: operation.called, answered, effect });
    }
    calls
}

fn check_sessions(findings: &mut Findings, operations: &[Operation]) {
    let mut releases: Table<Option<Arc<str>>> = Table::new();
    for operation in operations {
        let (Kind::Complete(session), Outcome::Answer { release, moved, .. }) =
            (&operation.kind, &operation.outcome)
        else {
            continue;
        };
        let previous = get_or_insert(&mut releases, session).replace(release.clone());
        let is_other = previous.is_some_and(|previous| previous != *release);
        findings.unreported_moves += u64::from(is_other && !moved);
    }
}
