//! Promises on callers, their answers and bills.

use {
    super::{Evidence, verdict},
    crate::{check::Check, load::Outcome},
    hawthornmount_core::{problem::Execution, table::Table},
    std::sync::Arc,
};

/// Checks that there is a usage record for each answer, and none for what gave no answer but for
/// requests whose caller can't tell.
pub fn billed(evidence: &Evidence) -> Check {
    let mut ids: Vec<Arc<str>> = evidence
        .answers()
        .filter(|(_, answered)| !answered.replayed)
        .map(|(_, answered)| answered.request.clone())
        .collect();
    let answers = ids.len();
    ids.sort();
    ids.dedup();
    let unsure = evidence.sent.iter().filter(|sent| match &sent.done.outcome {
        Outcome::Answered(answered) => answered.replayed,
        Outcome::Refused(refused) => refused.ran == Execution::Unknown,
        Outcome::Failed => true,
    });
    let (least, most) = (ids.len() as u64, (ids.len() + unsure.count()) as u64);
    let mut wrong = Vec::new();
    if ids.len() != answers {
        wrong.push(format!("{} answers share a request id", answers - ids.len()));
    }
    if evidence.bills < least || evidence.bills > most {
        wrong.push(format!("{} bills, expected {least} to {most}", evidence.bills));
    }
    verdict("each request is billed once", answers, &wrong)
}

/// Checks that every answer is whole and its caller's own.
pub fn whole(evidence: &Evidence) -> Check {
    let wrong: Vec<String> = evidence
        .answers()
        .filter(|(_, answered)| !answered.whole)
        .map(|(sent, answered)| format!("{} to {:?}", answered.request, sent.done.ask.kind))
        .collect();
    verdict("each caller gets its own whole answer", evidence.answers().count(), &wrong)
}

/// Checks that no request ran whose refusal says that it did not.
pub fn not_run(evidence: &Evidence) -> Check {
    let mut ran: Vec<&str> = evidence.runs.iter().map(|one| request(&one.run.request)).collect();
    ran.extend(evidence.calls.iter().map(|call| request(&call.request)));
    ran.sort_unstable();
    let wrong: Vec<String> = evidence
        .refusals()
        .filter(|refused| refused.ran == Execution::NotRun)
        .filter(|refused| ran.binary_search(&&*refused.request).is_ok())
        .map(|refused| format!("{} refused with {}", refused.request, refused.reason))
        .collect();
    verdict("a refusal that says not run is true", evidence.refusals().count(), &wrong)
}

/// Checks that every key ran at most once.
pub fn once(evidence: &Evidence) -> Check {
    let mut runs: Table<usize> = Table::new();
    for key in evidence.calls.iter().filter_map(|call| call.key.clone()) {
        let count = runs.get(&key).copied().unwrap_or(0);
        runs.insert(key, count + 1);
    }
    let doubled = runs.iter().filter(|row| row.value > 1);
    let wrong: Vec<String> =
        doubled.map(|row| format!("{} ran {} times", row.id, row.value)).collect();
    verdict("a submission runs at most once", runs.len(), &wrong)
}

/// Checks that graceful stops cut nothing, by the instance's count and by its callers'.
pub fn stops(evidence: &Evidence) -> Check {
    let mut wrong = Vec::new();
    for stop in &evidence.stops {
        let failed = evidence.sent.iter().filter(|sent| {
            sent.instance == stop.instance && matches!(sent.done.outcome, Outcome::Failed)
        });
        let failed = failed.count();
        if stop.cut > 0 || failed > 0 {
            wrong.push(format!("{}: {} cut, {failed} callers failed", stop.instance, stop.cut));
        }
    }
    verdict("a planned stop cuts no request", evidence.stops.len(), &wrong)
}

/// Returns the request that an attempt belongs to.
fn request(attempt: &str) -> &str {
    attempt.rsplit_once('.').map_or(attempt, |(request, _)| request)
}
