//! Checks of what came of a load against what the stand-ins really did.

pub mod promise;

use {
    crate::{
        load::{Answered, Done, Kind, Outcome},
        world::World,
    },
    hawthornmount_core::table::Table,
    serde::Serialize,
    std::sync::Arc,
};

/// One check.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What has to hold.
    pub name: &'static str,
    /// Whether it held.
    pub pass: bool,
    /// What was counted.
    pub detail: Arc<str>,
}

/// Runs every check.
pub async fn all(world: &World, done: &[Done]) -> Vec<Check> {
    vec![whole(done), once(world), billed(world, done).await, sessions(done)]
}

fn answers(done: &[Done]) -> impl Iterator<Item = (&Done, &Answered)> {
    done.iter().filter_map(|one| match &one.outcome {
        Outcome::Answered(answered) => Some((one, answered)),
        Outcome::Refused(_) | Outcome::Failed => None,
    })
}

fn whole(done: &[Done]) -> Check {
    let total = answers(done).count();
    let bad = answers(done).filter(|(_, answered)| !answered.whole).count();
    Check {
        name: "answers are whole and reach their own caller",
        pass: total > 0 && bad == 0,
        detail: format!("{total} answers, {bad} wrong or cut").into(),
    }
}

fn once(world: &World) -> Check {
    let mut runs: Table<usize> = Table::new();
    for run in world.service.runs() {
        let Some(key) = run.key else { continue };
        let count = runs.get(&key).copied().unwrap_or(0);
        runs.insert(key, count + 1);
    }
    let doubled = runs.iter().filter(|row| row.value > 1).count();
    Check {
        name: "submissions run at most once",
        pass: !runs.is_empty() && doubled == 0,
        detail: format!("{} keys ran, {doubled} more than once", runs.len()).into(),
    }
}

async fn billed(world: &World, done: &[Done]) -> Check {
    let answered = answers(done).filter(|(_, answered)| !answered.replayed).count() as u64;
    let mut billed = 0;
    for account in crate::load::ACCOUNTS {
        let Some(instance) = world.instances.first() else { continue };
        let ledger = &instance.components().ledger;
        billed += ledger.total(&account.id.into()).await.map_or(0, |total| total.requests);
    }
    Check {
        name: "bills equal answers",
        pass: answered == billed,
        detail: format!("{answered} answers, {billed} bills").into(),
    }
}

fn sessions(done: &[Done]) -> Check {
    let mut kept: Table<Arc<str>> = Table::new();
    let mut moved = 0;
    for (one, answered) in answers(done) {
        let Some(session) = &one.ask.session else { continue };
        if !matches!(one.ask.kind, Kind::Json | Kind::Stream) {
            continue;
        }
        let key: Arc<str> = format!("{}/{session}", one.ask.account.id).into();
        let release = answered.release.clone();
        match kept.get(&key) {
            Some(first) if *first != release && !answered.moved => moved += 1,
            Some(_) => {}
            None => {
                kept.insert(key, release);
            }
        }
    }
    Check {
        name: "sessions keep their version",
        pass: !kept.is_empty() && moved == 0,
        detail: format!("{} sessions, {moved} answers of another version", kept.len()).into(),
    }
}
