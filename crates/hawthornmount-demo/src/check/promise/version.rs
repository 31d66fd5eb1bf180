//! Promises on versions, servers and the configuration.

use {
    super::{EVERYWHERE_WITHIN, Evidence, Ran, Sight, Span, verdict},
    crate::{check::Check, load::Kind},
    hawthornmount_core::table::Table,
    hawthornmount_standin::engine::Loaded,
    std::{sync::Arc, time::Instant},
};

/// Checks that every run was of a version that the account in its prompt may use.
pub fn allowed(evidence: &Evidence) -> Check {
    let is_wrong = |ran: &&Ran| {
        let account = account(&ran.run.prompt);
        let account = evidence.config.accounts.get(account);
        !account.is_some_and(|one| one.allows(&ran.run.loaded.model, &ran.run.loaded.version))
    };
    let wrong: Vec<String> = evidence.runs.iter().filter(is_wrong).map(describe).collect();
    verdict("only allowed models and versions run", evidence.runs.len(), &wrong)
}

/// Checks that no run of a withdrawn version came once the withdrawal had to be known.
pub fn withdrawn(evidence: &Evidence) -> Check {
    let is_wrong = |ran: &&Ran| is_late(&evidence.withdrawn, &release(&ran.run.loaded), ran.run.at);
    let wrong: Vec<String> = evidence.runs.iter().filter(is_wrong).map(describe).collect();
    verdict("a withdrawn version gets no new work", evidence.withdrawn.len(), &wrong)
}

/// Checks that no work came to a leaving server once it had to be known.
pub fn leaving(evidence: &Evidence) -> Check {
    let is_wrong = |ran: &&Ran| is_late(&evidence.leaving, &ran.server, ran.run.at);
    let wrong: Vec<String> = evidence.runs.iter().filter(is_wrong).map(describe).collect();
    verdict("a leaving server gets no new work", evidence.leaving.len(), &wrong)
}

/// Checks that answers of one session are of one version until that is withdrawn or suspended,
/// and that the answer says so when it moves. An answer to a request that was under way when the
/// session moved may still be of the version before.
pub fn sessions(evidence: &Evidence) -> Check {
    let mut kept: Table<Kept> = Table::new();
    let mut wrong = Vec::new();
    let mut answers: Vec<_> = evidence.answers().collect();
    answers.sort_by_key(|(sent, _)| sent.ended);
    for (sent, answered) in answers {
        let Some(session) = &sent.done.ask.session else { continue };
        if !matches!(sent.done.ask.kind, Kind::Json | Kind::Stream) {
            continue;
        }
        let key: Arc<str> = format!("{}/{session}", sent.done.ask.account.id).into();
        let now = Kept { release: answered.release.clone(), ended: sent.ended };
        let before = kept.insert(key.clone(), now);
        if let Some(before) = before.filter(|before| before.release != answered.release) {
            let meets = sent.at < before.ended;
            let reason = held_lately(evidence, &before.release, sent.ended)
                || meets && held_lately(evidence, &answered.release, sent.ended);
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
pub fn configuration(evidence: &Evidence) -> Check {
    let mut highest: Table<u64> = Table::new();
    let mut wrong = Vec::new();
    for sight in evidence.sights.iter().filter(|sight| sight.revision > 0) {
        let before = highest.insert(sight.instance.clone(), sight.revision).unwrap_or(0);
        if sight.revision < before {
            let text = format!("{} went from {before} back to {}", sight.instance, sight.revision);
            wrong.push(text);
        }
        if let Some(due) = due(evidence, sight).filter(|due| sight.revision < *due) {
            wrong.push(format!("{} has {} when {due} was due", sight.instance, sight.revision));
        }
    }
    verdict("an accepted configuration is in force and stays", evidence.accepts.len(), &wrong)
}

/// Returns the newest revision that had to be in force at a sight.
fn due(evidence: &Evidence, sight: &Sight) -> Option<u64> {
    let due = |accept: &&super::Accept| accept.at + EVERYWHERE_WITHIN < sight.at;
    evidence.accepts.iter().filter(due).map(|accept| accept.revision).max()
}

fn is_late(spans: &[Span], what: &str, at: Instant) -> bool {
    let known = |span: &Span| Span { from: span.from + EVERYWHERE_WITHIN, ..span.clone() };
    spans.iter().filter(|span| *span.what == *what).any(|span| known(span).covers(at))
}

/// Tells whether a version was withdrawn or suspended shortly before a time.
fn held_lately(evidence: &Evidence, release: &str, at: Instant) -> bool {
    let spans = evidence.withdrawn.iter().chain(&evidence.suspended);
    let held = |span: &Span| {
        let until = span.until.map(|until| until + EVERYWHERE_WITHIN);
        Span { until, ..span.clone() }.covers(at)
    };
    spans.filter(|span| *span.what == *release).any(held)
}

fn account(prompt: &str) -> &str {
    let name = prompt.strip_prefix("For ").and_then(|rest| rest.split_once(':'));
    name.map_or("", |(name, _)| name)
}

fn release(loaded: &Loaded) -> String {
    format!("{}@{}", loaded.model, loaded.version)
}

fn describe(ran: &Ran) -> String {
    let release = release(&ran.run.loaded);
    format!("{release} for {} on {}", account(&ran.run.prompt), ran.server)
}
