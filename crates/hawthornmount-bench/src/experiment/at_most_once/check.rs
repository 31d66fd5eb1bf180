//! Checks of a run: what callers saw against what the stand-ins ran and what was billed.

use {
    super::{
        caller::{End, Kind, Op},
        history::{Call, Effect, is_once},
    },
    hawthornmount_core::table::Table,
    hawthornmount_standin::service::Run,
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Findings {
    /// Runs of a key after its first.
    pub doubles: u64,
    /// Keys whose calls no order explains.
    pub unexplained: u64,
    /// Refusals that say "not run" of a request that ran.
    pub false_no: u64,
    /// Answers whose call never ran.
    pub lost: u64,
    /// Answers to another request.
    pub wrong: u64,
    /// Answers that are not whole and do not say so.
    pub torn: u64,
    /// Answers of another version than the session's that do not say that it moved.
    pub moved: u64,
    /// Whole answers.
    pub answered: u64,
    /// Failures that may have run.
    pub unknown: u64,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Calls without an answer.
    pub nothing: u64,
}

/// Price that an account has to pay at the least and at the most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// For the answers that callers saw.
    pub least: u64,
    /// With the calls that may have run.
    pub most: u64,
}

/// Checks the calls against the runs of the service and the request ids that engines ran.
/// An instance that was killed, and no other, may break the connection of a stream.
pub fn check(
    ops: &[Op],
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
    for op in ops {
        count(&mut findings, op, &ids, killed);
    }
    keys(&mut findings, ops, runs);
    sessions(&mut findings, ops);
    findings
}

/// Returns what an account's calls cost, by what its callers saw.
pub fn bounds(ops: &[Op], is_own: impl Fn(&Kind) -> bool) -> Bounds {
    let own: Vec<&Op> = ops.iter().filter(|op| is_own(&op.kind)).collect();
    let price = |op: &&Op| match &op.end {
        End::Answer { price, .. } => *price,
        _ => 0,
    };
    let highest = own.iter().map(price).max().unwrap_or(0);
    let least = own.iter().map(price).sum();
    let open = own.iter().filter(|op| !matches!(op.end, End::Answer { .. } | End::NotRun));
    Bounds { least, most: least + highest * open.count() as u64 }
}

/// Tells whether a request ran: servers know it by its id with the number of the attempt.
fn has_run(ids: &[Arc<str>], request: &str) -> bool {
    let prefix = format!("{request}.");
    let at = ids.partition_point(|id| **id < *prefix);
    ids.get(at).is_some_and(|id| id.starts_with(&prefix))
}

fn is_of(run: &str, request: &str) -> bool {
    run.strip_prefix(request).is_some_and(|rest| rest.starts_with('.'))
}

fn count(findings: &mut Findings, op: &Op, ids: &[Arc<str>], killed: &[SocketAddr]) {
    match &op.end {
        End::Answer { content, replayed, .. } => {
            findings.answered += 1;
            findings.wrong += u64::from(!replayed && !is_of(content, &op.request));
            findings.lost += u64::from(!replayed && !has_run(ids, &op.request));
        }
        End::Unknown => findings.unknown += 1,
        End::NotRun => {
            findings.not_run += 1;
            findings.false_no += u64::from(has_run(ids, &op.request));
        }
        End::Nothing => findings.nothing += 1,
        End::Broken if killed.contains(&op.target) => findings.nothing += 1,
        End::Broken | End::Torn => findings.torn += 1,
    }
}

/// Calls and runs under one key.
#[derive(Default)]
struct Under<'a> {
    ops: Vec<&'a Op>,
    runs: Vec<Arc<str>>,
}

fn entry<'a, V: Default>(table: &'a mut Table<V>, id: &Arc<str>) -> &'a mut V {
    if !table.contains(id) {
        table.insert(id.clone(), V::default());
    }
    table.get_mut(id).expect("it was put in")
}

fn keys(findings: &mut Findings, ops: &[Op], runs: &[Run]) {
    let mut keys: Table<Under> = Table::new();
    for op in ops {
        if let Kind::Submit(key) = &op.kind {
            entry(&mut keys, key).ops.push(op);
        }
    }
    for run in runs {
        if let Some(key) = &run.key {
            entry(&mut keys, key).runs.push(run.request.clone());
        }
    }
    for row in &keys {
        let under = &row.value;
        findings.doubles += (under.runs.len() as u64).saturating_sub(1);
        let calls = explain(&under.ops, &under.runs);
        findings.unexplained += u64::from(!is_once(&calls));
    }
}

/// Tells what each call under a key did; a run that no answer names is that of a call without one.
fn explain(ops: &[&Op], runs: &[Arc<str>]) -> Vec<Call> {
    let is_named = |run: &Arc<str>| ops.iter().any(|op| is_of(run, &op.request));
    let mut unnamed: Vec<Arc<str>> = runs.iter().filter(|run| !is_named(run)).cloned().collect();
    let mut calls = Vec::new();
    for op in ops {
        let own = runs.iter().find(|run| is_of(run, &op.request));
        let nameless = op.request.is_empty();
        let effect = match (&op.end, own) {
            (End::Answer { content, replayed: true, .. }, _) => Effect::Repeated(content.clone()),
            (_, Some(run)) => Effect::Ran(run.clone()),
            _ if nameless => unnamed.pop().map_or(Effect::Nothing, Effect::Ran),
            _ => Effect::Nothing,
        };
        let answered: Option<Instant> = (!nameless).then_some(op.answered);
        calls.push(Call { called: op.called, answered, effect });
    }
    calls
}

fn sessions(findings: &mut Findings, ops: &[Op]) {
    let mut kept: Table<Option<Arc<str>>> = Table::new();
    for op in ops {
        let (Kind::Complete(session), End::Answer { release, moved, .. }) = (&op.kind, &op.end)
        else {
            continue;
        };
        let held = entry(&mut kept, session).replace(release.clone());
        let is_other = held.is_some_and(|held| held != *release);
        findings.moved += u64::from(is_other && !moved);
    }
}
