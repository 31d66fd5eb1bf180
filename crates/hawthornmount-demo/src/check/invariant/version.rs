//! Promises on versions, servers and the configuration.

use {
    super::{EngineRun, Interval, Observations, PROPAGATION_TIMEOUT, Sample, verdict},
    crate::{check::Check, load::Kind},
    hawthornmount_core::table::Table,
    hawthornmount_standin::engine::Loaded,
    std::{sync::Arc, time::Instant},
};

/// Checks that every run was of a version that the account in its prompt may use.
pub fn allowed(observations: &Observations) -> Check {
    let is_wrong = |ran: &&EngineRun| {
        let account = account(&ran.run.prompt);
        let account = observations.config.accounts.get(account);
        !account.is_some_and(|one| one.allows(&ran.run.loaded.model, &ran.run.loaded.version))
    };
    let wrong: Vec<String> =
        observations.engine_runs.iter().filter(is_wrong).map(describe).collect();
    verdict("only allowed models and versions run", observations.engine_runs.len(), &wrong)
}

/// Checks that no run of a withdrawn version came once the withdrawal had to be known.
pub fn withdrawn(observations: &Observations) -> Check {
    let is_wrong =
        |ran: &&EngineRun| is_late(&observations.withdrawn, &release(&ran.run.loaded), ran.run.at);
    let wrong: Vec<String> =
        observations.engine_runs.iter().filter(is_wrong).map(describe).collect();
    verdict("a withdrawn version gets no new work", observations.withdrawn.len(), &wrong)
}

/// Checks that no work came to a leaving server once it had to be known.
pub fn leaving(observations: &Observations) -> Check {
    let is_wrong = |ran: &&EngineRun| is_late(&observations.leaving, &ran.server, ran.run.at);
    let wrong: Vec<String> =
        observations.engine_runs.iter().filter(is_wrong).map(describe).collect();
    verdict("a leaving server gets no new work", observations.leaving.len(), &wrong)
}

/// Checks that answers of one session are of one version until that is withdrawn or suspended,
/// and that the answer says so when it moves. An answer to a request that was under way when the
/// session moved may still be of the version before.
pub fn sessions(observations: &Observations) -> Check {
    let mut kept: Table<Kept> = Table::new();
    let mut wrong = Vec::new();
    let mut answers: Vec<_> = observations.answers().collect();
    answers.sort_by_key(|(sent, _)| sent.ended);
    for (sent, answered) in answers {
        let Some(session) = &sent.completed.call.session else { continue };
        if !matches!(sent.completed.call.kind, Kind::Json | Kind::Stream) {
            continue;
        }
        let key: Arc<str> = format!("{}/{session}", sent.completed.call.account.id).into();
        let now = Kept { release: answered.release.clone(), ended: sent.ended };
        let before = kept.insert(key.clone(), now);
        if let Some(before) = before.filter(|before| before.release != answered.release) {
            let meets = sent.at < before.ended;
            let reason = held_lately(observations, &before.release, sent.ended)
                || meets && held_lately(observations, &answered.release, sent.ended);
            if !reason || !(answered.moved || meets) {
                wrong.push(format!(
                    "{key} from {} to {}, told {}, reason to move {reason}, {}",
                    before.release, answered.release, answered.moved, answered.request
                ));
            }
        }
    }
    verdict("a session keeps its version", kept.len(), &wrong)
}

/// Version that answered a session last.
struct Kept {
    release: Arc<str>,
    ended: Instant,
}

/// Checks that accepted configurations are in force everywhere in time and never revert.
pub fn configuration(observations: &Observations) -> Check {
    let mut highest: Table<u64> = Table::new();
    let mut wrong = Vec::new();
    for sight in observations.samples.iter().filter(|sight| sight.revision > 0) {
        let before = highest.insert(sight.instance.clone(), sight.revision).unwrap_or(0);
        if sight.revision < before {
            let text = format!("{} went from {before} back to {}", sight.instance, sight.revision);
            wrong.push(text);
        }
        if let Some(due) = due(observations, sight).filter(|due| sight.revision < *due) {
            wrong.push(format!("{} has {} when {due} was due", sight.instance, sight.revision));
        }
    }
    verdict(
        "an accepted configuration is in force and stays",
        observations.acceptances.len(),
        &wrong,
    )
}

/// Returns the newest revision that had to be in force at a sight.
fn due(observations: &Observations, sight: &Sample) -> Option<u64> {
    let due = |accept: &&super::Acceptance| accept.at + PROPAGATION_TIMEOUT < sight.at;
    observations.acceptances.iter().filter(due).map(|accept| accept.revision).max()
}

fn is_late(spans: &[Interval], what: &str, at: Instant) -> bool {
    let known =
        |span: &Interval| Interval { from: span.from + PROPAGATION_TIMEOUT, ..span.clone() };
    spans.iter().filter(|span| *span.subject == *what).any(|span| known(span).covers(at))
}

/// Tells whether a version was withdrawn or suspended shortly before a time.
fn held_lately(observations: &Observations, release: &str, at: Instant) -> bool {
    let spans = observations.withdrawn.iter().chain(&observations.suspended);
    let held = |span: &Interval| {
        let until = span.until.map(|until| until + PROPAGATION_TIMEOUT);
        Interval { until, ..span.clone() }.covers(at)
    };
    spans.filter(|span| *span.subject == *release).any(held)
}

fn account(prompt: &str) -> &str {
    let name = prompt.strip_prefix("For ").and_then(|rest| rest.split_once(':'));
    name.map_or("", |(name, _)| name)
}

fn release(loaded: &Loaded) -> String {
    format!("{}@{}", loaded.model, loaded.version)
}

fn describe(ran: &EngineRun) -> String {
    let release = release(&ran.run.loaded);
    format!("{release} for {} on {}", account(&ran.run.prompt), ran.server)
}
