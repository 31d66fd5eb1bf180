//! Checks of the responses to a load against what the stand-ins recorded.

pub mod invariant;

use {
    crate::{
        deployment::Deployment,
        load::{Answered, Completed, Kind, Outcome},
    },
    hawthornmount_core::table::Table,
    serde::Serialize,
    std::sync::Arc,
};

/// Result of one check.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// Condition that has to hold.
    pub name: &'static str,
    /// Whether the condition held.
    pub pass: bool,
    /// Counts behind the result.
    pub detail: Arc<str>,
}

/// Runs every check on the responses to a load.
pub async fn all(deployment: &Deployment, completed: &[Completed]) -> Vec<Check> {
    vec![
        answers_complete(completed),
        at_most_once(deployment),
        bills_match_answers(deployment, completed).await,
        session_versions(completed),
    ]
}

fn answers(completed: &[Completed]) -> impl Iterator<Item = (&Completed, &Answered)> {
    completed.iter().filter_map(|request| match &request.outcome {
        Outcome::Answered(answered) => Some((request, answered)),
        Outcome::Refused(_) | Outcome::Failed => None,
    })
}

fn answers_complete(completed: &[Completed]) -> Check {
    let total = answers(completed).count();
    let bad = answers(completed).filter(|(_, answered)| !answered.complete).count();
    Check {
        name: "answers are whole and reach their own caller",
        pass: total > 0 && bad == 0,
        detail: format!("{total} answers, {bad} wrong or cut").into(),
    }
}

fn at_most_once(deployment: &Deployment) -> Check {
    let mut runs: Table<usize> = Table::new();
    for run in deployment.service.runs() {
        let Some(key) = run.key else { continue };
        let count = runs.get(&key).copied().unwrap_or(0);
        runs.insert(key, count + 1);
    }
    let duplicates = runs.iter().filter(|row| row.value > 1).count();
    Check {
        name: "submissions run at most once",
        pass: !runs.is_empty() && duplicates == 0,
        detail: format!("{} keys ran, {duplicates} more than once", runs.len()).into(),
    }
}

async fn bills_match_answers(deployment: &Deployment, completed: &[Completed]) -> Check {
    let answered = answers(completed).filter(|(_, answered)| !answered.replayed).count() as u64;
    let mut billed = 0;
    for account in crate::load::ACCOUNTS {
        let Some(instance) = deployment.instances.first() else { continue };
        let ledger = &instance.components().ledger;
        billed += ledger.total(&account.id.into()).await.map_or(0, |total| total.requests);
    }
    Check {
        name: "bills equal answers",
        pass: answered == billed,
        detail: format!("{answered} answers, {billed} bills").into(),
    }
}

fn session_versions(completed: &[Completed]) -> Check {
    let mut first_versions: Table<Arc<str>> = Table::new();
    let mut violations = 0;
    for (request, answered) in answers(completed) {
        let Some(session) = &request.call.session else { continue };
        if !matches!(request.call.kind, Kind::Json | Kind::Stream) {
            continue;
        }
        let key: Arc<str> = format!("{}/{session}", request.call.account.id).into();
        let release = answered.release.clone();
        match first_versions.get(&key) {
            Some(first) if *first != release && !answered.moved => violations += 1,
            Some(_) => {}
            None => {
                first_versions.insert(key, release);
            }
        }
    }
    Check {
        name: "sessions keep their version",
        pass: !first_versions.is_empty() && violations == 0,
        detail: format!(
            "{} sessions, {violations} answers of another version",
            first_versions.len()
        )
        .into(),
    }
}
