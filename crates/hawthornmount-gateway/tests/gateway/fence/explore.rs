//! Search of all schedules up to a number of events.

use {
    super::{
        action::{Action, Setup},
        world::World,
    },
    derive_more::Display,
    tokio::{runtime::Builder, task::LocalSet},
};

/// Schedule, and the promise that it breaks.
#[derive(Debug, Display)]
#[display("{broken}; schedule={schedule:?}")]
pub struct Violation {
    pub schedule: Vec<Action>,
    pub broken: String,
}

/// What a search has found.
#[derive(Debug, Default)]
pub struct Search {
    /// Schedules that were played.
    pub schedules: usize,
    /// Different states that they reached.
    pub states: usize,
    /// Whether an instance has confirmed a change in one of them.
    pub has_confirmed_change: bool,
    /// The first of the shortest schedules that break a promise.
    pub violation: Option<Violation>,
}

struct Outcome {
    fingerprint: u64,
    enabled: Vec<Action>,
    has_confirmed_change: bool,
    broken: Option<String>,
}

/// Plays a schedule from the start.
fn play(setup: &Setup, schedule: &[Action]) -> Outcome {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let mut world = World::start(setup).await;
        let mut broken = None;
        for action in setup.before.iter().chain(schedule) {
            broken = world.step(*action).await.err();
            if broken.is_some() {
                break;
            }
        }
        Outcome {
            fingerprint: world.fingerprint(),
            enabled: world.enabled(),
            has_confirmed_change: world.has_confirmed_change(),
            broken,
        }
    })
}

/// Plays all schedules of up to `depth` events, the shorter ones first, until one breaks a promise.
/// Schedules that differ only in the order of events which don't affect each other lead to the same
/// state, from which only one of them is continued.
pub fn search(setup: &Setup, depth: usize) -> Search {
    let mut search = Search::default();
    let first = play(setup, &[]);
    let mut frontier = vec![(Vec::new(), first.enabled)];
    let mut seen = vec![first.fingerprint];
    search.states = 1;
    for events in 1..=depth {
        let mut next = Vec::new();
        for (schedule, enabled) in frontier {
            // A schedule that ends with any other event breaks nothing that a shorter one does not.
            for action in enabled.into_iter().filter(|one| events < depth || one.is_felt()) {
                let mut schedule: Vec<Action> = schedule.clone();
                schedule.push(action);
                let outcome = play(setup, &schedule);
                search.schedules += 1;
                search.has_confirmed_change |= outcome.has_confirmed_change;
                if let Some(broken) = outcome.broken {
                    search.violation = Some(Violation { schedule, broken });
                    return search;
                }
                next.push((outcome.fingerprint, schedule, outcome.enabled));
            }
        }
        next.sort_by_key(|(fingerprint, ..)| *fingerprint);
        next.dedup_by_key(|(fingerprint, ..)| *fingerprint);
        next.retain(|(fingerprint, ..)| seen.binary_search(fingerprint).is_err());
        seen.extend(next.iter().map(|(fingerprint, ..)| *fingerprint));
        seen.sort_unstable();
        search.states = seen.len();
        frontier = next.into_iter().map(|(_, schedule, enabled)| (schedule, enabled)).collect();
    }
    search
}
